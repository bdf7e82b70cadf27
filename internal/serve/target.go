package serve

import (
	"net/netip"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Target is the upstream that calls go to.
type Target struct {
	// Address is invalid when there is none.
	Address netip.AddrPort
	// MaxConnections bounds the connections to it; zero means no bound.
	MaxConnections int
	// Service is the one that it serves; empty takes calls for any.
	Service mesh.Service
	// Instance names its lifetime; empty when that is not told.
	Instance string
	// AdmitUntil is when no further call may be sent to it; zero means no bound.
	AdmitUntil time.Time
}

// upstream is the HTTP server that this node stands in front of.
type upstream struct {
	conns    conns
	form     HeaderCodec
	service  mesh.Service
	instance string
	// until is when no further call may be sent, nil for no bound.
	until atomic.Pointer[time.Time]
	// breaker keeps calls from it while it fails nearly all of them.
	breaker gate.Breaker
}

// takes reports whether calls for the service are for this upstream. A caller's
// node may know the address by a host that had it before.
func (u *upstream) takes(service string) bool {
	return u.service == "" || string(u.service) == service
}

// closed reports whether no further call may be sent.
func (u *upstream) closed(now time.Time) bool {
	until := u.until.Load()
	return until != nil && !now.Before(*until)
}

// SetUpstream makes the address the one that calls go to, over at most that
// many connections; zero means no bound. An invalid address means that there
// is no upstream.
func (h *Handler) SetUpstream(address netip.AddrPort, connections int) {
	h.SetTarget(Target{Address: address, MaxConnections: connections})
}

// SetTarget makes the target the one that calls go to. Calls that run go on.
func (h *Handler) SetTarget(target Target) {
	if before := h.upstream.Load(); before != nil && before.serves(target) {
		before.closeAt(target.AdmitUntil)
		return
	}
	var next *upstream
	if target.Address.IsValid() {
		next = &upstream{conns: conns{address: target.Address.String()}, form: h.form(), service: target.Service, instance: target.Instance}
		next.closeAt(target.AdmitUntil)
		if target.MaxConnections > 0 {
			next.conns.slots = make(chan struct{}, target.MaxConnections)
		}
	}
	if before := h.upstream.Swap(next); before != nil {
		before.conns.close()
	}
}

// serves reports whether the target differs from this one in its bound of time only.
func (u *upstream) serves(target Target) bool {
	return u.conns.address == target.Address.String() && u.service == target.Service && u.instance == target.Instance && cap(u.conns.slots) == target.MaxConnections
}

func (u *upstream) closeAt(until time.Time) {
	if until.IsZero() {
		u.until.Store(nil)
		return
	}
	u.until.Store(&until)
}

func (h *Handler) form() HeaderCodec {
	if h.Headers == nil {
		return ownForm{}
	}
	return h.Headers
}
