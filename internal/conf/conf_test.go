package conf_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/conf"
)

const valid = `
host: lsn-a-1
region: ch-west
zone: lsn-a
listen: {callers: "127.0.0.1:8080", nodes: "127.0.0.1:8081", admin: "127.0.0.1:8082"}
platform: 127.0.0.1:8000
`

func TestParseReportsEveryViolation(t *testing.T) {
	tests := []struct {
		name  string
		text  string
		paths []string
	}{
		{name: "valid settings", text: valid},
		{name: "all settings missing", text: "{}", paths: []string{
			"host", "region", "zone", "listen.callers", "listen.nodes", "listen.admin", "platform",
		}},
		{name: "values out of bounds", text: valid + "relays: 99\nlog: {level: loud}\ncustomer: No_Name\n", paths: []string{
			"customer", "relays", "log.level",
		}},
		{name: "type errors and invalid values together", text: valid + "hots: x\nrelays: many\nlog: {level: loud}\n", paths: []string{
			"hots", "relays", "log.level",
		}},
		{name: "lease shorter than three heartbeats", text: valid + "timing: {heartbeat: 5s, lease: 6s}\n", paths: []string{
			"timing.lease",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := conf.Parse([]byte(tt.text))
			var violations conf.Violations
			if err != nil {
				assert.Assert(t, errors.As(err, &violations), "got %v", err)
			}
			paths := make([]string, 0, len(violations))
			for _, v := range violations {
				paths = append(paths, v.Path)
				assert.Assert(t, v.Expected != "")
			}
			assert.DeepEqual(t, paths, append([]string{}, tt.paths...))
		})
	}
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{name: "unknown key", text: valid + "hots: x\n", want: `7:1: hots: "x" is not allowed, want a known key`},
		{name: "address with a host name", text: valid + "peers: [localhost:80]\n", want: `7:9: peers[0]: "localhost:80"`},
		{name: "not a duration", text: valid + "timing: {heartbeat: soon}\n", want: `7:21: timing.heartbeat: "soon" is not allowed, want a duration`},
		{name: "not a number", text: valid + "relays: many\n", want: `7:9: relays: "many" is not allowed, want a whole number`},
		{name: "a value in place of a group", text: valid + "limits: 5\n", want: `7:9: limits: "5" is not allowed, want a mapping`},
		{name: "a value in place of a list", text: valid + "peers: 5\n", want: `7:8: peers: "5" is not allowed, want a list`},
		{name: "two documents", text: valid + "---\nhost: x\n", want: "one document"},
		{name: "not YAML", text: "host: [", want: "["},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := conf.Parse([]byte(tt.text))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func TestViolationsIncludeFileAndPosition(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{name: "invalid value", text: valid + "relays: 99\n", want: `:7:1: relays: "99" is not allowed, want at most 16`},
		{name: "missing in a group", text: strings.Replace(valid, `, nodes: "127.0.0.1:8081"`, "", 1), want: `:5:1: listen.nodes: "" is not allowed, want an IP address`},
		{name: "long value", text: valid + "relays: " + strings.Repeat("x", 1000), want: `:7:9: relays: "` + strings.Repeat("x", 80) + "…"},
		{name: "missing at the top level", text: strings.Replace(valid, "zone: lsn-a\n", "", 1), want: `:1:1: zone: "" is not allowed`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.yaml")
			assert.NilError(t, os.WriteFile(file, []byte(tt.text), 0o600))
			_, err := conf.Load(file)
			assert.ErrorContains(t, err, file+tt.want)
		})
	}
}
