package plan_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// validRule returns a rule that New accepts.
func validRule(name, host, prefix string, services ...plan.WeightedService) *plan.Rule {
	if len(services) == 0 {
		services = []plan.WeightedService{{Service: "orders", Weight: 1}}
	}
	return &plan.Rule{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 1, Services: services}
}

var knownServices = []plan.Service{{Name: "orders"}, {Name: "prints"}}

func TestMatchReturnsRuleWithLongestPrefix(t *testing.T) {
	built, err := plan.New(3, plan.Limits{}, knownServices, []*plan.Rule{
		validRule("root", "a.example", "/"), validRule("one", "a.example", "/one/"), validRule("two", "a.example", "/one/two/"),
		validRule("other", "b.example", "/one/"),
	})
	assert.NilError(t, err)
	tests := []struct {
		name, host, path, want string
	}{
		{name: "path equal to the prefix", host: "a.example", path: "/one/", want: "one"},
		{name: "path below the prefix", host: "a.example", path: "/one/x", want: "one"},
		{name: "longest of several prefixes", host: "a.example", path: "/one/two/x/y", want: "two"},
		{name: "prefix without its final slash", host: "a.example", path: "/one/two", want: "one"},
		{name: "root", host: "a.example", path: "/three", want: "root"},
		{name: "host with a port and in upper case", host: "A.Example:80", path: "/one/x", want: "one"},
		{name: "other host", host: "b.example", path: "/one/x", want: "other"},
		{name: "no matching rule of the host", host: "b.example", path: "/two/"},
		{name: "unknown host", host: "c.example", path: "/one/"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, found := built.Match(tt.host, tt.path)
			assert.Equal(t, found, tt.want != "")
			if found {
				assert.Equal(t, got.Name, tt.want)
			}
		})
	}
}

func TestNewRejectsWholeVersionForOneInvalidRule(t *testing.T) {
	modified := func(edit func(r *plan.Rule)) *plan.Rule {
		r := validRule("r", "a", "/r/")
		edit(r)
		return r
	}
	tests := []struct {
		name    string
		version mesh.Version
		rule    *plan.Rule
		want    string
	}{
		{name: "valid", version: 1, rule: validRule("r", "a", "/r/")},
		{name: "no version", rule: validRule("r", "a", "/r/"), want: "version is missing"},
		{name: "no host", version: 1, rule: validRule("r", "", "/r/"), want: "host is missing"},
		{name: "prefix without a slash", version: 1, rule: validRule("r", "a", "/r"), want: "must begin and end"},
		{name: "prefix used twice", version: 1, rule: validRule("r", "a", "/taken/"), want: `is already used by rule "first"`},
		{name: "no timeout", version: 1, rule: modified(func(r *plan.Rule) { r.Timeout = 0 }), want: "timeout"},
		{name: "no attempts", version: 1, rule: modified(func(r *plan.Rule) { r.MaxAttempts = 0 }), want: "attempts"},
		{name: "rank below zero", version: 1, rule: modified(func(r *plan.Rule) { r.Rank = -1 }), want: "rank"},
		{name: "no service", version: 1, rule: modified(func(r *plan.Rule) { r.Services = nil }), want: "no service"},
		{name: "unknown service", version: 1, rule: validRule("r", "a", "/r/", plan.WeightedService{Service: "x", Weight: 1}), want: "unknown service"},
		{name: "weight below zero", version: 1, rule: validRule("r", "a", "/r/", plan.WeightedService{Service: "orders", Weight: -1}), want: "weight"},
		{name: "one weight of zero", version: 1, rule: validRule("r", "a", "/r/", plan.WeightedService{Service: "orders"}, plan.WeightedService{Service: "prints", Weight: 100})},
		{name: "only weights of zero", version: 1, rule: validRule("r", "a", "/r/", plan.WeightedService{Service: "orders"}, plan.WeightedService{Service: "prints"})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			built, err := plan.New(tt.version, plan.Limits{}, knownServices, []*plan.Rule{validRule("first", "a", "/taken/"), tt.rule})
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
			assert.Assert(t, built == nil)
		})
	}
}

// TestRequestsAreSplitByWeight guards against requests for a service whose weight is zero,
// as that is how operators take the last requests from it.
func TestRequestsAreSplitByWeight(t *testing.T) {
	const samples = 10000
	tests := []struct {
		name           string
		orders, prints float64
		// least and most limit the requests for prints; the others go to orders.
		least, most int
		noneFound   bool
	}{
		{name: "both", orders: 90, prints: 10, least: 900, most: 1100},
		{name: "fractions", orders: 0.9, prints: 0.1, least: 900, most: 1100},
		{name: "first is zero", prints: 100, least: samples, most: samples},
		{name: "last is zero", orders: 100},
		{name: "very large", orders: 1e300, prints: 1e300, least: 4800, most: 5200},
		{name: "all are zero", noneFound: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := validRule("r", "a", "/r/", plan.WeightedService{Service: "orders", Weight: tt.orders}, plan.WeightedService{Service: "prints", Weight: tt.prints})
			random := rand.New(rand.NewPCG(1, 2))
			counts := map[mesh.Service]int{}
			for i := range samples {
				sample := random.Float64()
				if i == 0 {
					sample = 0
				}
				service, found := r.ChooseService(sample)
				assert.Equal(t, found, !tt.noneFound)
				counts[service]++
			}
			if tt.noneFound {
				return
			}
			assert.Assert(t, counts["prints"] >= tt.least && counts["prints"] <= tt.most, "%v", counts)
			assert.Equal(t, counts["orders"]+counts["prints"], samples)
		})
	}
}

func TestNilPlanIsEmpty(t *testing.T) {
	var empty *plan.Plan
	_, found := empty.Match("a", "/")
	assert.Assert(t, !found)
	assert.Equal(t, empty.Version(), mesh.Version(0))
	assert.Equal(t, empty.MaxTimeout(), time.Duration(0))
}
