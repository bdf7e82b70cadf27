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
		Reads:  []board.Ref{&set.Objects},
		Writes: []board.Ref{&set.Reached},
		Step:   r.step,
	}
}

func (r *reach) step(now time.Time) {
	reached := r.Reached.Get()
	old := reached
	for _, e := range r.Objects.Events() {
		ok := e.Result == cells.StoreDone || e.Result == cells.StoreConflict
		if ok != reached.OK || reached.Since.IsZero() {
			reached.OK, reached.Since, reached.Reason = ok, now, ""
			if !ok {
				reached.Reason = textOf(e.Err)
			}
		}
		if e.Trip > 0 && (reached.Trip == 0 || e.Trip < reached.Trip) {
			reached.Trip = e.Trip
		}
	}
	if reached != old {
		r.Reached.Set(reached)
	}
}
