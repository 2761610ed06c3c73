package settings

import (
	"fmt"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Problem describes one invalid value, key or section of a settings file.
type Problem struct {
	// Key is section.key, such as "timing.lease_term". It is the name of the section for
	// a problem of a section, and that of the key for a key outside of any section.
	Key string
	// Value is the rejected value. The values of token keys are replaced by "(hidden)".
	Value string
	// Allowed describes the accepted values.
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string { return fmt.Sprintf("%s = %q: %s", p.Key, p.Value, p.Allowed) }

// Problems lists all problems of a settings file. An error of kind InvalidSettings
// wraps it.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}

// invalid returns an error of kind InvalidSettings that wraps the problems. Its field
// and limit are those of the first problem.
func (p Problems) invalid() error {
	return failure.Wrap(p, failure.InvalidSettings, "", "the settings have %d problems", len(p)).
		WithField(p[0].Key).WithLimit(p[0].Allowed)
}
