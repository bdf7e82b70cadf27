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
	phase          cells.Phase
	version        mesh.Version
	refusedVersion mesh.Version
	slot           cells.RelaySlot
	isLead         bool
	isServed       bool
	upstreamState  member.State
	hasUpstream    bool
}

func newNodeLog(set *cells.Node) board.Controller {
	l := &nodeLog{Node: set}
	return board.Controller{
		Name:   "journal",
		Reads:  []board.Ref{&set.Phase, &set.Config, &set.Adoption, &set.RelaySlot, &set.Uplinks, &set.LocalRecord},
		Writes: []board.Ref{&set.LogEvents},
		Step:   l.step,
	}
}

func (l *nodeLog) step(time.Time) {
	if phase := l.Phase.Get(); phase != l.phase {
		l.phase = phase
		l.log("phase", cells.LogField{Name: "phase", Value: string(phase)})
	}
	if version := l.Config.Get().Manifest.Version; version != l.version {
		l.version = version
		l.log("versionInForce", versionField(version))
	}
	if status := l.Adoption.Get(); status.Refused != l.refusedVersion {
		l.refusedVersion = status.Refused
		if status.Refused != 0 {
			l.log("versionRefused", versionField(status.Refused), cells.LogField{Name: "reason", Value: status.Reason})
		}
	}
	l.logRole()
	l.logUpstream()
}

func (l *nodeLog) logRole() {
	if slot := l.RelaySlot.Get(); slot != l.slot {
		l.slot = slot
		l.log("relay", cells.LogField{Name: "held", Value: slot.Held},
			cells.LogField{Name: "slot", Value: slot.Number})
	}
	uplinks := l.Uplinks.Get()
	if uplinks.Lead != l.isLead {
		l.isLead = uplinks.Lead
		l.log("lead", cells.LogField{Name: "lead", Value: l.isLead})
	}
	if uplinks.Served != l.isServed {
		l.isServed = uplinks.Served
		l.log("served", cells.LogField{Name: "served", Value: l.isServed})
	}
}

func (l *nodeLog) logUpstream() {
	record := l.LocalRecord.Get()
	hasUpstream := record.Host != ""
	if hasUpstream == l.hasUpstream && record.State == l.upstreamState {
		return
	}
	l.hasUpstream, l.upstreamState = hasUpstream, record.State
	l.log("upstream", cells.LogField{Name: "service", Value: record.ID.String()},
		cells.LogField{Name: "state", Value: record.State.String()})
}

func (l *nodeLog) log(event string, fields ...cells.LogField) {
	l.LogEvents.Send(cells.LogEvent{Name: event, Fields: fields})
}

func versionField(version mesh.Version) cells.LogField {
	return cells.LogField{Name: "version", Value: uint64(version)}
}
