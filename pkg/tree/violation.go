package tree

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Violation is one thing that is wrong with a tree or an edit.
type Violation struct {
	// Path is the node at fault.
	Path Path
	// Key is the setting at fault, or a group of settings.
	Key Key
	// Value is what stands there.
	Value string
	// Expected says what may stand there.
	Expected string
}

// String returns the fault in one line.
func (f Violation) String() string {
	return fmt.Sprintf("%s %s is %q, want %s", f.Path, f.Key, f.Value, f.Expected)
}

// Violations is an error that names every fault at once; empty means none.
type Violations []Violation

// Error returns the faults, one a line.
func (f Violations) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// err returns the faults as an error, nil if there are none.
func (f Violations) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// LimitExceededError tells that something is larger than it may be.
type LimitExceededError struct {
	// Name is the item that is too large.
	Name string
	// Size is what it has, in bytes or items.
	Size int
	// Limit is what it may have, in the unit of Size.
	Limit int
}

// Error implements error.
func (b *LimitExceededError) Error() string {
	return fmt.Sprintf("%s has size %d, the limit is %d", b.Name, b.Size, b.Limit)
}

// annotate adds what was being done to an error; nil stays nil.
func annotate(err error, doing string) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(err, doing)
}
