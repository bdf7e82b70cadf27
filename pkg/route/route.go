// Package route compiles the routes of a settings tree into a table and matches
// requests against it. It does no I/O.
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

// Target is the result of matching a request.
type Target struct {
	// Service is the service that receives the request.
	Service mesh.ServiceID
	// Route is the name of the matched route.
	Route string
	// Settings are the settings of the service. They are shared and must not be
	// modified.
	Settings *tree.Settings
	// Priority is the priority of the request.
	Priority mesh.Priority
	// Timeout is the time within which the request must be answered.
	Timeout time.Duration
	// Idempotent is true if the request may be retried after it may have run.
	Idempotent bool
	// AtMostOnce is true if requests with the same Idempotency-Key run at most once.
	AtMostOnce bool
}

// UnknownCustomerError is returned if the table's region has no settings for the
// customer.
type UnknownCustomerError struct {
	// Customer is the customer of the request.
	Customer mesh.Customer
}

// Error implements error.
func (u *UnknownCustomerError) Error() string {
	return fmt.Sprintf("unknown customer %q", u.Customer)
}

// NoRouteError is returned if no route of the customer matches the request.
type NoRouteError struct {
	// Customer is the customer of the request.
	Customer mesh.Customer
	// Method and Path are the method and path of the request.
	Method, Path string
	// AllowedMethods lists the methods that are routed for this path, sorted; empty
	// if no route matches the path.
	AllowedMethods []string
}

// Error implements error.
func (n *NoRouteError) Error() string {
	if len(n.AllowedMethods) > 0 {
		return fmt.Sprintf("no route of %s matches %s %s, allowed methods: %s", n.Customer, n.Method, n.Path, strings.Join(n.AllowedMethods, ", "))
	}
	return fmt.Sprintf("no route of %s matches %s", n.Customer, n.Path)
}

// compiledRoute is a route prepared for matching.
type compiledRoute struct {
	// methods are the methods of the route; empty accepts every method.
	methods     []string
	idempotence tree.Idempotence
	// target is complete except for Idempotent, which depends on the method.
	target Target
}

func (r *compiledRoute) acceptsMethod(method string) bool {
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

// customerRoutes holds the compiled routes of one customer.
type customerRoutes struct {
	// byPrefix holds the routes of each prefix; those that accept every method come
	// last. The key for the prefix "/" is "".
	byPrefix map[string][]compiledRoute
	// maxDepth is the largest number of segments in a prefix.
	maxDepth int
}

// Table is an immutable table of all routes in one region. The zero Table and a
// nil one have no routes.
type Table struct {
	// source is the tree from which the table was compiled; it is valid.
	source    *tree.Tree
	region    mesh.Region
	customers map[mesh.Customer]*customerRoutes
	settings  map[mesh.ServiceID]*tree.Settings
	// services lists the services to which a route leads, sorted.
	services []mesh.ServiceID
}

// Compile returns the table of a region, or all violations in the tree.
func Compile(t *tree.Tree, region mesh.Region) (table *Table, violations tree.Violations) {
	return CompileIncremental(nil, t, region)
}

// CompileIncremental returns the same as Compile, but validates and compiles only
// what has changed since the previous table and shares the rest with it. The
// previous table may be nil.
func CompileIncremental(previous *Table, t *tree.Tree, region mesh.Region) (table *Table, violations tree.Violations) {
	if previous == nil || previous.region != region {
		previous = &Table{region: region}
	}
	if violations = t.ValidateIncremental(previous.source); len(violations) > 0 {
		return nil, violations
	}
	table = &Table{
		source: t, region: region,
		customers: make(map[mesh.Customer]*customerRoutes, len(previous.customers)),
		settings:  make(map[mesh.ServiceID]*tree.Settings, len(previous.settings)),
	}
	for _, c := range t.Customers() {
		scope := tree.Join(c, region, "")
		if t.Chunk(scope).Empty() {
			continue
		}
		routes := previous.customers[c]
		if routes == nil || !t.EqualDownTo(previous.source, scope) {
			config, _ := t.RegionConfig(c, region)
			routes = newCustomerRoutes(c, config)
		}
		table.addCustomer(c, routes)
	}
	table.services = slices.SortedFunc(maps.Keys(table.settings), compareIDs)
	return table, nil
}

func compareIDs(a, b mesh.ServiceID) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
}

// addCustomer adds the routes of one customer to the table.
func (t *Table) addCustomer(customer mesh.Customer, routes *customerRoutes) {
	t.customers[customer] = routes
	for _, compiled := range routes.byPrefix {
		for i := range compiled {
			t.settings[compiled[i].target.Service] = compiled[i].target.Settings
		}
	}
}

func newCustomerRoutes(customer mesh.Customer, config tree.RegionConfig) *customerRoutes {
	routes := &customerRoutes{byPrefix: make(map[string][]compiledRoute, len(config.Routes))}
	for _, r := range config.Routes {
		prefix := strings.TrimSuffix(r.Prefix, "/")
		routes.maxDepth = max(routes.maxDepth, strings.Count(prefix, "/"))
		routes.byPrefix[prefix] = append(routes.byPrefix[prefix], compiledRoute{
			methods: r.Methods, idempotence: r.Idempotence,
			target: Target{
				Service: mesh.ServiceID{Customer: customer, Service: r.Service},
				Route:   r.Name, Settings: config.Services[r.Service],
				Priority: r.Priority, Timeout: r.Timeout, AtMostOnce: r.AtMostOnce,
			},
		})
	}
	for _, compiled := range routes.byPrefix {
		slices.SortStableFunc(compiled, func(a, b compiledRoute) int {
			return cmp.Compare(min(1, len(b.methods)), min(1, len(a.methods)))
		})
	}
	return routes
}

// Match returns the target of a request. Of the routes that accept the method, the
// one with the longest prefix wins; for equal prefixes, a route that lists the
// method goes before one that accepts every method. The path must be absolute,
// without dot segments and without query.
func (t *Table) Match(customer mesh.Customer, method, path string) (target Target, err error) {
	var routes *customerRoutes
	if t != nil {
		routes = t.customers[customer]
	}
	if routes == nil {
		return target, &UnknownCustomerError{Customer: customer}
	}
	for prefix, ok := routes.longestPrefix(path), true; ok; prefix, ok = parentPrefix(prefix) {
		compiled := routes.byPrefix[prefix]
		for i := range compiled {
			if compiled[i].acceptsMethod(method) {
				target = compiled[i].target
				target.Idempotent = compiled[i].idempotence.IsIdempotent(method)
				return target, nil
			}
		}
	}
	return target, &NoRouteError{Customer: customer, Method: method, Path: path, AllowedMethods: routes.allowedMethods(path)}
}

// longestPrefix returns the first maxDepth segments of the path, since no prefix is
// longer.
func (c *customerRoutes) longestPrefix(path string) string {
	segments := 0
	for i := 0; i < len(path); i++ {
		if path[i] != '/' {
			continue
		}
		if segments == c.maxDepth {
			return path[:i]
		}
		segments++
	}
	return path
}

// parentPrefix removes the last segment; ok is false for the empty prefix.
func parentPrefix(prefix string) (parent string, ok bool) {
	i := strings.LastIndexByte(prefix, '/')
	if i < 0 {
		return "", false
	}
	return prefix[:i], true
}

// allowedMethods returns the methods of all routes that match the path.
func (c *customerRoutes) allowedMethods(path string) (methods []string) {
	for prefix, ok := c.longestPrefix(path), true; ok; prefix, ok = parentPrefix(prefix) {
		for _, r := range c.byPrefix[prefix] {
			methods = append(methods, r.methods...)
		}
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}

// Services returns the services to which a route leads, sorted.
func (t *Table) Services() []mesh.ServiceID {
	if t == nil {
		return nil
	}
	return slices.Clone(t.services)
}

// Settings returns the settings of a service to which a route leads; ok is false for
// any other service. The settings are shared and must not be modified.
func (t *Table) Settings(id mesh.ServiceID) (settings *tree.Settings, ok bool) {
	if t == nil {
		return nil, false
	}
	settings, ok = t.settings[id]
	return settings, ok
}
