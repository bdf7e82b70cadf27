package tree

import (
	"fmt"
	"slices"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Validate returns all violations in the tree, sorted; none if the tree is valid.
func (t *Tree) Validate() (violations Violations) {
	for _, s := range t.Scopes() {
		violations = append(violations, t.checkScope(s)...)
	}
	return sortViolations(violations)
}

// ValidateIncremental returns the same as Validate, but is faster if a valid tree
// is known: it checks only the scopes that differ between the trees, and those
// that inherit from such a scope.
func (t *Tree) ValidateIncremental(valid *Tree) (violations Violations) {
	for _, s := range t.Scopes() {
		if !t.EqualDownTo(valid, s) {
			violations = append(violations, t.checkScope(s)...)
		}
	}
	return sortViolations(violations)
}

// EqualDownTo reports whether both trees have the same values at the scope and at
// all levels above it.
func (t *Tree) EqualDownTo(other *Tree, scope Path) bool {
	for {
		own, others := t.Chunk(scope), other.Chunk(scope)
		if own != others && own.Digest() != others.Digest() {
			return false
		}
		if scope == "" {
			return true
		}
		scope = scope.Parent()
	}
}

// sortViolations sorts the violations and removes duplicates, which arise because
// an invalid value is found again at every path that inherits it.
func sortViolations(violations Violations) Violations {
	slices.SortFunc(violations, compareViolations)
	return slices.Compact(violations)
}

func compareViolations(a, b Violation) int {
	if order := compareEdits(Edit{Path: a.Path, Key: a.Key}, Edit{Path: b.Path, Key: b.Key}); order != 0 {
		return order
	}
	if order := strings.Compare(a.Expected, b.Expected); order != 0 {
		return order
	}
	return strings.Compare(a.Value, b.Value)
}

// checkScope returns the violations in a scope and in the levels above it.
func (t *Tree) checkScope(scope Path) (violations Violations) {
	if scope.Level() == RegionLevel {
		_, violations = t.RegionConfig(scope.Customer(), scope.Region())
		return violations
	}
	builder := t.collect(scope, false)
	return append(builder.violations, builder.checkFloors(scope)...)
}

// checkFloors returns a violation if the floors at the path add up to more than
// 100 percent and the path itself sets one of them. If it sets none, the violation
// is reported at a level above.
func (b *settingsBuilder) checkFloors(path Path) (violations Violations) {
	sum := 0
	for _, percent := range b.settings.Floors {
		sum += percent
	}
	if !b.hasFloor || b.floorPath != path || sum <= maxPercent {
		return nil
	}
	return Violations{{Path: path, Key: "floors", Value: fmt.Sprint(sum), Expected: fmt.Sprintf("a sum of at most %d percent", maxPercent)}}
}

// checkUnset returns a violation for each edit that unsets an unknown key which is
// not set either, such as a misspelled one. Unknown keys that are set can be
// removed.
func (t *Tree) checkUnset(edits []Edit) (violations Violations) {
	for _, e := range edits {
		if _, known := specOf(e.Key); known || !e.Unset {
			continue
		}
		if !slices.ContainsFunc(t.Values(e.Path), func(v Edit) bool { return v.Key == e.Key }) {
			violations = append(violations, Violation{Path: e.Path, Key: e.Key, Expected: "a known key"})
		}
	}
	return violations
}

// checkRoutes returns the violations in the routes of one customer and region.
func checkRoutes(region Path, routes []*routeBuilder, services map[mesh.Service]*Settings) (violations Violations) {
	reserved := make(map[routeMatch]*routeBuilder)
	for _, r := range routes {
		key := Key(routePrefix + r.route.Name)
		if r.route.Prefix == "" {
			violations = append(violations, Violation{Path: r.lastSetBy, Key: key + ".path", Expected: "a path"})
		}
		if _, ok := services[r.route.Service]; !ok {
			violations = append(violations, Violation{
				Path: r.lastSetBy, Key: key + ".service", Value: string(r.route.Service),
				Expected: fmt.Sprintf("a service that exists in %s", region),
			})
		}
		violations = append(violations, r.reserve(reserved)...)
	}
	return violations
}

// routeMatch is a combination of prefix and method, which only one route of a
// customer and region may have.
type routeMatch struct {
	prefix string
	// method is "*" for a route that accepts every method.
	method string
}

var anyMethod = []string{"*"}

// reserve registers the prefix and methods of the route, and returns a violation
// for each combination that another route has.
func (r *routeBuilder) reserve(reserved map[routeMatch]*routeBuilder) (violations Violations) {
	if r.route.Prefix == "" {
		return nil
	}
	methods := r.route.Methods
	if len(methods) == 0 {
		methods = anyMethod
	}
	for _, m := range methods {
		match := routeMatch{prefix: r.route.Prefix, method: m}
		other := reserved[match]
		if other == nil {
			reserved[match] = r
			continue
		}
		violations = append(violations, Violation{
			Path: r.lastSetBy, Key: Key(routePrefix + r.route.Name), Value: m + " " + r.route.Prefix,
			Expected: fmt.Sprintf("a path and method that the route %s of %s does not take", other.route.Name, other.lastSetBy),
		})
	}
	return violations
}
