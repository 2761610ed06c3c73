package usage

import (
	"strconv"
	"strings"
	"time"
)

// Table is the table of the row store with the counts of each host. The part of a row is
// its window, followed by "." and a number from hostsPerPart hosts on; the key is the host and
// its incarnation.
const Table = "usage"

// hostsPerPart is the number of hosts that share a part. The row store executes the
// transactions of a part sequentially, and took 480 ms for each in one incident. Four
// writes then still end before the window is read.
const hostsPerPart = 4

// giveUpAfter is how long after its end a window is given up. Requests are not counted
// for such a window.
const giveUpAfter = 60 * time.Second

// Clock tells the true time.
type Clock interface {
	// TrueTime returns the true time since the start of 1970, at a time of this host's
	// monotonic clock. It returns false while it is not known.
	TrueTime(at time.Time) (since1970 time.Duration, ok bool)
}

// windowAt returns the window that contains a true time.
func windowAt(since1970, length time.Duration) int64 { return int64(since1970 / length) }

// endOf returns the true time at which a window ends.
func endOf(window int64, length time.Duration) time.Duration {
	return time.Duration(window+1) * length
}

// partOf returns the part of a window's rows with a number.
func partOf(window int64, number uint64) string {
	part := strconv.FormatInt(window, 10)
	if number > 0 {
		part += "." + strconv.FormatUint(number, 10)
	}
	return part
}

// windowOfPart returns the window whose rows a part holds; false if the name is invalid.
func windowOfPart(part string) (int64, bool) {
	name, _, _ := strings.Cut(part, ".")
	window, err := strconv.ParseInt(name, 10, 64)
	return window, err == nil
}
