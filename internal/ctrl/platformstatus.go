package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// reach tells whether the platform answers this proxy.
type reach struct {
	*cells.Proxy
}

func newReach(set *cells.Proxy) board.Controller {
	r := &reach{Proxy: set}
	return board.Controller{
		Name:   "reach",
		Reads:  []board.Ref{&set.ObjectEvents},
		Writes: []board.Ref{&set.PlatformStatus},
		Step:   r.step,
	}
}

func (r *reach) step(now time.Time) {
	reached := r.PlatformStatus.Get()
	old := reached
	for _, e := range r.ObjectEvents.Events() {
		ok := e.Result == cells.StoreDone || e.Result == cells.StoreConflict
		if ok != reached.Reachable || reached.Since.IsZero() {
			reached.Reachable, reached.Since, reached.Reason = ok, now, ""
			if !ok {
				reached.Reason = textOf(e.Err)
			}
		}
		if e.RTT > 0 && (reached.RTT == 0 || e.RTT < reached.RTT) {
			reached.RTT = e.RTT
		}
	}
	if reached != old {
		r.PlatformStatus.Set(reached)
	}
}
