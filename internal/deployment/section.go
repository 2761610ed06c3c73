package deployment

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"gopkg.in/ini.v1"
)

const (
	// tokenHashLength is the number of hexadecimal digits of a SHA-256 hash.
	tokenHashLength = 64
	// hiddenValue replaces the values of token keys in problems.
	hiddenValue = "(hidden)"
	// nameRule describes namePattern in problems.
	nameRule = "the name has 1 to 63 lower-case letters, digits, - or _ and starts with a letter or digit"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

func validName(name string) bool { return namePattern.MatchString(name) }

// section reads the keys of one section and collects the problems.
type section struct {
	ini *ini.Section
	// name is the title of the section, such as "rule.bookings".
	name string
	// read has the keys read so far.
	read     map[string]bool
	problems *Problems
	// fields has the descriptions of the keys read so far.
	fields []Field
}

func newSection(source *ini.Section, name string, problems *Problems) *section {
	return &section{ini: source, name: name, read: map[string]bool{}, problems: problems}
}

// describe adds the description of a key. An empty fallback means that the key is
// required.
func (s *section) describe(key, fallback, allowed string) {
	s.fields = append(s.fields, Field{Key: key, Default: fallback, Allowed: allowed, Help: keyHelp[key]})
}

func (s *section) reject(key, value, allowed string, args ...any) {
	*s.problems = append(*s.problems, Problem{Section: s.name, Key: key, Value: value, Allowed: fmt.Sprintf(allowed, args...)})
}

// value returns the text of a key, and false if the key is missing. A repeated key is a
// problem.
func (s *section) value(key string) (string, bool) {
	first := !s.read[key]
	s.read[key] = true
	for _, k := range s.ini.Keys() {
		if k.Name() != key {
			continue
		}
		if n := len(k.ValueWithShadows()); n > 1 && first {
			s.reject(key, k.Value(), "the key may be given once, not %d times", n)
		}
		return k.Value(), true
	}
	return "", false
}

// rejectUnknownKeys adds a problem for each key that was not read.
func (s *section) rejectUnknownKeys() {
	for _, key := range s.ini.KeyStrings() {
		if !s.read[key] {
			s.reject(key, s.ini.Key(key).Value(), "no such key; allowed are %s", strings.Join(s.knownKeys(), ", "))
		}
	}
}

// knownKeys returns the keys read so far, in alphabetical order.
func (s *section) knownKeys() []string {
	keys := make([]string, 0, len(s.read))
	for key := range s.read {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// text reads a required key whose value is one line without leading or trailing spaces.
func (s *section) text(key, allowed string) string {
	s.describe(key, "", allowed)
	value, _ := s.value(key)
	if value == "" || strings.TrimSpace(value) != value || strings.ContainsFunc(value, unicode.IsControl) {
		s.reject(key, value, "%s", allowed)
	}
	return value
}

// tokenHash reads a required key with the SHA-256 hash of a token.
func (s *section) tokenHash(key string) string {
	allowed := fmt.Sprintf("the SHA-256 of a token, %d hexadecimal digits", tokenHashLength)
	s.describe(key, "", allowed)
	value, _ := s.value(key)
	if _, err := hex.DecodeString(value); err != nil || len(value) != tokenHashLength {
		s.reject(key, hiddenValue, "%s", allowed)
	}
	return strings.ToLower(value)
}

// optional reads a key that has a default. It returns the default if the key is
// missing or parse rejects its value. The defaultText describes the default.
func optional[T any](s *section, key string, fallback T, defaultText, allowed string, parse func(string) (T, bool)) T {
	s.describe(key, defaultText, allowed)
	value, ok := s.value(key)
	if !ok {
		return fallback
	}
	parsed, ok := parse(value)
	if !ok {
		s.reject(key, value, "%s", allowed)
		return fallback
	}
	return parsed
}

func (s *section) duration(key string, fallback, minimum, maximum time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration with unit from %s to %s", formatDuration(minimum), formatDuration(maximum))
	return optional(s, key, fallback, formatDuration(fallback), allowed, func(value string) (time.Duration, bool) {
		d, err := time.ParseDuration(value)
		return d, err == nil && d >= minimum && d <= maximum
	})
}

func (s *section) integer(key string, fallback, minimum, maximum int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return optional(s, key, fallback, strconv.Itoa(fallback), allowed, func(value string) (int, bool) {
		n, err := strconv.Atoi(value)
		return n, err == nil && n >= minimum && n <= maximum
	})
}

func (s *section) unsigned(key string, fallback, maximum uint64) uint64 {
	allowed := fmt.Sprintf("a whole number from 0 to %d", maximum)
	return optional(s, key, fallback, strconv.FormatUint(fallback, 10), allowed, func(value string) (uint64, bool) {
		return parseUnsigned(value, maximum)
	})
}

func (s *section) requiredUnsigned(key string, maximum uint64) uint64 {
	allowed := fmt.Sprintf("a whole number from 0 to %d", maximum)
	s.describe(key, "", allowed)
	value, _ := s.value(key)
	n, ok := parseUnsigned(value, maximum)
	if !ok {
		s.reject(key, value, "%s", allowed)
	}
	return n
}

func parseUnsigned(value string, maximum uint64) (uint64, bool) {
	n, err := strconv.ParseUint(value, 10, 64)
	return n, err == nil && n <= maximum
}

func (s *section) number(key string, fallback, maximum float64) float64 {
	allowed := "a number from 0 to " + strconv.FormatFloat(maximum, 'f', -1, 64)
	return optional(s, key, fallback, strconv.FormatFloat(fallback, 'g', -1, 64), allowed, func(value string) (float64, bool) {
		n, err := strconv.ParseFloat(value, 64)
		return n, err == nil && !math.IsNaN(n) && n >= 0 && n <= maximum
	})
}

func (s *section) boolean(key string, fallback bool) bool {
	return optional(s, key, fallback, strconv.FormatBool(fallback), "true or false", func(value string) (bool, bool) {
		return value == "true", value == "true" || value == "false"
	})
}

func (s *section) size(key string, fallback, minimum, maximum int) int {
	allowed := fmt.Sprintf("a size with unit from %s to %s", formatSize(minimum), formatSize(maximum))
	return optional(s, key, fallback, formatSize(fallback), allowed, func(value string) (int, bool) {
		n, ok := parseSize(value)
		return n, ok && n >= minimum && n <= maximum
	})
}

// choice reads a key whose value is one of values. An empty fallback makes the key
// required.
func choice[T ~string](s *section, key string, fallback T, values ...T) T {
	allowed := "one of " + joinValues(values)
	s.describe(key, string(fallback), allowed)
	value, ok := s.value(key)
	if !ok && fallback != "" {
		return fallback
	}
	if !slices.Contains(values, T(value)) {
		s.reject(key, value, "%s", allowed)
	}
	return T(value)
}

// list reads a key with a comma-separated list of values. A missing key gives nil, which
// stands for all values.
func (s *section) list(key string, values []string) []string {
	return optional(s, key, nil, "all", "a comma-separated list of "+strings.Join(values, ", "), func(value string) ([]string, bool) {
		if value == "" {
			return nil, true
		}
		items := strings.Split(value, ",")
		for i, item := range items {
			items[i] = strings.TrimSpace(item)
			if !slices.Contains(values, items[i]) {
				return nil, false
			}
		}
		return items, true
	})
}

func joinValues[T ~string](values []T) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return strings.Join(texts, ", ")
}
