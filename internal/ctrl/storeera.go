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
