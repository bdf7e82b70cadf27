package serve

import (
	"sync"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// certainty is how many calls of hosts beside the own service would have to come
	// on a route, if it were one of callers, before it counts as one of upstreams.
	certainty = 10
	// maxOrigins bounds the routes whose origins are kept.
	maxOrigins = 4096
	// originCalls is after how many calls what is known of a route's origins counts
	// half.
	originCalls = 4096
)

// origins tells the routes that only upstreams call. Callers come to every host;
// calls of upstreams begin only at the hosts beside the services that make them.
// It is safe for concurrent use.
type origins struct {
	mutex sync.Mutex
	// routes is guarded by mutex.
	routes map[string]*origin
}

// origin counts the calls on one route.
type origin struct {
	// calls are all, and own those from hosts beside the service that is called.
	calls, own int
}

// note counts a call on the route, and reports whether it is one that only
// upstreams call; share is the part of all hosts that stand beside the service
// that is called.
func (o *origins) note(route string, from, own mesh.Service, share float64) (called bool) {
	if from == "" {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := o.routes[route]
	if counts == nil {
		if len(o.routes) >= maxOrigins {
			return false
		}
		if o.routes == nil {
			o.routes = make(map[string]*origin)
		}
		counts = &origin{}
		o.routes[route] = counts
	}
	counts.calls++
	if from == own {
		counts.own++
	}
	if counts.calls >= originCalls {
		counts.calls, counts.own = counts.calls/2, counts.own/2
	}
	return counts.own == 0 && float64(counts.calls)*share >= certainty
}
