package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// platformStatus tracks whether the platform answers this proxy, and the RTT to it.
type platformStatus struct {
	*cells.Proxy
}

func newPlatformStatus(proxy *cells.Proxy) board.Controller {
	p := &platformStatus{Proxy: proxy}
	return board.Controller{
		Name:   "platformStatus",
		Reads:  []board.Ref{&proxy.ObjectEvents},
		Writes: []board.Ref{&proxy.PlatformStatus},
		Step:   p.step,
	}
}

func (p *platformStatus) step(now time.Time) {
	status := p.PlatformStatus.Get()
	old := status
	for _, e := range p.ObjectEvents.Events() {
		if e.Kind == cells.RolloutObjects {
			// The platform may not have this kind.
			continue
		}
		reachable := e.Result == cells.StoreDone || e.Result == cells.StoreConflict
		if reachable != status.Reachable || status.Since.IsZero() {
			status.Reachable, status.Since, status.Reason = reachable, now, ""
			if !reachable {
				status.Reason = errorText(e.Err)
			}
		}
		if e.RTT > 0 && (status.RTT == 0 || e.RTT < status.RTT) {
			status.RTT = e.RTT
		}
	}
	if status != old {
		p.PlatformStatus.Set(status)
	}
}
