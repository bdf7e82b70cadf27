package tree

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Violation describes one setting or edit that is not valid.
type Violation struct {
	// Path is where the setting is set.
	Path Path
	// Key is the setting, or the common prefix of a group of settings.
	Key Key
	// Value is the value found.
	Value string
	// Expected describes what is allowed instead.
	Expected string
}

// String formats the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s is %q, want %s", v.Path, v.Key, v.Value, v.Expected)
}

// Violations is an error that lists all violations; an empty list means a valid
// tree or change.
type Violations []Violation

// Error formats the violations, one per line.
func (v Violations) Error() string {
	lines := make([]string, 0, len(v))
	for _, violation := range v {
		lines = append(lines, violation.String())
	}
	return strings.Join(lines, "\n")
}

// asError returns the violations as an error, or nil if there are none.
func (v Violations) asError() error {
	if len(v) == 0 {
		return nil
	}
	return v
}

// LimitExceededError is returned for an item that is larger than its limit.
type LimitExceededError struct {
	// Name names the item that is too large, such as "chunk".
	Name string
	// Size is the actual size, in bytes or as a count.
	Size int
	// Limit is the largest allowed size, in the unit of Size.
	Limit int
}

// Error implements error.
func (l *LimitExceededError) Error() string {
	return fmt.Sprintf("%s has size %d, the limit is %d", l.Name, l.Size, l.Limit)
}

// annotate prefixes an error with the operation that failed; nil stays nil.
func annotate(err error, operation string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, operation)
}
