package demo

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// deployment describes the mesh of one customer.
type deployment struct {
	customer mesh.Customer
	// settingsSample is the name of a sample of package sheet.
	settingsSample string
	// regions lists the regions; the platform runs in the first.
	regions     []region
	services    []service
	slots       int
	connections int
	streams     []stream
}

// region is a region with its availability zones.
type region struct {
	name  mesh.Region
	zones []mesh.Zone
}

// service is one service with its upstreams.
type service struct {
	name mesh.Service
	// perZone holds the number of upstreams in each availability zone, in the order of
	// deployment.places.
	perZone     []int
	serviceTime time.Duration
}

// stream is a stream of calls of one kind, sent at a fixed rate.
type stream struct {
	name     string
	priority mesh.Priority
	method   string
	path     string
	// hasKey is true for calls with an idempotency key, which must run at most once.
	hasKey bool
	// interval is the time between two calls.
	interval time.Duration
}

// places lists the availability zones of all regions in order.
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
		customer: "trauerhaus", settingsSample: "trauerhaus",
		regions: []region{
			{name: "ch-west", zones: []mesh.Zone{"lsn-a", "gva-b"}},
			{name: "ch-east", zones: []mesh.Zone{"zrh-a", "sgl-b"}},
		},
		services: []service{
			{name: "notices", perZone: []int{2, 2, 2, 1}, serviceTime: 4 * time.Millisecond},
			{name: "archive", perZone: []int{1, 1, 1, 1}, serviceTime: 10 * time.Millisecond},
		},
		slots: 9, connections: 110,
		streams: []stream{
			{name: "order", priority: mesh.Urgent, method: "POST", path: "/notices", hasKey: true, interval: 50 * time.Millisecond},
			{name: "condolence", priority: mesh.High, method: "POST", path: "/condolences", hasKey: true, interval: 50 * time.Millisecond},
			{name: "page", priority: mesh.High, method: "GET", path: "/notices/1", interval: 4 * time.Millisecond},
			{name: "download", priority: mesh.Normal, method: "GET", path: "/archive/1?bytes=20000", interval: 10 * time.Millisecond},
			{name: "lookup", priority: mesh.Low, method: "GET", path: "/archive/lookup/1", interval: 10 * time.Millisecond},
		},
	},
	"kylvoelehti": {
		customer: "kylvoelehti", settingsSample: "kylvoelehti",
		regions: []region{
			{name: "pohjanmaa", zones: []mesh.Zone{"pohj-a", "pohj-b"}},
			{name: "savo", zones: []mesh.Zone{"savo-a", "savo-b"}},
		},
		services: []service{
			{name: "orderdesk", perZone: []int{2, 2, 2, 2}, serviceTime: 4 * time.Millisecond},
			{name: "patterns", perZone: []int{1, 1, 1, 1}, serviceTime: 10 * time.Millisecond},
		},
		slots: 12, connections: 120,
		streams: []stream{
			{name: "stock", priority: mesh.Urgent, method: "GET", path: "/stock/1", interval: 5 * time.Millisecond},
			{name: "booking", priority: mesh.High, method: "POST", path: "/bookings", hasKey: true, interval: 50 * time.Millisecond},
			{name: "template", priority: mesh.Normal, method: "GET", path: "/templates/1?bytes=20000", interval: 10 * time.Millisecond},
			{name: "recipe", priority: mesh.Low, method: "GET", path: "/recipes/1", interval: 10 * time.Millisecond},
		},
	},
}

func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}
