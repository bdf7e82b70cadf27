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
	lastPlatformStatus cells.PlatformStatus
	lastReadsPlatform  bool
	lastUpstream       cells.LocalUpstream
	lastBeside         cells.LocalUpstream
	lastNodeCount      int
	lastStoredRecord   cells.StoredRecord
}

func newProxyLog(proxy *cells.Proxy) board.Controller {
	l := &proxyLog{Proxy: proxy}
	return board.Controller{
		Name:   "proxyLog",
		Reads:  []board.Ref{&proxy.Phase, &proxy.PlatformStatus, &proxy.ReadsPlatform, &proxy.LocalUpstream, &proxy.BesideUpstream, &proxy.Roster, &proxy.StoredRecord},
		Writes: []board.Ref{&proxy.LogEvents},
		Step:   l.step,
	}
}

func (l *proxyLog) step(time.Time) {
	if phase := l.Phase.Get(); phase != l.lastPhase {
		l.lastPhase = phase
		l.emit("phase", cells.LogField{Name: "phase", Value: string(phase)})
	}
	if status := l.PlatformStatus.Get(); status.Reachable != l.lastPlatformStatus.Reachable || l.lastPlatformStatus.Since.IsZero() != status.Since.IsZero() {
		l.emit("platformReached", cells.LogField{Name: "reached", Value: status.Reachable}, cells.LogField{Name: "reason", Value: status.Reason},
			cells.LogField{Name: "trip", Value: status.RTT}, cells.LogField{Name: "before", Value: status.Since.Sub(l.lastPlatformStatus.Since)})
		l.lastPlatformStatus = status
	}
	if readsPlatform := l.ReadsPlatform.Get(); readsPlatform != l.lastReadsPlatform {
		l.lastReadsPlatform = readsPlatform
		l.emit("readsPlatform", cells.LogField{Name: "reading", Value: readsPlatform})
	}
	l.logUpstream(l.LocalUpstream.Get(), &l.lastUpstream)
	l.logUpstream(l.BesideUpstream.Get(), &l.lastBeside)
	if nodes := l.Roster.Read().Len(); nodes != l.lastNodeCount {
		l.lastNodeCount = nodes
		l.emit("nodesKnown", cells.LogField{Name: "nodes", Value: nodes}, cells.LogField{Name: "revision", Value: l.Roster.Read().Revision})
	}
	if stored := l.StoredRecord.Get(); stored.Version != l.lastStoredRecord.Version {
		l.lastStoredRecord = stored
		l.emit("recorded", cells.LogField{Name: "objectVersion", Value: stored.Version},
			cells.LogField{Name: "state", Value: stored.Node.Upstream.State.String()}, cells.LogField{Name: "leaving", Value: stored.Node.Leaving})
	}
}

// logUpstream logs an upstream if it changed since it was last logged.
func (l *proxyLog) logUpstream(upstream cells.LocalUpstream, last *cells.LocalUpstream) {
	if upstream.Instance == last.Instance && upstream.State == last.State && upstream.Service == last.Service {
		return
	}
	*last = upstream
	l.emit("upstream", cells.LogField{Name: "service", Value: string(upstream.Service)},
		cells.LogField{Name: "instance", Value: upstream.Instance}, cells.LogField{Name: "state", Value: upstream.State.String()},
		cells.LogField{Name: "sequence", Value: upstream.Sequence}, cells.LogField{Name: "slots", Value: upstream.Slots},
		cells.LogField{Name: "address", Value: upstream.Address.String()}, cells.LogField{Name: "release", Value: string(upstream.Release)})
}

func (l *proxyLog) emit(event string, fields ...cells.LogField) {
	l.LogEvents.Send(cells.LogEvent{Name: event, Fields: fields})
}
