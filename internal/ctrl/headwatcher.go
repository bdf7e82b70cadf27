package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// headWatcher watches the configuration's head in the platform while this node is
// the lead of its region, so that each change is sent to a region only once. If
// the platform's region is configured, a lead of another region watches the head
// only while it is not linked to a relay of that region, because it gets changes
// from there as deltas.
type headWatcher struct {
	*cells.Node
	watching bool
}

func newHeadWatcher(node *cells.Node) board.Controller {
	w := &headWatcher{Node: node}
	return board.Controller{
		Name:   "headWatcher",
		Reads:  []board.Ref{&node.Uplinks, &node.Peers},
		Uses:   []board.Ref{&node.Self},
		Writes: []board.Ref{&node.StoreCommands},
		Step:   w.step,
	}
}

func (w *headWatcher) step(time.Time) {
	_, linked := platformRegionLink(w.Self.Get(), w.Peers.Read())
	watch := w.Uplinks.Get().Lead && !linked
	if watch == w.watching {
		return
	}
	w.watching = watch
	action := cells.UnwatchHead
	if watch {
		action = cells.WatchHead
	}
	w.StoreCommands.Send(cells.StoreCommand{Action: action})
}

// platformRegionLink returns the link to a relay of the platform's region that
// reaches the platform. ok is false if there is none, if the platform's region is
// not configured or if this node is in it.
func platformRegionLink(self cells.Self, peers *cells.Peers) (link cells.LinkID, ok bool) {
	region := self.PlatformRegion
	if region == "" || region == self.Place.Region {
		return 0, false
	}
	for _, p := range peers.Identified() {
		if p.Hello.Relay && p.Hello.PlatformReachable && p.Hello.Place.Region == region {
			return p.Link, true
		}
	}
	return 0, false
}
