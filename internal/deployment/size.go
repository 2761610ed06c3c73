package deployment

import (
	"strconv"
	"strings"
	"time"
)

// Units of sizes, in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// sizeUnit is a unit of sizes, such as "KiB".
type sizeUnit struct {
	suffix string
	bytes  int
}

// sizeUnits lists the units, largest first. "B" must be last, because the other suffixes
// end in "B".
var sizeUnits = []sizeUnit{{"MiB", mebibyte}, {"KiB", kibibyte}, {"B", 1}}

// parseSize parses a size such as "4MiB" and returns the number of bytes. It returns
// false for any other text, also for a number without a unit.
func parseSize(text string) (int, bool) {
	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(number), 10, 32)
		return int(n) * unit.bytes, err == nil
	}
	return 0, false
}

// formatSize formats a number of bytes in the largest unit that divides it.
func formatSize(bytes int) string {
	for _, unit := range sizeUnits {
		if bytes%unit.bytes == 0 {
			return strconv.Itoa(bytes/unit.bytes) + unit.suffix
		}
	}
	return strconv.Itoa(bytes) + "B"
}

// formatDuration formats a duration without the trailing "0m" and "0s" of
// Duration.String.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
