package tree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds on what one change may carry.
const (
	// MaxKeyLength bounds a key, in bytes.
	MaxKeyLength = 128
	// MaxValueLength bounds a value, in bytes.
	MaxValueLength = 1024
	// MaxEdits bounds the edits of one change.
	MaxEdits = 2000
)

// Key names a setting: camelCase words joined by dots, such as "timeout" or
// "routes.pressBooking.path".
type Key string

// CheckKey reports whether the key is well formed; it need not be a known one.
func CheckKey(key Key) error {
	if len(key) > MaxKeyLength {
		return &LimitExceededError{Name: "key", Size: len(key), Limit: MaxKeyLength}
	}
	if !isDottedCamelCase(string(key)) {
		return fmt.Errorf("key %q must be camelCase words joined by dots", key)
	}
	return nil
}

// isDottedCamelCase reports whether the text is words joined by dots, each a
// lower-case letter followed by letters and digits.
func isDottedCamelCase(text string) bool {
	begins := true
	for i := range len(text) {
		c := text[i]
		switch {
		case c >= 'a' && c <= 'z':
			begins = false
		case begins:
			return false
		case c == '.':
			begins = true
		case (c < 'A' || c > 'Z') && (c < '0' || c > '9'):
			return false
		}
	}
	return !begins
}

// routePrefix begins the keys of routes.
const routePrefix = "routes."

// splitRoute returns the name and the field of a route's key.
func (k Key) splitRoute() (name string, field string, ok bool) {
	rest, ok := strings.CutPrefix(string(k), routePrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, ".")
}

// Edit sets or unsets one value.
type Edit struct {
	// Path is the node that the edit changes.
	Path Path
	// Key is the setting that the edit changes.
	Key Key
	// Value is the new value in canonical form; empty when Unset.
	Value string
	// Unset removes the value, so that it is inherited again.
	Unset bool
}

// String returns the edit as shown to operators.
func (e Edit) String() string {
	if e.Unset {
		return fmt.Sprintf("%s %s unset", e.Path, e.Key)
	}
	return fmt.Sprintf("%s %s = %s", e.Path, e.Key, e.Value)
}

// check reports whether the edit is well formed; it says nothing about whether
// its key is known and its value allowed.
func (e Edit) check() (err error) {
	path, err := ParsePath(string(e.Path))
	if err != nil {
		return err
	}
	if path != e.Path {
		return fmt.Errorf("path %q must have no leading slash", string(e.Path))
	}
	if e.Unset && e.Value != "" {
		return fmt.Errorf("%s %s is unset and has a value", e.Path, e.Key)
	}
	return checkSetting(e.Key, e.Value)
}

// checkSetting reports whether the key and the text are well formed.
func checkSetting(key Key, text string) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	return checkText(text)
}

// checkText reports whether the text may be a value.
func checkText(text string) error {
	if len(text) > MaxValueLength {
		return &LimitExceededError{Name: "value", Size: len(text), Limit: MaxValueLength}
	}
	if !utf8.ValidString(text) {
		return fmt.Errorf("value %q is not UTF-8", text)
	}
	if strings.ContainsFunc(text, unicode.IsControl) {
		return fmt.Errorf("value %q has control characters", text)
	}
	return nil
}

// compareEdits orders by path, then by key.
func compareEdits(a, b Edit) int {
	return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
}

// Normalize returns the edits sorted and with canonical values, or every fault
// that can be told without the tree.
func Normalize(edits []Edit) (normal []Edit, faults Violations) {
	normal = slices.Clone(edits)
	slices.SortStableFunc(normal, compareEdits)
	for i := range normal {
		e := &normal[i]
		if err := e.check(); err != nil {
			faults = append(faults, Violation{Path: e.Path, Key: e.Key, Value: e.Value, Expected: err.Error()})
			continue
		}
		if i > 0 && compareEdits(normal[i-1], *e) == 0 {
			faults = append(faults, Violation{Path: e.Path, Key: e.Key, Value: e.Value, Expected: "one edit per key"})
		}
		if e.Unset {
			continue
		}
		if parsed, want := parseValue(e.Path, e.Key, e.Value); want != "" {
			faults = append(faults, Violation{Path: e.Path, Key: e.Key, Value: e.Value, Expected: want})
		} else {
			e.Value = parsed.text
		}
	}
	return normal, faults
}

// Conflict is a pair of edits of which only one can stand.
type Conflict struct {
	// Proposed is the edit of the change that is refused.
	Proposed Edit
	// Accepted is the edit accepted before it.
	Accepted Edit
}

// target is what an edit claims: a key, or a route as a whole.
type target struct {
	path Path
	key  Key
}

func (e Edit) target() target {
	if name, _, ok := e.Key.splitRoute(); ok {
		return target{path: e.Path, key: Key(routePrefix + name)}
	}
	return target{path: e.Path, key: e.Key}
}

// Conflicts returns the pairs that touch the same key of the same path. The
// fields of one route count as one key, since half of each change would make a
// route that nobody wrote.
func Conflicts(mine, theirs []Edit) (clashes []Conflict) {
	claimed := make(map[target][]Edit, len(theirs))
	for _, e := range theirs {
		claimed[e.target()] = append(claimed[e.target()], e)
	}
	for _, m := range mine {
		for _, t := range claimed[m.target()] {
			clashes = append(clashes, Conflict{Proposed: m, Accepted: t})
		}
	}
	return clashes
}
