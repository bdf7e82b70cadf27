package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// head follows the configuration's head in the platform while this node is its
// region's lead, so that each change crosses to a region once. When it is told
// where the platform stands, the leads of other regions get changes as deltas
// from the lead there, and follow the head only while they lack that link.
type head struct {
	*cells.Set
	watching bool
}

func newHead(set *cells.Set) board.Controller {
	h := &head{Set: set}
	return board.Controller{
		Name:   "head",
		Reads:  []board.Ref{&set.Uplinks, &set.Peers},
		Uses:   []board.Ref{&set.Self},
		Writes: []board.Ref{&set.StoreCommands},
		Step:   h.step,
	}
}

func (h *head) step(time.Time) {
	_, told := homeLink(h.Self.Get(), h.Peers.Read())
	watch := h.Uplinks.Get().Lead && !told
	if watch == h.watching {
		return
	}
	h.watching = watch
	action := cells.UnwatchHead
	if watch {
		action = cells.WatchHead
	}
	h.StoreCommands.Send(cells.StoreCommand{Action: action})
}

// homeLink returns the link to a relay where the platform stands and which
// reaches it; ok is false when there is none or this node stands there itself.
func homeLink(self cells.Self, peers *cells.Peers) (link cells.LinkID, ok bool) {
	home := self.PlatformRegion
	if home == "" || home == self.Place.Region {
		return 0, false
	}
	for _, p := range peers.Identified() {
		if p.Hello.Relay && p.Hello.PlatformReachable && p.Hello.Place.Region == home {
			return p.Link, true
		}
	}
	return 0, false
}
