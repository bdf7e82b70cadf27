package serve

import (
	"net/netip"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Target describes the upstream that calls are forwarded to.
type Target struct {
	// Address is invalid if there is no upstream.
	Address netip.AddrPort
	// MaxConnections is the maximum number of connections; zero means no limit.
	MaxConnections int
	// Service is the service of the upstream. If it is empty, calls to any service
	// are accepted.
	Service mesh.Service
	// Instance identifies one start of the upstream; empty if unknown.
	Instance string
	// AdmitUntil is the time from which no further call may be sent; zero means no
	// limit.
	AdmitUntil time.Time
	// Slots is the number of calls that the upstream runs at once, if calls to which it
	// does not respond are given up and what may still run there holds slots of the gate;
	// zero if not.
	Slots int
	// InheritedUntil is until when calls of an earlier process may run at the upstream;
	// zero if there are none.
	InheritedUntil time.Time
}

// upstream is the client side of the HTTP server that calls are forwarded to.
type upstream struct {
	pool      connPool
	headers   HeaderCodec
	occupancy *occupancy
	service   mesh.Service
	instance  string
	// admitUntil is the time from which no further call may be sent; nil means no
	// limit.
	admitUntil atomic.Pointer[time.Time]
	// breaker rejects calls while the upstream fails nearly all of them.
	breaker gate.Breaker
}

// accepts reports whether the upstream serves the service. It may not, because a
// caller's node may still associate the address with a previous host.
func (u *upstream) accepts(service string) bool {
	return u.service == "" || string(u.service) == service
}

// admissionClosed reports whether no further call may be sent.
func (u *upstream) admissionClosed(now time.Time) bool {
	admitUntil := u.admitUntil.Load()
	return admitUntil != nil && !now.Before(*admitUntil)
}

// SetUpstream makes the handler forward calls to the address, over at most that
// many connections; zero means no limit. An invalid address means that there is no
// upstream.
func (h *Handler) SetUpstream(address netip.AddrPort, connections int) {
	h.SetTarget(Target{Address: address, MaxConnections: connections})
}

// SetTarget makes the handler forward calls to the target. Calls that were already
// forwarded are not interrupted.
func (h *Handler) SetTarget(target Target) {
	h.occupancy.setTarget(h, target)
	if old := h.upstream.Load(); old != nil && old.matches(target) {
		old.setAdmitUntil(target.AdmitUntil)
		return
	}
	var next *upstream
	if target.Address.IsValid() {
		next = &upstream{pool: connPool{address: target.Address.String(), dial: h.dial}, occupancy: &h.occupancy, headers: h.headerCodec(), service: target.Service, instance: target.Instance}
		next.setAdmitUntil(target.AdmitUntil)
		if target.MaxConnections > 0 {
			next.pool.slots = make(chan struct{}, target.MaxConnections)
		}
	}
	if old := h.upstream.Swap(next); old != nil {
		old.pool.close()
	}
}

// matches reports whether the target is this upstream, possibly with another
// AdmitUntil.
func (u *upstream) matches(target Target) bool {
	return u.pool.address == target.Address.String() && u.service == target.Service && u.instance == target.Instance && cap(u.pool.slots) == target.MaxConnections
}

func (u *upstream) setAdmitUntil(admitUntil time.Time) {
	if admitUntil.IsZero() {
		u.admitUntil.Store(nil)
		return
	}
	u.admitUntil.Store(&admitUntil)
}

func (h *Handler) headerCodec() HeaderCodec {
	if h.Headers == nil {
		return defaultCodec{}
	}
	return h.Headers
}
