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
	reached  cells.PlatformStatus
	reading  bool
	guest    cells.LocalUpstream
	nodes    int
	recorded cells.StoredRecord
}

func newDiary(set *cells.Proxy) board.Controller {
	d := &diary{Proxy: set}
	return board.Controller{
		Name:   "diary",
		Reads:  []board.Ref{&set.Phase, &set.PlatformStatus, &set.ReadsPlatform, &set.LocalUpstream, &set.Roster, &set.StoredRecord},
		Writes: []board.Ref{&set.LogEvents},
		Step:   d.step,
	}
}

func (d *diary) step(time.Time) {
	if phase := d.Phase.Get(); phase != d.phase {
		d.phase = phase
		d.note("phase", cells.LogField{Name: "phase", Value: string(phase)})
	}
	if reached := d.PlatformStatus.Get(); reached.Reachable != d.reached.Reachable || d.reached.Since.IsZero() != reached.Since.IsZero() {
		d.note("platformReached", cells.LogField{Name: "reached", Value: reached.Reachable}, cells.LogField{Name: "reason", Value: reached.Reason},
			cells.LogField{Name: "trip", Value: reached.RTT}, cells.LogField{Name: "before", Value: reached.Since.Sub(d.reached.Since)})
		d.reached = reached
	}
	if reading := d.ReadsPlatform.Get(); reading != d.reading {
		d.reading = reading
		d.note("readsPlatform", cells.LogField{Name: "reading", Value: reading})
	}
	if guest := d.LocalUpstream.Get(); guest.Instance != d.guest.Instance || guest.State != d.guest.State || guest.Service != d.guest.Service {
		d.guest = guest
		d.note("upstream", cells.LogField{Name: "service", Value: string(guest.Service)},
			cells.LogField{Name: "instance", Value: guest.Instance}, cells.LogField{Name: "state", Value: guest.State.String()},
			cells.LogField{Name: "sequence", Value: guest.Sequence}, cells.LogField{Name: "slots", Value: guest.Slots},
			cells.LogField{Name: "address", Value: guest.Address.String()})
	}
	if nodes := d.Roster.Read().Len(); nodes != d.nodes {
		d.nodes = nodes
		d.note("nodesKnown", cells.LogField{Name: "nodes", Value: nodes}, cells.LogField{Name: "revision", Value: d.Roster.Read().Revision})
	}
	if recorded := d.StoredRecord.Get(); recorded.Version != d.recorded.Version {
		d.recorded = recorded
		d.note("recorded", cells.LogField{Name: "objectVersion", Value: recorded.Version},
			cells.LogField{Name: "state", Value: recorded.Node.Upstream.State.String()}, cells.LogField{Name: "leaving", Value: recorded.Node.Leaving})
	}
}

func (d *diary) note(event string, fields ...cells.LogField) {
	d.LogEvents.Send(cells.LogEvent{Name: event, Fields: fields})
}
