package deployment

import (
	"errors"
	"fmt"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Problem describes one invalid value, key or section of a document.
type Problem struct {
	// Section is the section's title, such as "rule.bookings"; empty for a problem of the
	// whole text.
	Section string `json:"section"`
	// Key is empty for a problem of the whole section.
	Key string `json:"key,omitempty"`
	// Value is the rejected value. The values of token keys are replaced by "(hidden)".
	Value string `json:"value,omitempty"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("[%s]: %s", p.Section, p.Allowed)
	}
	return fmt.Sprintf("[%s] %s = %q: %s", p.Section, p.Key, p.Value, p.Allowed)
}

// Problems lists all problems of a document. An error of kind InvalidDocument wraps it.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}

// AsProblems returns the Problems in the chain of err, or nil.
func AsProblems(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return nil
}

// invalid returns an error of kind InvalidDocument that wraps the problems. Its field is
// that of the first problem.
func (p Problems) invalid() error {
	return failure.Wrap(p, failure.InvalidDocument, "", "the document has %d problems", len(p)).
		WithField(p[0].field())
}

// field returns section.key, or only the section if there is no key.
func (p Problem) field() string {
	if p.Key == "" {
		return p.Section
	}
	return p.Section + "." + p.Key
}
