package plan_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// rule returns a rule that is allowed.
func rule(name, host, prefix string, parts ...plan.WeightedService) *plan.Rule {
	if len(parts) == 0 {
		parts = []plan.WeightedService{{Service: "orders", Weight: 1}}
	}
	return &plan.Rule{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 1, Services: parts}
}

var services = []plan.Service{{Name: "orders"}, {Name: "prints"}}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	made, err := plan.New(3, plan.Limits{}, services, []*plan.Rule{
		rule("root", "a.example", "/"), rule("one", "a.example", "/one/"), rule("two", "a.example", "/one/two/"),
		rule("other", "b.example", "/one/"),
	})
	assert.NilError(t, err)
	tests := []struct {
		name, host, path, want string
	}{
		{name: "whole prefix", host: "a.example", path: "/one/", want: "one"},
		{name: "below it", host: "a.example", path: "/one/x", want: "one"},
		{name: "longest", host: "a.example", path: "/one/two/x/y", want: "two"},
		{name: "prefix without its slash", host: "a.example", path: "/one/two", want: "one"},
		{name: "root", host: "a.example", path: "/three", want: "root"},
		{name: "host with a port and in capitals", host: "A.Example:80", path: "/one/x", want: "one"},
		{name: "other host", host: "b.example", path: "/one/x", want: "other"},
		{name: "no rule of the host", host: "b.example", path: "/two/"},
		{name: "unknown host", host: "c.example", path: "/one/"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, found := made.Match(tt.host, tt.path)
			assert.Equal(t, found, tt.want != "")
			if found {
				assert.Equal(t, got.Name, tt.want)
			}
		})
	}
}

func TestVersionsStandOrFallAsAWhole(t *testing.T) {
	change := func(edit func(r *plan.Rule)) *plan.Rule {
		r := rule("r", "a", "/r/")
		edit(r)
		return r
	}
	tests := []struct {
		name    string
		version mesh.Version
		rule    *plan.Rule
		want    string
	}{
		{name: "allowed", version: 1, rule: rule("r", "a", "/r/")},
		{name: "no version", rule: rule("r", "a", "/r/"), want: "version is missing"},
		{name: "no host", version: 1, rule: rule("r", "", "/r/"), want: "host is missing"},
		{name: "prefix without a slash", version: 1, rule: rule("r", "a", "/r"), want: "must begin and end"},
		{name: "same prefix", version: 1, rule: rule("r", "a", "/taken/"), want: `is that of rule "first"`},
		{name: "no timeout", version: 1, rule: change(func(r *plan.Rule) { r.Timeout = 0 }), want: "timeout"},
		{name: "no attempts", version: 1, rule: change(func(r *plan.Rule) { r.MaxAttempts = 0 }), want: "attempts"},
		{name: "rank below zero", version: 1, rule: change(func(r *plan.Rule) { r.Rank = -1 }), want: "rank"},
		{name: "no service", version: 1, rule: change(func(r *plan.Rule) { r.Services = nil }), want: "no service"},
		{name: "unknown service", version: 1, rule: rule("r", "a", "/r/", plan.WeightedService{Service: "x", Weight: 1}), want: "unknown service"},
		{name: "weight of zero", version: 1, rule: rule("r", "a", "/r/", plan.WeightedService{Service: "orders"}), want: "weight"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			made, err := plan.New(tt.version, plan.Limits{}, services, []*plan.Rule{rule("first", "a", "/taken/"), tt.rule})
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
			assert.Assert(t, made == nil)
		})
	}
}

func TestPartsGetTheirShare(t *testing.T) {
	r := rule("r", "a", "/r/", plan.WeightedService{Service: "orders", Weight: 90}, plan.WeightedService{Service: "prints", Weight: 10})
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[mesh.Service]int{}
	for range 10000 {
		counts[r.ChooseService(random.Float64())]++
	}
	assert.Assert(t, counts["prints"] > 900 && counts["prints"] < 1100, "%v", counts)
	assert.Equal(t, counts["orders"]+counts["prints"], 10000)
}

func TestNilPlanHasNothing(t *testing.T) {
	var none *plan.Plan
	_, found := none.Match("a", "/")
	assert.Assert(t, !found)
	assert.Equal(t, none.Version(), mesh.Version(0))
	assert.Equal(t, none.MaxTimeout(), time.Duration(0))
}
