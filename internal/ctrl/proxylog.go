package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// proxyLog emits one note for each change of the proxy's state.
type proxyLog struct {
	*cells.Proxy
	lastPhase     cells.Phase
	lastReached   cells.Reached
	lastReading   bool
	lastUpstream  cells.Guest
	lastNodeCount int
	lastRecorded  cells.Recorded
}

func newProxyLog(set *cells.Proxy) board.Controller {
	l := &proxyLog{Proxy: set}
	return board.Controller{
		Name:   "diary",
		Reads:  []board.Ref{&set.Phase, &set.Reached, &set.Reading, &set.Guest, &set.Roster, &set.Recorded},
		Writes: []board.Ref{&set.Noted},
		Step:   l.step,
	}
}

func (l *proxyLog) step(time.Time) {
	if phase := l.Phase.Get(); phase != l.lastPhase {
		l.lastPhase = phase
		l.note("phase", cells.Field{Name: "phase", Value: string(phase)})
	}
	if reached := l.Reached.Get(); reached.OK != l.lastReached.OK || l.lastReached.Since.IsZero() != reached.Since.IsZero() {
		l.note("platformReached", cells.Field{Name: "reached", Value: reached.OK}, cells.Field{Name: "reason", Value: reached.Reason},
			cells.Field{Name: "trip", Value: reached.Trip}, cells.Field{Name: "before", Value: reached.Since.Sub(l.lastReached.Since)})
		l.lastReached = reached
	}
	if reading := l.Reading.Get(); reading != l.lastReading {
		l.lastReading = reading
		l.note("readsPlatform", cells.Field{Name: "reading", Value: reading})
	}
	if upstream := l.Guest.Get(); upstream.Instance != l.lastUpstream.Instance || upstream.State != l.lastUpstream.State || upstream.Service != l.lastUpstream.Service {
		l.lastUpstream = upstream
		l.note("upstream", cells.Field{Name: "service", Value: string(upstream.Service)},
			cells.Field{Name: "instance", Value: upstream.Instance}, cells.Field{Name: "state", Value: upstream.State.String()},
			cells.Field{Name: "sequence", Value: upstream.Sequence}, cells.Field{Name: "slots", Value: upstream.Slots},
			cells.Field{Name: "address", Value: upstream.Address.String()})
	}
	if nodes := l.Roster.Read().Len(); nodes != l.lastNodeCount {
		l.lastNodeCount = nodes
		l.note("nodesKnown", cells.Field{Name: "nodes", Value: nodes}, cells.Field{Name: "revision", Value: l.Roster.Read().Revision})
	}
	if recorded := l.Recorded.Get(); recorded.Version != l.lastRecorded.Version {
		l.lastRecorded = recorded
		l.note("recorded", cells.Field{Name: "objectVersion", Value: recorded.Version},
			cells.Field{Name: "state", Value: recorded.Node.Upstream.State.String()}, cells.Field{Name: "leaving", Value: recorded.Node.Leaving})
	}
}

func (l *proxyLog) note(event string, fields ...cells.Field) {
	l.Noted.Send(cells.Note{Event: event, Fields: fields})
}
