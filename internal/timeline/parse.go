package timeline

import (
	"strconv"
	"strings"
	"time"
)

// line is one log line: its time, message and other fields.
type line struct {
	at      time.Time
	message string
	fields  map[string]string
}

// parseLine parses a line of key=value pairs. Text before time= is ignored, as log
// collectors put it there. It returns false for a line without a time and a message.
func parseLine(text string) (line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return line{}, false
	}
	l := line{fields: map[string]string{}}
	for rest := text[start:]; rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		var value string
		if value, rest = cutValue(after); key == "time" {
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line{}, false
			}
			l.at = at
			continue
		}
		if key == "msg" {
			l.message = value
			continue
		}
		l.fields[key] = value
	}
	return l, l.message != ""
}

// cutValue splits a plain or quoted value off the text after its key.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if value, err = strconv.Unquote(quoted); err == nil {
			return value, text[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}
