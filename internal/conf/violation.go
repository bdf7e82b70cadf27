package conf

import (
	"fmt"
	"strings"
)

// maxValueBytes bounds how much of an invalid value is printed.
const maxValueBytes = 80

// Position is a place in a file. Line and column start at 1; zero means that the
// position is not known.
type Position struct {
	Line, Column int
}

// Violation describes one invalid setting.
type Violation struct {
	// File is empty for settings that were not read from a file.
	File string
	// Position is that of the setting, or of its enclosing group if it is missing.
	Position Position
	// Path is the dotted path of the setting; empty for the whole file.
	Path string
	// Value is the value in the file.
	Value string
	// Expected describes the allowed values.
	Expected string
}

// String returns the violation as one line.
func (v Violation) String() string {
	text := &strings.Builder{}
	if v.File != "" {
		text.WriteString(v.File + ":")
	}
	if v.Position.Line > 0 {
		_, _ = fmt.Fprintf(text, "%d:%d:", v.Position.Line, v.Position.Column)
	}
	if text.Len() > 0 {
		text.WriteString(" ")
	}
	if v.Path != "" {
		text.WriteString(v.Path + ": ")
	}
	value := v.Value
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes] + "…"
	}
	_, _ = fmt.Fprintf(text, "%q is not allowed, want %s", value, v.Expected)
	return text.String()
}

// Violations lists the invalid settings.
type Violations []Violation

// Error returns the violations, one per line.
func (v Violations) Error() string {
	lines := make([]string, 0, len(v))
	for _, violation := range v {
		lines = append(lines, violation.String())
	}
	return strings.Join(lines, "\n")
}

// has reports whether there is a violation for the path.
func (v Violations) has(path string) bool {
	for _, violation := range v {
		if violation.Path == path {
			return true
		}
	}
	return false
}
