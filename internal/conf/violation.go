package conf

import (
	"fmt"
	"strings"
)

// maxShown bounds what a fault shows of a value, in bytes.
const maxShown = 80

// Position is a place in a file; both numbers start at 1, and zero means none.
type Position struct {
	Line, Column int
}

// Violation is one thing that is wrong with the settings.
type Violation struct {
	// File is empty for settings that come from no file.
	File string
	// Position is that of the setting, or of what it is missing from.
	Position Position
	// Path is the dotted path of the setting, empty for the whole file.
	Path string
	// Value is what stands there.
	Value string
	// Expected is what is allowed.
	Expected string
}

// String returns the fault in one line.
func (f Violation) String() string {
	text := &strings.Builder{}
	if f.File != "" {
		text.WriteString(f.File + ":")
	}
	if f.Position.Line > 0 {
		_, _ = fmt.Fprintf(text, "%d:%d:", f.Position.Line, f.Position.Column)
	}
	if text.Len() > 0 {
		text.WriteString(" ")
	}
	if f.Path != "" {
		text.WriteString(f.Path + ": ")
	}
	value := f.Value
	if len(value) > maxShown {
		value = value[:maxShown] + "…"
	}
	_, _ = fmt.Fprintf(text, "%q is not allowed, want %s", value, f.Expected)
	return text.String()
}

// Violations holds everything that is wrong with the settings.
type Violations []Violation

// Error names every fault on a line of its own.
func (f Violations) Error() string {
	lines := make([]string, 0, len(f))
	for _, v := range f {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "\n")
}

// has reports whether the path is at fault.
func (f Violations) has(path string) bool {
	for _, v := range f {
		if v.Path == path {
			return true
		}
	}
	return false
}
