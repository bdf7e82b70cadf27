package tree

import (
	"maps"
	"slices"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// defaultSettings are the settings of an empty tree.
var defaultSettings = makeDefaults()

func makeDefaults() (settings Settings) {
	for _, s := range slices.Concat(plainSpecs, rankSpecs()) {
		if s.store == nil {
			continue
		}
		parsed, ok := s.parse(s.Default)
		if !ok {
			panic("tree: default of " + s.Pattern + " is not allowed")
		}
		s.store(&settings, parsed)
	}
	return settings
}

// Defaults returns the settings of an empty tree.
func Defaults() Settings {
	return defaultSettings
}

// routeDraft is a route whose fields are still being collected.
type routeDraft struct {
	route Route
	// from is the last path that set a field.
	from        Path
	hasPriority bool
}

// draft collects the settings of one path from the root down.
type draft struct {
	settings Settings
	// floorFrom is the last path that set a floor, if hasFloor.
	floorFrom Path
	hasFloor  bool
	// routes holds the routes by name; nil until there is one.
	routes map[string]*routeDraft
	// origins holds where each value comes from; nil if nobody asks.
	origins map[Key]Origin
	// faults names values that were left out.
	faults Violations
}

// newDraft collects the settings of a customer's region, without any service's.
func (t *Tree) newDraft(path Path, withOrigins bool) *draft {
	d := &draft{settings: defaultSettings}
	if withOrigins {
		d.origins = make(map[Key]Origin)
	}
	for _, p := range path.lineage() {
		d.begin(p.Level())
		d.add(t.Chunk(p.Scope()).at(p))
	}
	return d
}

// lineage returns the paths from the root down to p.
func (p Path) lineage() (paths []Path) {
	for ; p != ""; p = p.Parent() {
		paths = append(paths, p)
	}
	paths = append(paths, "")
	slices.Reverse(paths)
	return paths
}

// begin drops what the next level does not inherit: local values, and at a
// service the routes, of which it has only its own.
func (d *draft) begin(level Level) {
	if level == ServiceLevel {
		d.routes = nil
	}
	maps.DeleteFunc(d.origins, func(k Key, _ Origin) bool {
		spec, _ := specOf(k)
		return spec.Local || level == ServiceLevel && spec.storeRoute != nil
	})
}

// add takes in the values of one path.
func (d *draft) add(entries []entry) {
	for _, e := range entries {
		parsed, want := parseValue(e.path, e.key, e.text)
		if want != "" {
			d.faults = append(d.faults, Violation{Path: e.path, Key: e.key, Value: e.text, Expected: want})
			continue
		}
		d.store(e, parsed)
		if d.origins != nil {
			d.origins[e.key] = Origin{Key: e.key, Value: e.text, From: e.path}
		}
	}
}

func (d *draft) store(e entry, parsed value) {
	name, field, ok := e.key.splitRoute()
	if !ok {
		if spec := specIndex[string(e.key)]; spec.store != nil {
			spec.store(&d.settings, parsed)
		}
		if strings.HasPrefix(string(e.key), floorPrefix) {
			d.floorFrom, d.hasFloor = e.path, true
		}
		return
	}
	if d.routes == nil {
		d.routes = make(map[string]*routeDraft)
	}
	r := d.routes[name]
	if r == nil {
		r = &routeDraft{route: Route{Name: name}}
		if e.path.Level() == ServiceLevel {
			r.route.Service = e.path.Service()
		}
		d.routes[name] = r
	}
	routeFields[field].storeRoute(r, parsed)
	r.from = e.path
}

// sortedRoutes returns the drafts of routes by name.
func (d *draft) sortedRoutes() (routes []*routeDraft) {
	if len(d.routes) == 0 {
		return nil
	}
	routes = make([]*routeDraft, 0, len(d.routes))
	for _, name := range slices.Sorted(maps.Keys(d.routes)) {
		routes = append(routes, d.routes[name])
	}
	return routes
}

// finish returns the route with what it takes from its service.
func (r *routeDraft) finish(service *Settings) Route {
	route := r.route
	if !r.hasPriority {
		route.Priority = service.Priority
	}
	if route.Timeout == 0 {
		route.Timeout = service.Timeout
	}
	return route
}

// RegionConfig is what one region serves for one customer.
type RegionConfig struct {
	// Routes are the region's routes and each service's own, sorted by name
	// within the region and within each service.
	Routes []Route
	// Services holds the settings of every service of the region.
	Services map[mesh.Service]*Settings
}

// RegionConfig returns what the region serves for the customer, and every fault on
// the way from the root to its services.
func (t *Tree) RegionConfig(customer mesh.Customer, region mesh.Region) (regional RegionConfig, faults Violations) {
	path := Join(customer, region, "")
	base := t.newDraft(path, false)
	faults = slices.Concat(base.faults, base.checkFloors(path))
	routes := base.sortedRoutes()
	regional.Services = make(map[mesh.Service]*Settings)
	for _, s := range t.Services(customer, region) {
		own := &draft{settings: base.settings}
		ownPath := Join(customer, region, s)
		own.add(t.Chunk(path).at(ownPath))
		faults = append(faults, own.faults...)
		faults = append(faults, own.checkFloors(ownPath)...)
		routes = append(routes, own.sortedRoutes()...)
		regional.Services[s] = &own.settings
	}
	faults = append(faults, checkRoutes(path, routes, regional.Services)...)
	for _, r := range routes {
		if service, ok := regional.Services[r.route.Service]; ok {
			regional.Routes = append(regional.Routes, r.finish(service))
		}
	}
	return regional, faults
}
