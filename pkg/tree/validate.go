package tree

import (
	"fmt"
	"slices"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Validate returns every fault of the tree, none if it may be put in force.
func (t *Tree) Validate() (faults Violations) {
	for _, s := range t.Scopes() {
		faults = append(faults, t.checkScope(s)...)
	}
	return distinctFaults(faults)
}

// ValidateIncremental returns what Validate does, given that a valid tree is known:
// it looks only at scopes that differ from it or inherit from one that does.
func (t *Tree) ValidateIncremental(valid *Tree) (faults Violations) {
	for _, s := range t.Scopes() {
		if !t.EqualDownTo(valid, s) {
			faults = append(faults, t.checkScope(s)...)
		}
	}
	return distinctFaults(faults)
}

// EqualDownTo reports whether both trees have the same values from the root
// down to the scope.
func (t *Tree) EqualDownTo(other *Tree, scope Path) bool {
	for {
		mine, theirs := t.Chunk(scope), other.Chunk(scope)
		if mine != theirs && mine.Digest() != theirs.Digest() {
			return false
		}
		if scope == "" {
			return true
		}
		scope = scope.Parent()
	}
}

// distinctFaults sorts the faults; one of a path is found once for each path
// that inherits it.
func distinctFaults(faults Violations) Violations {
	slices.SortFunc(faults, compareFaults)
	return slices.Compact(faults)
}

func compareFaults(a, b Violation) int {
	if order := compareEdits(Edit{Path: a.Path, Key: a.Key}, Edit{Path: b.Path, Key: b.Key}); order != 0 {
		return order
	}
	if order := strings.Compare(a.Expected, b.Expected); order != 0 {
		return order
	}
	return strings.Compare(a.Value, b.Value)
}

// checkScope returns the faults of a scope and of what it inherits.
func (t *Tree) checkScope(scope Path) (faults Violations) {
	if scope.Level() == RegionLevel {
		_, faults = t.RegionConfig(scope.Customer(), scope.Region())
		return faults
	}
	d := t.newDraft(scope, false)
	return append(d.faults, d.checkFloors(scope)...)
}

// checkFloors returns a fault if the sum of the floors is too large at the
// path and the path itself sets one of them; else a path above is at fault.
func (d *draft) checkFloors(path Path) (faults Violations) {
	sum := 0
	for _, percent := range d.settings.Floors {
		sum += percent
	}
	if !d.hasFloor || d.floorFrom != path || sum <= maxPercent {
		return nil
	}
	return Violations{{Path: path, Key: "floors", Value: fmt.Sprint(sum), Expected: fmt.Sprintf("a sum of at most %d percent", maxPercent)}}
}

// checkUnset returns a fault for each edit that unsets what neither is set nor
// can be, such as a misspelt key.
func (t *Tree) checkUnset(edits []Edit) (faults Violations) {
	for _, e := range edits {
		if _, known := specOf(e.Key); known || !e.Unset {
			continue
		}
		if !slices.ContainsFunc(t.Values(e.Path), func(v Edit) bool { return v.Key == e.Key }) {
			faults = append(faults, Violation{Path: e.Path, Key: e.Key, Expected: "a known key"})
		}
	}
	return faults
}

// checkRoutes returns the faults of the routes of one customer and region.
func checkRoutes(region Path, routes []*routeDraft, services map[mesh.Service]*Settings) (faults Violations) {
	taken := make(map[claim]*routeDraft)
	for _, r := range routes {
		key := Key(routePrefix + r.route.Name)
		if r.route.Prefix == "" {
			faults = append(faults, Violation{Path: r.from, Key: key + ".path", Expected: "a path"})
		}
		if _, ok := services[r.route.Service]; !ok {
			faults = append(faults, Violation{
				Path: r.from, Key: key + ".service", Value: string(r.route.Service),
				Expected: fmt.Sprintf("a service that exists in %s", region),
			})
		}
		faults = append(faults, r.claim(taken)...)
	}
	return faults
}

// claim is what only one route of a customer and region may take.
type claim struct {
	prefix string
	// method is "*" for a route that takes every method.
	method string
}

var anyMethod = []string{"*"}

// claim notes the path and methods of the route, and returns a fault for each
// that another route has.
func (r *routeDraft) claim(taken map[claim]*routeDraft) (faults Violations) {
	if r.route.Prefix == "" {
		return nil
	}
	methods := r.route.Methods
	if len(methods) == 0 {
		methods = anyMethod
	}
	for _, m := range methods {
		c := claim{prefix: r.route.Prefix, method: m}
		other := taken[c]
		if other == nil {
			taken[c] = r
			continue
		}
		faults = append(faults, Violation{
			Path: r.from, Key: Key(routePrefix + r.route.Name), Value: m + " " + r.route.Prefix,
			Expected: fmt.Sprintf("a path and method that the route %s of %s does not take", other.route.Name, other.from),
		})
	}
	return faults
}
