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
	lastReached   cells.PlatformStatus
	lastReading   bool
	lastUpstream  cells.LocalUpstream
	lastNodeCount int
	lastRecorded  cells.StoredRecord
}

func newProxyLog(set *cells.Proxy) board.Controller {
	l := &proxyLog{Proxy: set}
	return board.Controller{
		Name:   "diary",
		Reads:  []board.Ref{&set.Phase, &set.PlatformStatus, &set.ReadsPlatform, &set.LocalUpstream, &set.Roster, &set.StoredRecord},
		Writes: []board.Ref{&set.LogEvents},
		Step:   l.step,
	}
}

func (l *proxyLog) step(time.Time) {
	if phase := l.Phase.Get(); phase != l.lastPhase {
		l.lastPhase = phase
		l.note("phase", cells.LogField{Name: "phase", Value: string(phase)})
	}
	if reached := l.PlatformStatus.Get(); reached.Reachable != l.lastReached.Reachable || l.lastReached.Since.IsZero() != reached.Since.IsZero() {
		l.note("platformReached", cells.LogField{Name: "reached", Value: reached.Reachable}, cells.LogField{Name: "reason", Value: reached.Reason},
			cells.LogField{Name: "trip", Value: reached.RTT}, cells.LogField{Name: "before", Value: reached.Since.Sub(l.lastReached.Since)})
		l.lastReached = reached
	}
	if reading := l.ReadsPlatform.Get(); reading != l.lastReading {
		l.lastReading = reading
		l.note("readsPlatform", cells.LogField{Name: "reading", Value: reading})
	}
	if upstream := l.LocalUpstream.Get(); upstream.Instance != l.lastUpstream.Instance || upstream.State != l.lastUpstream.State || upstream.Service != l.lastUpstream.Service {
		l.lastUpstream = upstream
		l.note("upstream", cells.LogField{Name: "service", Value: string(upstream.Service)},
			cells.LogField{Name: "instance", Value: upstream.Instance}, cells.LogField{Name: "state", Value: upstream.State.String()},
			cells.LogField{Name: "sequence", Value: upstream.Sequence}, cells.LogField{Name: "slots", Value: upstream.Slots},
			cells.LogField{Name: "address", Value: upstream.Address.String()})
	}
	if nodes := l.Roster.Read().Len(); nodes != l.lastNodeCount {
		l.lastNodeCount = nodes
		l.note("nodesKnown", cells.LogField{Name: "nodes", Value: nodes}, cells.LogField{Name: "revision", Value: l.Roster.Read().Revision})
	}
	if recorded := l.StoredRecord.Get(); recorded.Version != l.lastRecorded.Version {
		l.lastRecorded = recorded
		l.note("recorded", cells.LogField{Name: "objectVersion", Value: recorded.Version},
			cells.LogField{Name: "state", Value: recorded.Node.Upstream.State.String()}, cells.LogField{Name: "leaving", Value: recorded.Node.Leaving})
	}
}

func (l *proxyLog) note(event string, fields ...cells.LogField) {
	l.LogEvents.Send(cells.LogEvent{Name: event, Fields: fields})
}
