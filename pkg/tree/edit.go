package tree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of one change.
const (
	// MaxKeyLength is the longest key, in bytes.
	MaxKeyLength = 128
	// MaxValueLength is the longest value, in bytes.
	MaxValueLength = 1024
	// MaxEdits is the largest number of edits.
	MaxEdits = 2000
)

// Key is the name of a setting: camelCase words joined by dots, such as "timeout"
// or "routes.pressBooking.path".
type Key string

// CheckKey returns an error if the key is malformed. It accepts unknown keys.
func CheckKey(key Key) error {
	if len(key) > MaxKeyLength {
		return &LimitExceededError{Name: "key", Size: len(key), Limit: MaxKeyLength}
	}
	if !isDottedCamelCase(string(key)) {
		return fmt.Errorf("key %q must be camelCase words joined by dots", key)
	}
	return nil
}

// isDottedCamelCase reports whether the text consists of words joined by dots, each
// a lower-case letter followed by letters and digits.
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

// routePrefix is the prefix of route keys, "routes.NAME.FIELD".
const routePrefix = "routes."

// splitRoute splits a route key into the name of the route and the field; ok is
// false for other keys.
func (k Key) splitRoute() (name string, field string, ok bool) {
	rest, ok := strings.CutPrefix(string(k), routePrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, ".")
}

// Edit sets or unsets one value.
type Edit struct {
	// Path is where the value is set or unset.
	Path Path
	// Key is the setting.
	Key Key
	// Value is the new value; empty if Unset.
	Value string
	// Unset removes the value, so that the inherited one or the default applies.
	Unset bool
}

// String returns the form shown to operators.
func (e Edit) String() string {
	if e.Unset {
		return fmt.Sprintf("%s %s unset", e.Path, e.Key)
	}
	return fmt.Sprintf("%s %s = %s", e.Path, e.Key, e.Value)
}

// check returns an error if the edit is malformed. It accepts unknown keys and
// does not check the value against the spec of the key.
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

// checkSetting returns an error if the key or the value is malformed.
func checkSetting(key Key, text string) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	return checkText(text)
}

// checkText returns an error if the text is too long, is not UTF-8 or contains
// control characters.
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

// compareEdits orders edits by path, then by key.
func compareEdits(a, b Edit) int {
	return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
}

// Normalize returns the edits sorted and with canonical values, and all violations
// that can be found without the tree.
func Normalize(edits []Edit) (normalized []Edit, violations Violations) {
	normalized = slices.Clone(edits)
	slices.SortStableFunc(normalized, compareEdits)
	for i := range normalized {
		e := &normalized[i]
		if err := e.check(); err != nil {
			violations = append(violations, Violation{Path: e.Path, Key: e.Key, Value: e.Value, Expected: err.Error()})
			continue
		}
		if i > 0 && compareEdits(normalized[i-1], *e) == 0 {
			violations = append(violations, Violation{Path: e.Path, Key: e.Key, Value: e.Value, Expected: "one edit per key"})
		}
		if e.Unset {
			continue
		}
		if parsed, expected := parseValue(e.Path, e.Key, e.Value); expected != "" {
			violations = append(violations, Violation{Path: e.Path, Key: e.Key, Value: e.Value, Expected: expected})
		} else {
			e.Value = parsed.text
		}
	}
	return normalized, violations
}

// Conflict is a pair of edits that exclude each other.
type Conflict struct {
	// Proposed is the edit of the refused change.
	Proposed Edit
	// Accepted is the edit of the change accepted before.
	Accepted Edit
}

// conflictKey identifies what an edit changes for the detection of conflicts: a
// single setting, or a route with all its fields.
type conflictKey struct {
	path Path
	key  Key
}

func (e Edit) conflictKey() conflictKey {
	if name, _, ok := e.Key.splitRoute(); ok {
		return conflictKey{path: e.Path, key: Key(routePrefix + name)}
	}
	return conflictKey{path: e.Path, key: e.Key}
}

// Conflicts returns the pairs of edits that change the same key at the same path.
// All fields of a route count as one key: merging fields of two changes would
// create a route that neither author intended.
func Conflicts(proposed, accepted []Edit) (conflicts []Conflict) {
	byKey := make(map[conflictKey][]Edit, len(accepted))
	for _, e := range accepted {
		byKey[e.conflictKey()] = append(byKey[e.conflictKey()], e)
	}
	for _, p := range proposed {
		for _, a := range byKey[p.conflictKey()] {
			conflicts = append(conflicts, Conflict{Proposed: p, Accepted: a})
		}
	}
	return conflicts
}
