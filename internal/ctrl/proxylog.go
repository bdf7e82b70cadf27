package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// diary notes each change of what the proxy believes once.
type diary struct {
	*cells.Proxy
	phase    cells.Phase
	reached  cells.Reached
	reading  bool
	guest    cells.Guest
	nodes    int
	recorded cells.Recorded
}

func newDiary(set *cells.Proxy) board.Controller {
	d := &diary{Proxy: set}
	return board.Controller{
		Name:   "diary",
		Reads:  []board.Ref{&set.Phase, &set.Reached, &set.Reading, &set.Guest, &set.Roster, &set.Recorded},
		Writes: []board.Ref{&set.Noted},
		Step:   d.step,
	}
}

func (d *diary) step(time.Time) {
	if phase := d.Phase.Get(); phase != d.phase {
		d.phase = phase
		d.note("phase", cells.Field{Name: "phase", Value: string(phase)})
	}
	if reached := d.Reached.Get(); reached.OK != d.reached.OK || d.reached.Since.IsZero() != reached.Since.IsZero() {
		d.note("platformReached", cells.Field{Name: "reached", Value: reached.OK}, cells.Field{Name: "reason", Value: reached.Reason},
			cells.Field{Name: "trip", Value: reached.Trip}, cells.Field{Name: "before", Value: reached.Since.Sub(d.reached.Since)})
		d.reached = reached
	}
	if reading := d.Reading.Get(); reading != d.reading {
		d.reading = reading
		d.note("readsPlatform", cells.Field{Name: "reading", Value: reading})
	}
	if guest := d.Guest.Get(); guest.Instance != d.guest.Instance || guest.State != d.guest.State || guest.Service != d.guest.Service {
		d.guest = guest
		d.note("upstream", cells.Field{Name: "service", Value: string(guest.Service)},
			cells.Field{Name: "instance", Value: guest.Instance}, cells.Field{Name: "state", Value: guest.State.String()},
			cells.Field{Name: "sequence", Value: guest.Sequence}, cells.Field{Name: "slots", Value: guest.Slots},
			cells.Field{Name: "address", Value: guest.Address.String()})
	}
	if nodes := d.Roster.Read().Len(); nodes != d.nodes {
		d.nodes = nodes
		d.note("nodesKnown", cells.Field{Name: "nodes", Value: nodes}, cells.Field{Name: "revision", Value: d.Roster.Read().Revision})
	}
	if recorded := d.Recorded.Get(); recorded.Version != d.recorded.Version {
		d.recorded = recorded
		d.note("recorded", cells.Field{Name: "objectVersion", Value: recorded.Version},
			cells.Field{Name: "state", Value: recorded.Node.Upstream.State.String()}, cells.Field{Name: "leaving", Value: recorded.Node.Leaving})
	}
}

func (d *diary) note(event string, fields ...cells.Field) {
	d.Noted.Send(cells.Note{Event: event, Fields: fields})
}
