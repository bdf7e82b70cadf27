package tree

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Kind is the type of a setting's values.
type Kind uint8

// The value types.
const (
	// TextKind is free text without control characters.
	TextKind Kind = iota
	// EnumKind is one word of Spec.Allowed.
	EnumKind
	// EnumListKind is a comma-separated list of words of Spec.Allowed.
	EnumListKind
	// NameKind is a name that mesh.CheckName accepts.
	NameKind
	// IntegerKind is a decimal integer.
	IntegerKind
	// PercentKind is a decimal number above 0 and below 100 with at most three decimals.
	PercentKind
	// DurationKind is a duration such as "1.5s" or "10m".
	DurationKind
	// PathPrefixKind is a prefix of a request's path.
	PathPrefixKind
)

var kindNames = []string{"text", "word", "words", "name", "integer", "percent", "duration", "prefix"}

// String returns the name shown in the list of settings.
func (k Kind) String() string {
	return nameOf(kindNames, int(k))
}

// value is a parsed value. Besides text, only the field that belongs to the kind
// of its key is set.
type value struct {
	// text is the canonical form and set for every kind.
	text     string
	words    []string
	number   int64
	percent  float64
	duration time.Duration
}

// parseValue parses the value of a key at a path. If the value is not allowed
// there, expected describes what is.
func parseValue(path Path, key Key, text string) (parsed value, expected string) {
	spec, ok := specOf(key)
	if !ok {
		return parsed, "a known key"
	}
	if !slices.Contains(spec.Levels, path.Level()) {
		return parsed, "a key that is allowed at level " + path.Level().String()
	}
	parsed, ok = spec.parse(text)
	if !ok {
		return parsed, spec.Expected()
	}
	return parsed, ""
}

// parse parses the text according to the kind; ok is false if it is not allowed.
func (s *Spec) parse(text string) (parsed value, ok bool) {
	parsed.text = text
	switch s.Kind {
	case TextKind:
		return parsed, checkText(text) == nil
	case EnumKind:
		return parsed, slices.Contains(s.Allowed, text)
	case EnumListKind:
		return s.parseWords(text)
	case NameKind:
		return parsed, mesh.CheckName(text) == nil
	case IntegerKind:
		return s.parseInteger(text)
	case PercentKind:
		return parsePercent(text)
	case DurationKind:
		return s.parseDuration(text)
	case PathPrefixKind:
		return parsePrefix(text)
	default:
		return parsed, false
	}
}

func (s *Spec) parseWords(text string) (parsed value, ok bool) {
	if text == "" {
		return parsed, true
	}
	for w := range strings.SplitSeq(text, ",") {
		w = strings.TrimSpace(w)
		if !slices.Contains(s.Allowed, w) {
			return parsed, false
		}
		parsed.words = append(parsed.words, w)
	}
	slices.Sort(parsed.words)
	parsed.words = slices.Compact(parsed.words)
	parsed.text = strings.Join(parsed.words, ",")
	return parsed, true
}

func (s *Spec) parseInteger(text string) (parsed value, ok bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < s.Min || number > s.Max {
		return parsed, false
	}
	return value{text: strconv.FormatInt(number, 10), number: number}, true
}

// unitsPerPercent is the number of steps in one percent; it limits percentages to
// three decimals.
const unitsPerPercent = 1000

func parsePercent(text string) (parsed value, ok bool) {
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil || percent <= 0 || percent >= 100 {
		return parsed, false
	}
	units := math.Round(percent * unitsPerPercent)
	if units/unitsPerPercent != percent {
		return parsed, false
	}
	return value{text: strconv.FormatFloat(percent, 'f', -1, 64), percent: percent}, true
}

func (s *Spec) parseDuration(text string) (parsed value, ok bool) {
	duration, err := time.ParseDuration(text)
	if err != nil || duration < s.MinDuration || duration > s.MaxDuration {
		return parsed, false
	}
	return value{text: formatDuration(duration), duration: duration}, true
}

// formatDuration omits the trailing zero units that time.Duration.String adds, so
// that ten minutes become "10m" and not "10m0s".
func formatDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func parsePrefix(text string) (parsed value, ok bool) {
	rest, ok := strings.CutPrefix(text, "/")
	if !ok {
		return parsed, false
	}
	if rest == "" {
		return value{text: text}, true
	}
	rest = strings.TrimSuffix(rest, "/")
	for s := range strings.SplitSeq(rest, "/") {
		if s == "" || s == "." || s == ".." || strings.ContainsFunc(s, isReserved) {
			return parsed, false
		}
	}
	return value{text: "/" + rest}, true
}

// isReserved reports whether a path prefix must not contain the character. In a
// request's path these characters are escaped or absent, so that a prefix with
// one of them would never match.
func isReserved(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune("?#%\\", r)
}

// Expected describes the accepted values in words.
func (s *Spec) Expected() string {
	switch s.Kind {
	case EnumKind:
		return "one of " + strings.Join(s.Allowed, ", ")
	case EnumListKind:
		return "a comma-separated list of " + strings.Join(s.Allowed, ", ")
	case NameKind:
		return "lower-case letters, digits and inner hyphens"
	case IntegerKind:
		return fmt.Sprintf("an integer from %d to %d", s.Min, s.Max)
	case PercentKind:
		return "a percentage above 0 and below 100 of at most three decimals"
	case DurationKind:
		return fmt.Sprintf("a duration from %s to %s", formatDuration(s.MinDuration), formatDuration(s.MaxDuration))
	case PathPrefixKind:
		return "a path that starts with a slash and has no empty, dot or escaped segment"
	default:
		return "text without control characters"
	}
}
