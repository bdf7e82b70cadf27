package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// proxyLog emits one log event for each change of the proxy's state.
type proxyLog struct {
	*cells.Proxy
	lastPhase          cells.Phase
	lastPlatformStatus cells.Reached
	lastReadsPlatform  bool
	lastUpstream       cells.Guest
	lastNodeCount      int
	lastStoredRecord   cells.Recorded
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
		l.emit("phase", cells.Field{Name: "phase", Value: string(phase)})
	}
	if status := l.Reached.Get(); status.OK != l.lastPlatformStatus.OK || l.lastPlatformStatus.Since.IsZero() != status.Since.IsZero() {
		l.emit("platformReached", cells.Field{Name: "reached", Value: status.OK}, cells.Field{Name: "reason", Value: status.Reason},
			cells.Field{Name: "trip", Value: status.Trip}, cells.Field{Name: "before", Value: status.Since.Sub(l.lastPlatformStatus.Since)})
		l.lastPlatformStatus = status
	}
	if readsPlatform := l.Reading.Get(); readsPlatform != l.lastReadsPlatform {
		l.lastReadsPlatform = readsPlatform
		l.emit("readsPlatform", cells.Field{Name: "reading", Value: readsPlatform})
	}
	if upstream := l.Guest.Get(); upstream.Instance != l.lastUpstream.Instance || upstream.State != l.lastUpstream.State || upstream.Service != l.lastUpstream.Service {
		l.lastUpstream = upstream
		l.emit("upstream", cells.Field{Name: "service", Value: string(upstream.Service)},
			cells.Field{Name: "instance", Value: upstream.Instance}, cells.Field{Name: "state", Value: upstream.State.String()},
			cells.Field{Name: "sequence", Value: upstream.Sequence}, cells.Field{Name: "slots", Value: upstream.Slots},
			cells.Field{Name: "address", Value: upstream.Address.String()})
	}
	if nodes := l.Roster.Read().Len(); nodes != l.lastNodeCount {
		l.lastNodeCount = nodes
		l.emit("nodesKnown", cells.Field{Name: "nodes", Value: nodes}, cells.Field{Name: "revision", Value: l.Roster.Read().Revision})
	}
	if stored := l.Recorded.Get(); stored.Version != l.lastStoredRecord.Version {
		l.lastStoredRecord = stored
		l.emit("recorded", cells.Field{Name: "objectVersion", Value: stored.Version},
			cells.Field{Name: "state", Value: stored.Node.Upstream.State.String()}, cells.Field{Name: "leaving", Value: stored.Node.Leaving})
	}
}

func (l *proxyLog) emit(event string, fields ...cells.Field) {
	l.Noted.Send(cells.Note{Event: event, Fields: fields})
}
