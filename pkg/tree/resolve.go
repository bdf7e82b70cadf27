package tree

import (
	"maps"
	"slices"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// defaultSettings holds the default of every setting.
var defaultSettings = makeDefaults()

func makeDefaults() (settings Settings) {
	for _, s := range slices.Concat(settingSpecs, prioritySpecs()) {
		if s.apply == nil {
			continue
		}
		parsed, ok := s.parse(s.Default)
		if !ok {
			panic("tree: default of " + s.Pattern + " is invalid")
		}
		s.apply(&settings, parsed)
	}
	return settings
}

// Defaults returns the settings of an empty tree.
func Defaults() Settings {
	return defaultSettings
}

// routeBuilder collects the fields of one route.
type routeBuilder struct {
	route Route
	// lastSetBy is the lowest path that sets a field of the route.
	lastSetBy   Path
	hasPriority bool
}

// settingsBuilder collects the settings of one path, from the root down.
type settingsBuilder struct {
	settings Settings
	// floorPath is the lowest path that sets a floor; valid if hasFloor.
	floorPath Path
	hasFloor  bool
	// routes holds the routes by name; nil while there are none.
	routes map[string]*routeBuilder
	// origins records where each value comes from; nil if that is not needed.
	origins map[Key]Origin
	// violations lists the values that were skipped because they are invalid.
	violations Violations
}

// collect returns a builder with the settings of the path and of all levels above.
func (t *Tree) collect(path Path, withOrigins bool) *settingsBuilder {
	builder := &settingsBuilder{settings: defaultSettings}
	if withOrigins {
		builder.origins = make(map[Key]Origin)
	}
	for _, p := range path.pathsFromRoot() {
		builder.enterLevel(p.Level())
		builder.addEntries(t.Chunk(p.Scope()).entriesAt(p))
	}
	return builder
}

// pathsFromRoot returns the paths from the root down to p, both included.
func (p Path) pathsFromRoot() (paths []Path) {
	for ; p != ""; p = p.Parent() {
		paths = append(paths, p)
	}
	paths = append(paths, "")
	slices.Reverse(paths)
	return paths
}

// enterLevel drops what the next level does not inherit: local values, and at the
// service level the routes, since a service has only routes of its own.
func (b *settingsBuilder) enterLevel(level Level) {
	if level == ServiceLevel {
		b.routes = nil
	}
	maps.DeleteFunc(b.origins, func(k Key, _ Origin) bool {
		spec, _ := specOf(k)
		return spec.Local || level == ServiceLevel && spec.applyToRoute != nil
	})
}

// addEntries adds the values of one path. It skips invalid ones and records a
// violation for each.
func (b *settingsBuilder) addEntries(entries []entry) {
	for _, e := range entries {
		parsed, expected := parseValue(e.path, e.key, e.value)
		if expected != "" {
			b.violations = append(b.violations, Violation{Path: e.path, Key: e.key, Value: e.value, Expected: expected})
			continue
		}
		b.apply(e, parsed)
		if b.origins != nil {
			b.origins[e.key] = Origin{Key: e.key, Value: e.value, From: e.path}
		}
	}
}

func (b *settingsBuilder) apply(e entry, parsed value) {
	name, field, ok := e.key.splitRoute()
	if !ok {
		if spec := specIndex[string(e.key)]; spec.apply != nil {
			spec.apply(&b.settings, parsed)
		}
		if strings.HasPrefix(string(e.key), floorPrefix) {
			b.floorPath, b.hasFloor = e.path, true
		}
		return
	}
	if b.routes == nil {
		b.routes = make(map[string]*routeBuilder)
	}
	r := b.routes[name]
	if r == nil {
		r = &routeBuilder{route: Route{Name: name}}
		if e.path.Level() == ServiceLevel {
			r.route.Service = e.path.Service()
		}
		b.routes[name] = r
	}
	routeFields[field].applyToRoute(r, parsed)
	r.lastSetBy = e.path
}

// sortedRoutes returns the routes sorted by name.
func (b *settingsBuilder) sortedRoutes() (routes []*routeBuilder) {
	if len(b.routes) == 0 {
		return nil
	}
	routes = make([]*routeBuilder, 0, len(b.routes))
	for _, name := range slices.Sorted(maps.Keys(b.routes)) {
		routes = append(routes, b.routes[name])
	}
	return routes
}

// build returns the route; a priority or timeout that it does not set is that of
// its service.
func (r *routeBuilder) build(service *Settings) Route {
	route := r.route
	if !r.hasPriority {
		route.Priority = service.Priority
	}
	if route.Timeout == 0 {
		route.Timeout = service.Timeout
	}
	return route
}

// RegionConfig holds the routes and services of one customer in one region.
type RegionConfig struct {
	// Routes holds first the routes that the region sets or inherits, then those
	// of each service, both sorted by name.
	Routes []Route
	// Services holds the settings of every service in the region.
	Services map[mesh.Service]*Settings
}

// RegionConfig returns the routes and services of the customer in the region, and
// all violations at the levels from the root down to its services. Routes to
// services that do not exist are left out.
func (t *Tree) RegionConfig(customer mesh.Customer, region mesh.Region) (config RegionConfig, violations Violations) {
	path := Join(customer, region, "")
	base := t.collect(path, false)
	violations = slices.Concat(base.violations, base.checkFloors(path))
	routes := base.sortedRoutes()
	config.Services = make(map[mesh.Service]*Settings)
	for _, s := range t.Services(customer, region) {
		service := &settingsBuilder{settings: base.settings}
		servicePath := Join(customer, region, s)
		service.addEntries(t.Chunk(path).entriesAt(servicePath))
		violations = append(violations, service.violations...)
		violations = append(violations, service.checkFloors(servicePath)...)
		routes = append(routes, service.sortedRoutes()...)
		config.Services[s] = &service.settings
	}
	violations = append(violations, checkRoutes(path, routes, config.Services)...)
	for _, r := range routes {
		if service, ok := config.Services[r.route.Service]; ok {
			config.Routes = append(config.Routes, r.build(service))
		}
	}
	return config, violations
}
