package tree_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// referenceOrigins looks up each setting at the path and then at each level above.
func referenceOrigins(f flatTree, path tree.Path) (origins []tree.Origin) {
	for _, s := range tree.Specs() {
		key := tree.Key(s.Pattern)
		if strings.Contains(s.Pattern, "*") {
			continue
		}
		origin := tree.Origin{Key: key, Value: s.Default, Default: true}
		for p := path; ; p = p.Parent() {
			if value, ok := f[settingID{p, key}]; ok {
				origin = tree.Origin{Key: key, Value: value, From: p}
				break
			}
			if p == "" || s.Local {
				break
			}
		}
		origins = append(origins, origin)
	}
	slices.SortFunc(origins, func(a, b tree.Origin) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return origins
}

func TestEffectiveSettingsMatchReferenceLookup(t *testing.T) {
	keys := []tree.Key{"description", "timeout", "priority", "retry.attempts", "remote"}
	rapid.Check(t, func(t *rapid.T) {
		current := mustApply(t, nil, drawEdits(keys...).Draw(t, "edits"))
		for _, p := range append(slices.Clone(samplePaths), "c/none/s") {
			got, err := current.EffectiveSettings(p)
			assert.NilError(t, err)
			want := referenceOrigins(flatten(current), p)
			assert.DeepEqual(t, got.Origins, want)
			var edits []tree.Edit
			for _, o := range want {
				edits = append(edits, tree.Edit{Key: o.Key, Value: o.Value})
			}
			reapplied, err := mustApply(t, nil, edits).EffectiveSettings("")
			assert.NilError(t, err)
			assert.DeepEqual(t, got.Settings, reapplied.Settings)
		}
	})
}

func TestEveryKeyIsAppliedToSettings(t *testing.T) {
	tests := []struct {
		key         tree.Key
		value, want string
		got         func(s tree.Settings) bool
	}{
		{"priority", "urgent", "urgent", func(s tree.Settings) bool { return s.Priority == mesh.Urgent }},
		{"timeout", "90000ms", "1m30s", func(s tree.Settings) bool { return s.Timeout == 90*time.Second }},
		{"retry.attempts", "+2", "2", func(s tree.Settings) bool { return s.MaxAttempts == 2 }},
		{"retry.budgetPercent", "0", "0", func(s tree.Settings) bool { return s.RetryBudgetPercent == 0 }},
		{"limits.queue", "12", "12", func(s tree.Settings) bool { return s.QueueLimit == 12 }},
		{"limits.bodyBytes", "099", "99", func(s tree.Settings) bool { return s.MaxBodyBytes == 99 }},
		{"floors.low", "1", "1", func(s tree.Settings) bool { return s.Floors[mesh.Low] == 1 }},
		{"floors.urgent", "2", "2", func(s tree.Settings) bool { return s.Floors[mesh.Urgent] == 2 }},
		{"once.window", "60m", "1h", func(s tree.Settings) bool { return s.IdempotencyWindow == time.Hour }},
		{"once.store", "memory", "memory", func(s tree.Settings) bool { return s.IdempotencyStore == tree.MemoryStore }},
		{"remote", "deny", "deny", func(s tree.Settings) bool { return !s.AllowCrossRegion }},
		{"objectives.high.latency", "7ms", "7ms", func(s tree.Settings) bool { return s.Objectives[mesh.High].Latency == 7*time.Millisecond }},
		{"objectives.low.percent", "99.90", "99.9", func(s tree.Settings) bool { return s.Objectives[mesh.Low].Percent == 99.9 }},
	}
	for _, tt := range tests {
		t.Run(string(tt.key), func(t *testing.T) {
			normalized, violations := tree.Normalize([]tree.Edit{{Key: tt.key, Value: tt.value}})
			assert.Equal(t, len(violations), 0, violations)
			assert.Equal(t, normalized[0].Value, tt.want)
			effective, err := mustApply(t, nil, normalized).EffectiveSettings("")
			assert.NilError(t, err)
			assert.Assert(t, tt.got(effective.Settings))
			assert.Assert(t, !tt.got(tree.Defaults()), "the default differs")
		})
	}
}

func TestInvalidValueIsAViolation(t *testing.T) {
	tests := []struct {
		path  tree.Path
		key   tree.Key
		value string
		want  string
	}{
		{"", "nothing", "1", "a known key"},
		{"", "routes.r.nothing", "1", "a known key"},
		{"", "routes.r.path", "/", "a key that is allowed at level root"},
		{"", "priority", "top", "one of low, normal, high, urgent"},
		{"", "timeout", "0s", "a duration from 1ms to 10m"},
		{"", "once.window", "25h", "a duration from 1s to 24h"},
		{"", "retry.attempts", "0", "an integer from 1 to 5"},
		{"", "limits.bodyBytes", "1e3", "an integer from 0 to 67108864"},
		{"", "objectives.low.percent", "100", "a percentage above 0 and below 100 of at most three decimals"},
		{"", "objectives.low.percent", "NaN", "a percentage above 0 and below 100 of at most three decimals"},
		{"", "objectives.low.percent", "99.9999", "a percentage above 0 and below 100 of at most three decimals"},
		{"a", "routes.r.methods", "GET,get", "a comma-separated list of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT, TRACE"},
		{"a", "routes.r.service", "A", "lower-case letters, digits and inner hyphens"},
		{"a", "routes.r.path", "a", "a path that starts with a slash and has no empty, dot or escaped segment"},
		{"a", "routes.r.path", "/a//b", "a path that starts with a slash and has no empty, dot or escaped segment"},
		{"a", "routes.r.path", "/a/../b", "a path that starts with a slash and has no empty, dot or escaped segment"},
		{"a", "routes.r.path", "/%61", "a path that starts with a slash and has no empty, dot or escaped segment"},
	}
	for _, tt := range tests {
		t.Run(string(tt.key)+" "+tt.value, func(t *testing.T) {
			edits := []tree.Edit{{Path: tt.path, Key: tt.key, Value: tt.value}}
			want := tree.Violations{{Path: tt.path, Key: tt.key, Value: tt.value, Expected: tt.want}}
			_, violations := tree.Normalize(edits)
			assert.DeepEqual(t, violations, want)
			current := mustApply(t, nil, edits)
			assert.DeepEqual(t, current.Validate(), want)
			_, err := current.EffectiveSettings(tt.path)
			assert.Assert(t, errors.As(err, &violations), "%v", err)
		})
	}
}

// validTree has a route that a region inherits and a route of a service.
var validTree = []tree.Edit{
	{Path: "a", Key: "routes.front.path", Value: "/front"},
	{Path: "a", Key: "routes.front.service", Value: "s"},
	{Path: "a", Key: "routes.front.methods", Value: "GET,HEAD"},
	{Path: "a/x", Key: "timeout", Value: "9s"},
	{Path: "a/x/s", Key: "priority", Value: "high"},
	{Path: "a/x/s", Key: "timeout", Value: "2s"},
	{Path: "a/x/t", Key: "routes.own.path", Value: "/own"},
	{Path: "a/x/t", Key: "routes.own.priority", Value: "low"},
}

func TestRoutesInheritUnsetFieldsFromTheirService(t *testing.T) {
	front := tree.Route{Name: "front", Prefix: "/front", Methods: []string{"GET", "HEAD"}, Service: "s"}
	own := tree.Route{Name: "own", Prefix: "/own", Service: "t", Priority: mesh.Low, Timeout: 9 * time.Second}
	customer, region := front, front
	customer.Priority, customer.Timeout = mesh.Normal, 5*time.Second
	region.Priority, region.Timeout = mesh.High, 2*time.Second
	tests := []struct {
		path tree.Path
		want []tree.Route
	}{
		{"", nil},
		{"a", []tree.Route{customer}},
		{"a/x", []tree.Route{region}},
		{"a/x/s", nil},
		{"a/x/t", []tree.Route{own}},
	}
	current := mustApply(t, nil, validTree)
	for _, tt := range tests {
		t.Run(tt.path.String(), func(t *testing.T) {
			effective, err := current.EffectiveSettings(tt.path)
			assert.NilError(t, err)
			assert.DeepEqual(t, effective.Settings.Routes, tt.want)
		})
	}
	regional, violations := current.RegionConfig("a", "x")
	assert.Equal(t, len(violations), 0)
	assert.DeepEqual(t, regional.Routes, []tree.Route{region, own})
}

func TestValidateReportsEveryViolation(t *testing.T) {
	tests := []struct {
		name  string
		edits []tree.Edit
		want  []string
	}{
		{"valid tree", nil, nil},
		{
			"service that does not exist",
			[]tree.Edit{{Path: "a", Key: "routes.front.service", Value: "gone"}},
			[]string{`/a routes.front.service is "gone", want a service that exists in /a/x`},
		},
		{
			"region without the service",
			[]tree.Edit{{Path: "a/y", Key: "timeout", Value: "1s"}},
			[]string{`/a routes.front.service is "s", want a service that exists in /a/y`},
		},
		{
			"route without a path",
			[]tree.Edit{{Path: "a/x/s", Key: "routes.half.once", Value: "true"}},
			[]string{`/a/x/s routes.half.path is "", want a path`},
		},
		{
			"floors above 100 percent",
			[]tree.Edit{{Path: "a", Key: "floors.high", Value: "80"}, {Path: "a/x/s", Key: "floors.low", Value: "11"}},
			[]string{`/a/x/s floors is "101", want a sum of at most 100 percent`},
		},
		{
			"same path and method",
			[]tree.Edit{
				{Path: "a/x/t", Key: "routes.own.path", Value: "/front"}, {Path: "a/x/t", Key: "routes.own.methods", Value: "HEAD,POST"},
			},
			[]string{`/a/x/t routes.own is "HEAD /front", want a path and method that the route front of /a does not take`},
		},
		{"same path for every other method", []tree.Edit{{Path: "a/x/t", Key: "routes.own.path", Value: "/front"}}, nil},
		{
			"two violations",
			[]tree.Edit{{Path: "a/x/s", Key: "timeout", Value: "soon"}, {Path: "b", Key: "priority", Value: "top"}},
			[]string{`/a/x/s timeout is "soon", want a duration from 1ms to 10m`, `/b priority is "top", want one of low, normal, high, urgent`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			valid := mustApply(t, nil, validTree)
			violations := mustApply(t, valid, tt.edits).Validate()
			assert.DeepEqual(t, mustApply(t, valid, tt.edits).ValidateIncremental(valid), violations)
			assert.Equal(t, violations.Error(), strings.Join(tt.want, "\n"))
		})
	}
}

func TestIdempotenceFollowsMethodUnlessSet(t *testing.T) {
	tests := []struct {
		idempotence    tree.Idempotence
		get, put, post bool
	}{
		{tree.ByMethod, true, true, false},
		{tree.AlwaysIdempotent, true, true, true},
		{tree.NeverIdempotent, false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.idempotence.String(), func(t *testing.T) {
			assert.Equal(t, tt.idempotence.IsIdempotent("GET"), tt.get)
			assert.Equal(t, tt.idempotence.IsIdempotent("PUT"), tt.put)
			assert.Equal(t, tt.idempotence.IsIdempotent("POST"), tt.post)
		})
	}
}
