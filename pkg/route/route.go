// Package route matches requests to services by the routes of a settings tree.
package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Target is what a request was matched to.
type Target struct {
	// Service names the service that takes the request.
	Service mesh.ServiceID
	// Route is the name of the route.
	Route string
	// Settings are those of the service; they must not be changed.
	Settings *tree.Settings
	// Priority ranks the request.
	Priority mesh.Priority
	// Timeout bounds the request.
	Timeout time.Duration
	// Idempotent tells that the request may be repeated.
	Idempotent bool
	// AtMostOnce tells that the request's Idempotency-Key is honoured.
	AtMostOnce bool
}

// UnknownCustomerError tells that the region serves no such customer.
type UnknownCustomerError struct {
	// Customer is the one asked for.
	Customer mesh.Customer
}

// Error implements error.
func (u *UnknownCustomerError) Error() string {
	return fmt.Sprintf("unknown customer %q", u.Customer)
}

// NoRouteError tells that no route of the customer takes the request.
type NoRouteError struct {
	// Customer is the one asked for.
	Customer mesh.Customer
	// Method and Path are those of the request.
	Method, Path string
	// AllowedMethods lists the methods that routes of this path take, sorted; none
	// if no route has the path.
	AllowedMethods []string
}

// Error implements error.
func (n *NoRouteError) Error() string {
	if len(n.AllowedMethods) > 0 {
		return fmt.Sprintf("no route of %s takes %s %s, only %s", n.Customer, n.Method, n.Path, strings.Join(n.AllowedMethods, ", "))
	}
	return fmt.Sprintf("no route of %s takes %s", n.Customer, n.Path)
}

// candidate is a route in the form that matching needs.
type candidate struct {
	// methods are those of the route; none takes every method.
	methods     []string
	idempotence tree.Idempotence
	// target is complete but for Idempotent, which goes by the method.
	target Target
}

func (c *candidate) takes(method string) bool {
	return len(c.methods) == 0 || slices.Contains(c.methods, method)
}

// domain holds the routes of one customer.
type domain struct {
	// prefixes holds the routes of each prefix, those of any method last. The
	// prefix "/" is kept as "".
	prefixes map[string][]candidate
	// depth is the count of segments of the longest prefix.
	depth int
}

// Table holds the routes of one region and never changes. The zero Table and a
// nil one have none.
type Table struct {
	// source is the valid tree that the table was made from.
	source   *tree.Tree
	region   mesh.Region
	domains  map[mesh.Customer]*domain
	settings map[mesh.ServiceID]*tree.Settings
	// services names those that a route leads to, sorted.
	services []mesh.ServiceID
}

// Compile returns the table of a region, or every fault of the tree.
func Compile(t *tree.Tree, region mesh.Region) (table *Table, faults tree.Violations) {
	return CompileIncremental(nil, t, region)
}

// CompileIncremental returns what Compile does, and takes over from the last table what
// the tree has not changed since. The last table may be nil.
func CompileIncremental(last *Table, t *tree.Tree, region mesh.Region) (table *Table, faults tree.Violations) {
	if last == nil || last.region != region {
		last = &Table{region: region}
	}
	if faults = t.ValidateIncremental(last.source); len(faults) > 0 {
		return nil, faults
	}
	table = &Table{
		source: t, region: region,
		domains:  make(map[mesh.Customer]*domain, len(last.domains)),
		settings: make(map[mesh.ServiceID]*tree.Settings, len(last.settings)),
	}
	for _, c := range t.Customers() {
		scope := tree.Join(c, region, "")
		if t.Chunk(scope).Empty() {
			continue
		}
		d := last.domains[c]
		if d == nil || !t.EqualDownTo(last.source, scope) {
			regional, _ := t.RegionConfig(c, region)
			d = newDomain(c, regional)
		}
		table.add(c, d)
	}
	table.services = slices.SortedFunc(maps.Keys(table.settings), compareIDs)
	return table, nil
}

func compareIDs(a, b mesh.ServiceID) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
}

// add puts one customer's routes into the table.
func (t *Table) add(customer mesh.Customer, d *domain) {
	t.domains[customer] = d
	for _, candidates := range d.prefixes {
		for i := range candidates {
			t.settings[candidates[i].target.Service] = candidates[i].target.Settings
		}
	}
}

func newDomain(customer mesh.Customer, regional tree.RegionConfig) *domain {
	d := &domain{prefixes: make(map[string][]candidate, len(regional.Routes))}
	for _, r := range regional.Routes {
		prefix := strings.TrimSuffix(r.Prefix, "/")
		d.depth = max(d.depth, strings.Count(prefix, "/"))
		d.prefixes[prefix] = append(d.prefixes[prefix], candidate{
			methods: r.Methods, idempotence: r.Idempotence,
			target: Target{
				Service: mesh.ServiceID{Customer: customer, Service: r.Service},
				Route:   r.Name, Settings: regional.Services[r.Service],
				Priority: r.Priority, Timeout: r.Timeout, AtMostOnce: r.AtMostOnce,
			},
		})
	}
	for _, candidates := range d.prefixes {
		slices.SortStableFunc(candidates, func(a, b candidate) int {
			return cmp.Compare(min(1, len(b.methods)), min(1, len(a.methods)))
		})
	}
	return d
}

// Match returns the target of a request: of the routes that take the method,
// the one with the longest prefix, and of equal prefixes one that names the
// method. The path must be absolute, cleaned of dot segments and without query.
func (t *Table) Match(customer mesh.Customer, method, path string) (target Target, err error) {
	var d *domain
	if t != nil {
		d = t.domains[customer]
	}
	if d == nil {
		return target, &UnknownCustomerError{Customer: customer}
	}
	for prefix, more := d.longest(path), true; more; prefix, more = shorten(prefix) {
		candidates := d.prefixes[prefix]
		for i := range candidates {
			if candidates[i].takes(method) {
				target = candidates[i].target
				target.Idempotent = candidates[i].idempotence.IsIdempotent(method)
				return target, nil
			}
		}
	}
	return target, &NoRouteError{Customer: customer, Method: method, Path: path, AllowedMethods: d.allowed(path)}
}

// longest returns the first segments of the path, as many as a prefix can have.
func (d *domain) longest(path string) string {
	segments := 0
	for i := 0; i < len(path); i++ {
		if path[i] != '/' {
			continue
		}
		if segments == d.depth {
			return path[:i]
		}
		segments++
	}
	return path
}

// shorten cuts the last segment; the empty prefix has none.
func shorten(prefix string) (shorter string, more bool) {
	i := strings.LastIndexByte(prefix, '/')
	if i < 0 {
		return "", false
	}
	return prefix[:i], true
}

// allowed returns the methods that routes of the path take.
func (d *domain) allowed(path string) (methods []string) {
	for prefix, more := d.longest(path), true; more; prefix, more = shorten(prefix) {
		for _, c := range d.prefixes[prefix] {
			methods = append(methods, c.methods...)
		}
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}

// Services returns every service that a route leads to, sorted.
func (t *Table) Services() []mesh.ServiceID {
	if t == nil {
		return nil
	}
	return slices.Clone(t.services)
}

// Settings returns the settings of a service that a route leads to; they must
// not be changed.
func (t *Table) Settings(id mesh.ServiceID) (settings *tree.Settings, ok bool) {
	if t == nil {
		return nil, false
	}
	settings, ok = t.settings[id]
	return settings, ok
}
