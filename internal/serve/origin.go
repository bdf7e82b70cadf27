package serve

import (
	"context"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// minExpectedLocalCalls is the number of local calls that would be expected on a
	// route if callers used it. If that many are expected and none was seen, only
	// upstreams call the route.
	minExpectedLocalCalls = 10
	// maxTrackedRoutes is the maximum number of routes with counts.
	maxTrackedRoutes = 4096
	// decayCalls is the number of calls at which the counts of a route are halved, so
	// that they follow changes.
	decayCalls = 4096
)

// Runs records the requests that the upstream runs.
type Runs interface {
	// Begin records that a request runs until the returned function is called.
	Begin(priority mesh.Priority) (end func())
}

func (h *Handler) beginRun(priority mesh.Priority) (end func()) {
	if h.Runs == nil {
		return func() {}
	}
	return h.Runs.Begin(priority)
}

// gateRequest returns the request to the gate for a call. A call that an upstream
// makes may wait longer and is never overdue, because without it the request that the
// upstream is running would be lost. It has the priority of that request if the node
// beside that upstream sent it. Otherwise a call on a route that only upstreams call
// goes before others of its priority.
func (h *Handler) gateRequest(ctx context.Context, state *callState) (request gate.Request) {
	head := state.call.Head
	request = gate.Request{
		Priority: mesh.Priority(head.GetPriority()), Class: head.GetRoute(), Overdue: head.GetOverdue(),
		TypicalServiceTime: time.Duration(head.GetTypicalMicros()) * time.Microsecond,
		Account:            mesh.Account(head.GetAccount()),
	}
	if h.AccountWeight != nil && request.Account != "" {
		request.Weight = h.AccountWeight(request.Account)
	}
	request.Deadline, _ = ctx.Deadline()
	origin := mesh.Service(head.GetCallerService())
	if head.GetAccount() != "" {
		// Upstreams send no keys, so this is a caller, wherever its request came in.
		origin = state.upstream.service
	}
	state.onlyUpstreams = h.ServiceShare != nil && h.origins.recordCall(head.GetRoute(), origin, state.upstream.service, h.ServiceShare())
	state.callersKnown = h.origins.callersKnown(head.GetRoute())
	within := head.GetStartWithinMicros()
	if head.GetNested() || state.onlyUpstreams {
		within, request.Overdue = max(within, head.GetPatientMicros()), false
		if !head.GetNested() {
			request.Priority = min(request.Priority+1, mesh.Urgent)
		}
	}
	if within > 0 {
		request.StartBy = state.arrivedAt.Add(time.Duration(within) * time.Microsecond)
	}
	return request
}

// originTracker detects the routes that only upstreams call. Callers send requests
// to all hosts, including those of the called service; an upstream sends its calls
// only through its own host. It is safe for concurrent use.
type originTracker struct {
	mutex sync.Mutex
	// routes is guarded by mutex.
	routes map[string]*originCounts
}

// originCounts counts the calls on one route by origin.
type originCounts struct {
	// calls counts all calls, and local those that were sent through hosts of the
	// called service.
	calls, local int
}

// recordCall counts a call on the route and reports whether only upstreams call the
// route. callerService is the service of the host that the call was sent through,
// and share is the share of hosts of the called service among all hosts.
func (o *originTracker) recordCall(route string, callerService, service mesh.Service, share float64) (onlyUpstreams bool) {
	if callerService == "" {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := o.routes[route]
	if counts == nil {
		if len(o.routes) >= maxTrackedRoutes {
			return false
		}
		if o.routes == nil {
			o.routes = make(map[string]*originCounts)
		}
		counts = &originCounts{}
		o.routes[route] = counts
	}
	counts.calls++
	if callerService == service {
		counts.local++
	}
	if counts.calls >= decayCalls {
		counts.calls, counts.local = counts.calls/2, counts.local/2
	}
	return counts.local == 0 && float64(counts.calls)*share >= minExpectedLocalCalls
}

// callersKnown reports whether callers are known to send requests of the route.
func (o *originTracker) callersKnown(route string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := o.routes[route]
	return counts != nil && counts.local > 0
}
