package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// storeEra determines the highest era of the store that this proxy knows. It must be added
// before the controllers that handle responses of the store or messages of readers: they
// ignore those of a lower era.
type storeEra struct {
	*cells.Proxy
}

// isBehind reports whether the store, which was restored from a copy, is not known to have
// the version in force or a later one, or lacks a version that another proxy has in force.
// What it says does not confirm then that the version in force is the newest.
func isBehind(proxy *cells.Proxy) bool {
	active, era := proxy.ActiveVersion.Get(), proxy.StoreEra.Get()
	return era > 0 && active.Plan != nil && (active.Era < era || active.Plan.Version() < proxy.Roster.Read().NewestVersion())
}

func newStoreEra(proxy *cells.Proxy) board.Controller {
	s := &storeEra{Proxy: proxy}
	return board.Controller{
		Name:   "storeEra",
		Reads:  []board.Ref{&proxy.ObjectEvents, &proxy.LinkEvents},
		Writes: []board.Ref{&proxy.StoreEra, &proxy.LogEvents},
		Step:   s.step,
	}
}

func (s *storeEra) step(time.Time) {
	known, source := s.StoreEra.Get(), "store"
	highest := known
	for _, e := range s.ObjectEvents.Events() {
		highest = max(highest, e.Era)
	}
	for _, e := range s.LinkEvents.Events() {
		era := uint64(0)
		switch m := e.Message.(type) {
		case ctlmsg.ReaderHeartbeat:
			era = m.Era
		case ctlmsg.Roster:
			era = m.Era
		}
		if era > highest {
			highest, source = era, "reader"
		}
	}
	if highest == known {
		return
	}
	s.StoreEra.Set(highest)
	s.LogEvents.Send(cells.LogEvent{Name: "storeEra", Fields: []cells.LogField{
		{Name: "era", Value: highest}, {Name: "before", Value: known}, {Name: "from", Value: source},
	}})
}
