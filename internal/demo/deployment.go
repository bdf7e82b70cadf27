package demo

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// deployment is the shape of one customer's mesh today.
type deployment struct {
	customer mesh.Customer
	// sample names the settings tree.
	sample string
	// regions list their availability zones; the platform stands in the first.
	regions     []region
	services    []service
	slots       int
	connections int
	calls       []kind
}

// region is a region with its availability zones.
type region struct {
	name  mesh.Region
	zones []mesh.Zone
}

// service is one service with its upstreams.
type service struct {
	name mesh.Service
	// perZone counts the upstreams in each availability zone, in order.
	perZone     []int
	serviceTime time.Duration
}

// kind is one kind of call.
type kind struct {
	name     string
	priority mesh.Priority
	method   string
	path     string
	// keyed calls carry an idempotency key and must run at most once.
	keyed bool
	// interval is the time between two calls of the kind.
	interval time.Duration
}

// places lists the availability zones in order.
func (d deployment) places() (places []mesh.Place) {
	for _, r := range d.regions {
		for _, z := range r.zones {
			places = append(places, mesh.Place{Region: r.name, Zone: z})
		}
	}
	return places
}

var deployments = map[string]deployment{
	"trauerhaus": {
		customer: "trauerhaus", sample: "trauerhaus",
		regions: []region{
			{name: "ch-west", zones: []mesh.Zone{"lsn-a", "gva-b"}},
			{name: "ch-east", zones: []mesh.Zone{"zrh-a", "sgl-b"}},
		},
		services: []service{
			{name: "notices", perZone: []int{2, 2, 2, 1}, serviceTime: 4 * time.Millisecond},
			{name: "archive", perZone: []int{1, 1, 1, 1}, serviceTime: 10 * time.Millisecond},
		},
		slots: 9, connections: 110,
		calls: []kind{
			{name: "order", priority: mesh.Urgent, method: "POST", path: "/notices", keyed: true, interval: 50 * time.Millisecond},
			{name: "condolence", priority: mesh.High, method: "POST", path: "/condolences", keyed: true, interval: 50 * time.Millisecond},
			{name: "page", priority: mesh.High, method: "GET", path: "/notices/1", interval: 4 * time.Millisecond},
			{name: "download", priority: mesh.Normal, method: "GET", path: "/archive/1?bytes=20000", interval: 10 * time.Millisecond},
			{name: "lookup", priority: mesh.Low, method: "GET", path: "/archive/lookup/1", interval: 10 * time.Millisecond},
		},
	},
	"kylvoelehti": {
		customer: "kylvoelehti", sample: "kylvoelehti",
		regions: []region{
			{name: "pohjanmaa", zones: []mesh.Zone{"pohj-a", "pohj-b"}},
			{name: "savo", zones: []mesh.Zone{"savo-a", "savo-b"}},
		},
		services: []service{
			{name: "orderdesk", perZone: []int{2, 2, 2, 2}, serviceTime: 4 * time.Millisecond},
			{name: "patterns", perZone: []int{1, 1, 1, 1}, serviceTime: 10 * time.Millisecond},
		},
		slots: 12, connections: 120,
		calls: []kind{
			{name: "stock", priority: mesh.Urgent, method: "GET", path: "/stock/1", interval: 5 * time.Millisecond},
			{name: "booking", priority: mesh.High, method: "POST", path: "/bookings", keyed: true, interval: 50 * time.Millisecond},
			{name: "template", priority: mesh.Normal, method: "GET", path: "/templates/1?bytes=20000", interval: 10 * time.Millisecond},
			{name: "recipe", priority: mesh.Low, method: "GET", path: "/recipes/1", interval: 10 * time.Millisecond},
		},
	},
}

func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}
