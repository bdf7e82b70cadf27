package conf_test

import (
	"errors"
	"strings"
	"testing"

	"arbutusstep.example/arbutusstep/internal/conf"
)

func FuzzParseReturnsSettingsOrViolations(f *testing.F) {
	seeds := []string{
		valid, "", "host: [", "- a", "a: &a [*a]", "listen: 5\nlog: {level: [a]}", "peers: [[1], {a: b}]",
		"? a\n: b", "timing: {<<: {heartbeat: 1s}}", "!!binary x", strings.Repeat("[", 1000),
	}
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := conf.Parse([]byte(text))
		var violations conf.Violations
		if err != nil && (!errors.As(err, &violations) || len(violations) == 0 || violations.Error() == "") {
			t.Fatalf("Parse(%q) returned %v", text, err)
		}
	})
}
