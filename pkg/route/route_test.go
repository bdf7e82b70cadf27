package route_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// sampleEdits set routes at the levels of customer, region and service.
var sampleEdits = []tree.Edit{
	{Path: "mill", Key: "routes.stock.path", Value: "/stock"},
	{Path: "mill", Key: "routes.stock.methods", Value: "GET"},
	{Path: "mill", Key: "routes.stock.service", Value: "desk"},
	{Path: "mill", Key: "routes.booking.path", Value: "/stock/bookings"},
	{Path: "mill", Key: "routes.booking.methods", Value: "POST"},
	{Path: "mill", Key: "routes.booking.service", Value: "desk"},
	{Path: "mill", Key: "routes.booking.once", Value: "true"},
	{Path: "mill/savo", Key: "routes.rest.path", Value: "/"},
	{Path: "mill/savo", Key: "routes.rest.methods", Value: "GET,PUT"},
	{Path: "mill/savo", Key: "routes.rest.service", Value: "store"},
	{Path: "mill/savo/desk", Key: "priority", Value: "urgent"},
	{Path: "mill/savo/store", Key: "routes.other.path", Value: "/stock/other"},
	{Path: "mill/savo/store", Key: "routes.other.timeout", Value: "9s"},
	{Path: "mill/savo/store", Key: "routes.other.idempotent", Value: "true"},
	{Path: "mill/savo/idle", Key: "description", Value: "no route leads here"},
	{Path: "mill/pohjanmaa/desk", Key: "timeout", Value: "2s"},
}

func mustCompile(t assert.TestingT, edits []tree.Edit, region mesh.Region) *route.Table {
	current, err := (*tree.Tree)(nil).Apply(edits)
	assert.NilError(t, err)
	table, violations := route.Compile(current, region)
	assert.Equal(t, len(violations), 0, "%v", violations)
	return table
}

func ExampleTable_Match() {
	current, err := (*tree.Tree)(nil).Apply(sampleEdits)
	if err != nil {
		panic(err)
	}
	table, violations := route.Compile(current, "savo")
	if len(violations) > 0 {
		panic(violations)
	}
	target, err := table.Match("mill", "GET", "/stock/9")
	fmt.Println(target.Service, target.Route, target.Priority, target.Idempotent, err)
	// Output: mill/desk stock urgent true <nil>
}

func TestMatchReturnsLongestPrefixForMethod(t *testing.T) {
	table := mustCompile(t, sampleEdits, "savo")
	tests := []struct {
		method, path, route string
		service             mesh.Service
		timeout             time.Duration
		idempotent, once    bool
	}{
		{"GET", "/stock", "stock", "desk", 5 * time.Second, true, false},
		{"GET", "/stock/", "stock", "desk", 5 * time.Second, true, false},
		{"GET", "/stock/bookings/7", "stock", "desk", 5 * time.Second, true, false},
		{"POST", "/stock/bookings", "booking", "desk", 5 * time.Second, false, true},
		{"GET", "/stocks", "rest", "store", 5 * time.Second, true, false},
		{"PUT", "/stock/bookings", "rest", "store", 5 * time.Second, true, false},
		{"GET", "/", "rest", "store", 5 * time.Second, true, false},
		{"POST", "/stock/other", "other", "store", 9 * time.Second, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			got, err := table.Match("mill", tt.method, tt.path)
			assert.NilError(t, err)
			assert.Equal(t, got.Route, tt.route)
			assert.Equal(t, got.Service, mesh.ServiceID{Customer: "mill", Service: tt.service})
			assert.Equal(t, got.Timeout, tt.timeout)
			assert.Equal(t, got.Idempotent, tt.idempotent)
			assert.Equal(t, got.AtMostOnce, tt.once)
			settings, ok := table.Settings(got.Service)
			assert.Assert(t, ok && settings == got.Settings)
		})
	}
	assert.DeepEqual(t, table.Services(), []mesh.ServiceID{{Customer: "mill", Service: "desk"}, {Customer: "mill", Service: "store"}})
	_, ok := table.Settings(mesh.ServiceID{Customer: "mill", Service: "idle"})
	assert.Assert(t, !ok)
}

func TestMatchErrorsNameTheCause(t *testing.T) {
	savo, pohjanmaa := mustCompile(t, sampleEdits, "savo"), mustCompile(t, sampleEdits, "pohjanmaa")
	tests := []struct {
		name         string
		table        *route.Table
		customer     mesh.Customer
		method, path string
		want         string
		allowed      []string
	}{
		{"unknown customer", savo, "nobody", "GET", "/stock", `unknown customer "nobody"`, nil},
		{"customer without settings in the region", mustCompile(t, sampleEdits, "north"), "mill", "GET", "/stock", `unknown customer "mill"`, nil},
		{"empty table", nil, "mill", "GET", "/stock", `unknown customer "mill"`, nil},
		{"no route for the path", pohjanmaa, "mill", "GET", "/stocks", "no route of mill matches /stocks", nil},
		{"no route for the method", pohjanmaa, "mill", "PUT", "/stock/bookings", "no route of mill matches PUT /stock/bookings, allowed methods: GET, POST", []string{"GET", "POST"}},
		{"no leading slash", pohjanmaa, "mill", "GET", "stock", "no route of mill matches stock", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := tt.table.Match(tt.customer, tt.method, tt.path)
			assert.Error(t, err, tt.want)
			var noRoute *route.NoRouteError
			if errors.As(err, &noRoute) {
				assert.DeepEqual(t, noRoute.AllowedMethods, tt.allowed)
			}
		})
	}
}

func TestInvalidTreeDoesNotCompile(t *testing.T) {
	current, err := (*tree.Tree)(nil).Apply(append(slices.Clone(sampleEdits), tree.Edit{Path: "other", Key: "timeout", Value: "soon"}))
	assert.NilError(t, err)
	table, violations := route.Compile(current, "savo")
	assert.Assert(t, table == nil)
	assert.Equal(t, len(violations), 1)
}

func TestCompileIncrementalSharesUnchangedSettings(t *testing.T) {
	edits := append(slices.Clone(sampleEdits), tree.Edit{Path: "other/savo/s", Key: "routes.r.path", Value: "/r"})
	first, err := (*tree.Tree)(nil).Apply(edits)
	assert.NilError(t, err)
	previous, violations := route.Compile(first, "savo")
	assert.Equal(t, len(violations), 0)
	tests := []struct {
		name       string
		edit       tree.Edit
		region     mesh.Region
		violations int
		shared     []mesh.Customer
	}{
		{"region of one customer changes", tree.Edit{Path: "mill/savo/desk", Key: "timeout", Value: "1s"}, "savo", 0, []mesh.Customer{"other"}},
		{"customer level changes", tree.Edit{Path: "other", Key: "timeout", Value: "1s"}, "savo", 0, []mesh.Customer{"mill"}},
		{"root changes", tree.Edit{Key: "timeout", Value: "1s"}, "savo", 0, nil},
		{"another region changes", tree.Edit{Path: "mill/pohjanmaa", Key: "timeout", Value: "1s"}, "savo", 0, []mesh.Customer{"mill", "other"}},
		{"previous table is for another region", tree.Edit{Path: "mill", Key: "priority", Value: "low"}, "pohjanmaa", 0, nil},
		{"invalid value", tree.Edit{Path: "mill/pohjanmaa", Key: "timeout", Value: "soon"}, "savo", 1, nil},
		{"service of a route is removed", tree.Edit{Path: "mill/savo/desk", Key: "priority", Unset: true}, "savo", 2, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, errApply := first.Apply([]tree.Edit{tt.edit})
			assert.NilError(t, errApply)
			got, gotViolations := route.CompileIncremental(previous, next, tt.region)
			want, wantViolations := route.Compile(next, tt.region)
			assert.DeepEqual(t, gotViolations, wantViolations)
			assert.Equal(t, len(gotViolations), tt.violations)
			assert.DeepEqual(t, got.Services(), want.Services())
			for _, id := range got.Services() {
				before, _ := previous.Settings(id)
				now, _ := got.Settings(id)
				fresh, _ := want.Settings(id)
				assert.DeepEqual(t, now, fresh)
				assert.Equal(t, now == before, slices.Contains(tt.shared, id.Customer), "%s", id)
			}
		})
	}
}

// referenceMatch tries all routes in turn.
func referenceMatch(routes []tree.Route, method, path string) (name string) {
	length, named := -1, false
	for _, r := range routes {
		prefix := strings.TrimSuffix(r.Prefix, "/")
		if path != prefix && !strings.HasPrefix(path, prefix+"/") {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		if len(prefix) > length || len(prefix) == length && !named && len(r.Methods) > 0 {
			name, length, named = r.Name, len(prefix), len(r.Methods) > 0
		}
	}
	return name
}

func TestMatchAgreesWithLinearSearch(t *testing.T) {
	paths := rapid.StringMatching(`(/[ab]{1,2}){0,4}/?`)
	rapid.Check(t, func(t *rapid.T) {
		var edits []tree.Edit
		seen := map[string]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			prefix := rapid.StringMatching(`/|(/[ab]{1,2}){1,3}`).Draw(t, "prefix")
			method := rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method")
			if seen[method+prefix] {
				continue
			}
			seen[method+prefix] = true
			key := tree.Key(fmt.Sprintf("routes.r%d.", i))
			edits = append(edits, tree.Edit{Path: "c/r/s", Key: key + "path", Value: prefix}, tree.Edit{Path: "c/r/s", Key: key + "methods", Value: method})
		}
		current, err := (*tree.Tree)(nil).Apply(edits)
		assert.NilError(t, err)
		config, _ := current.RegionConfig("c", "r")
		table := mustCompile(t, edits, "r")
		for range 10 {
			path, method := paths.Draw(t, "path"), rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "asked")
			got, err := table.Match("c", method, path)
			want := referenceMatch(config.Routes, method, path)
			assert.Equal(t, got.Route, want, "%s %s", method, path)
			assert.Equal(t, err == nil, want != "")
		}
	})
}

func TestMatchAllocatesNothing(t *testing.T) {
	table := mustCompile(t, sampleEdits, "savo")
	got := testing.AllocsPerRun(100, func() { _, _ = table.Match("mill", "POST", "/stock/bookings/7") })
	assert.Equal(t, got, 0.0)
}

// largeFleet returns the edits for the size planned for in two years: 870 services
// in one region, with one route each.
func largeFleet() (edits []tree.Edit) {
	for c := range 29 {
		for s := range 30 {
			path := tree.Path(fmt.Sprintf("c%d/r/s%d", c, s))
			edits = append(edits,
				tree.Edit{Path: path, Key: "routes.own.path", Value: fmt.Sprintf("/s%d/deep/prefix", s)},
				tree.Edit{Path: path, Key: "routes.own.methods", Value: "GET,POST"})
		}
	}
	return edits
}

func BenchmarkMatch(b *testing.B) {
	benchmarks := []struct{ name, path string }{
		{"short", "/s7/deep/prefix"},
		{"long", "/s7/deep/prefix" + strings.Repeat("/segment", 50)},
	}
	table := mustCompile(b, largeFleet(), "r")
	for _, bb := range benchmarks {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Match("c17", "POST", bb.path); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	current, err := (*tree.Tree)(nil).Apply(largeFleet())
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, violations := route.Compile(current, "r"); len(violations) > 0 {
			b.Fatal(violations)
		}
	}
}

func BenchmarkCompileIncrementalOneEdit(b *testing.B) {
	current, err := (*tree.Tree)(nil).Apply(largeFleet())
	assert.NilError(b, err)
	previous, _ := route.Compile(current, "r")
	next, err := current.Apply([]tree.Edit{{Path: "c3/r/s7", Key: "timeout", Value: "1s"}})
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, violations := route.CompileIncremental(previous, next, "r"); len(violations) > 0 {
			b.Fatal(violations)
		}
	}
}
