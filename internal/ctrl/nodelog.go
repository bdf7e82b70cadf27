package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// journal notes each change of the node's state once.
type journal struct {
	*cells.Set
	phase    cells.Phase
	version  mesh.Version
	refused  mesh.Version
	slot     cells.RelaySlot
	lead     bool
	served   bool
	upstream member.State
	present  bool
}

func newJournal(set *cells.Set) board.Controller {
	j := &journal{Set: set}
	return board.Controller{
		Name:   "journal",
		Reads:  []board.Ref{&set.Phase, &set.Config, &set.Adoption, &set.RelaySlot, &set.Uplinks, &set.LocalRecord},
		Writes: []board.Ref{&set.LogEvents},
		Step:   j.step,
	}
}

func (j *journal) step(time.Time) {
	if phase := j.Phase.Get(); phase != j.phase {
		j.phase = phase
		j.note("phase", cells.LogField{Name: "phase", Value: string(phase)})
	}
	if version := j.Config.Get().Manifest.Version; version != j.version {
		j.version = version
		j.note("versionInForce", versionField(version))
	}
	if status := j.Adoption.Get(); status.Refused != j.refused {
		j.refused = status.Refused
		if status.Refused != 0 {
			j.note("versionRefused", versionField(status.Refused), cells.LogField{Name: "reason", Value: status.Reason})
		}
	}
	j.noteRole()
	j.noteUpstream()
}

func (j *journal) noteRole() {
	if slot := j.RelaySlot.Get(); slot != j.slot {
		j.slot = slot
		j.note("relay", cells.LogField{Name: "held", Value: slot.Held},
			cells.LogField{Name: "slot", Value: slot.Number})
	}
	uplinks := j.Uplinks.Get()
	if uplinks.Lead != j.lead {
		j.lead = uplinks.Lead
		j.note("lead", cells.LogField{Name: "lead", Value: j.lead})
	}
	if uplinks.Served != j.served {
		j.served = uplinks.Served
		j.note("served", cells.LogField{Name: "served", Value: j.served})
	}
}

func (j *journal) noteUpstream() {
	own := j.LocalRecord.Get()
	present := own.Host != ""
	if present == j.present && own.State == j.upstream {
		return
	}
	j.present, j.upstream = present, own.State
	j.note("upstream", cells.LogField{Name: "service", Value: own.ID.String()},
		cells.LogField{Name: "state", Value: own.State.String()})
}

func (j *journal) note(event string, fields ...cells.LogField) {
	j.LogEvents.Send(cells.LogEvent{Name: event, Fields: fields})
}

func versionField(version mesh.Version) cells.LogField {
	return cells.LogField{Name: "version", Value: uint64(version)}
}
