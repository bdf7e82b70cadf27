package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// nodeLog logs each change of the node's state once.
type nodeLog struct {
	*cells.Node
	lastPhase          cells.Phase
	lastVersion        mesh.Version
	lastRefusedVersion mesh.Version
	lastSlot           cells.RelaySlot
	lastLead           bool
	lastServed         bool
	lastUpstreamState  member.State
	lastHasUpstream    bool
}

func newNodeLog(node *cells.Node) board.Controller {
	l := &nodeLog{Node: node}
	return board.Controller{
		Name:   "nodeLog",
		Reads:  []board.Ref{&node.Phase, &node.Config, &node.Adoption, &node.RelaySlot, &node.Uplinks, &node.LocalRecord},
		Writes: []board.Ref{&node.LogEvents},
		Step:   l.step,
	}
}

func (l *nodeLog) step(time.Time) {
	if phase := l.Phase.Get(); phase != l.lastPhase {
		l.lastPhase = phase
		l.log("phase", cells.LogField{Name: "phase", Value: string(phase)})
	}
	if version := l.Config.Get().Manifest.Version; version != l.lastVersion {
		l.lastVersion = version
		l.log("versionInForce", versionField(version))
	}
	if status := l.Adoption.Get(); status.Refused != l.lastRefusedVersion {
		l.lastRefusedVersion = status.Refused
		if status.Refused != 0 {
			l.log("versionRefused", versionField(status.Refused), cells.LogField{Name: "reason", Value: status.Reason})
		}
	}
	l.logRole()
	l.logUpstream()
}

func (l *nodeLog) logRole() {
	if slot := l.RelaySlot.Get(); slot != l.lastSlot {
		l.lastSlot = slot
		l.log("relay", cells.LogField{Name: "held", Value: slot.Held},
			cells.LogField{Name: "slot", Value: slot.Number})
	}
	uplinks := l.Uplinks.Get()
	if uplinks.Lead != l.lastLead {
		l.lastLead = uplinks.Lead
		l.log("lead", cells.LogField{Name: "lead", Value: l.lastLead})
	}
	if uplinks.Served != l.lastServed {
		l.lastServed = uplinks.Served
		l.log("served", cells.LogField{Name: "served", Value: l.lastServed})
	}
}

func (l *nodeLog) logUpstream() {
	record := l.LocalRecord.Get()
	hasUpstream := record.Host != ""
	if hasUpstream == l.lastHasUpstream && record.State == l.lastUpstreamState {
		return
	}
	l.lastHasUpstream, l.lastUpstreamState = hasUpstream, record.State
	l.log("upstream", cells.LogField{Name: "service", Value: record.ID.String()},
		cells.LogField{Name: "state", Value: record.State.String()})
}

func (l *nodeLog) log(event string, fields ...cells.LogField) {
	l.LogEvents.Send(cells.LogEvent{Name: event, Fields: fields})
}

func versionField(version mesh.Version) cells.LogField {
	return cells.LogField{Name: "version", Value: uint64(version)}
}
