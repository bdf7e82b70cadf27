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
	slot     cells.Slot
	lead     bool
	served   bool
	upstream member.State
	present  bool
}

func newJournal(set *cells.Set) board.Controller {
	j := &journal{Set: set}
	return board.Controller{
		Name:   "journal",
		Reads:  []board.Ref{&set.Phase, &set.Config, &set.Adoption, &set.Slot, &set.Uplinks, &set.Own},
		Writes: []board.Ref{&set.Noted},
		Step:   j.step,
	}
}

func (j *journal) step(time.Time) {
	if phase := j.Phase.Get(); phase != j.phase {
		j.phase = phase
		j.note("phase", cells.Field{Name: "phase", Value: string(phase)})
	}
	if version := j.Config.Get().Manifest.Version; version != j.version {
		j.version = version
		j.note("versionInForce", versionField(version))
	}
	if status := j.Adoption.Get(); status.Refused != j.refused {
		j.refused = status.Refused
		if status.Refused != 0 {
			j.note("versionRefused", versionField(status.Refused), cells.Field{Name: "reason", Value: status.Reason})
		}
	}
	j.noteRole()
	j.noteUpstream()
}

func (j *journal) noteRole() {
	if slot := j.Slot.Get(); slot != j.slot {
		j.slot = slot
		j.note("relay", cells.Field{Name: "held", Value: slot.Held},
			cells.Field{Name: "slot", Value: slot.Number})
	}
	uplinks := j.Uplinks.Get()
	if uplinks.Lead != j.lead {
		j.lead = uplinks.Lead
		j.note("lead", cells.Field{Name: "lead", Value: j.lead})
	}
	if uplinks.Served != j.served {
		j.served = uplinks.Served
		j.note("served", cells.Field{Name: "served", Value: j.served})
	}
}

func (j *journal) noteUpstream() {
	own := j.Own.Get()
	present := own.Host != ""
	if present == j.present && own.State == j.upstream {
		return
	}
	j.present, j.upstream = present, own.State
	j.note("upstream", cells.Field{Name: "service", Value: own.ID.String()},
		cells.Field{Name: "state", Value: own.State.String()})
}

func (j *journal) note(event string, fields ...cells.Field) {
	j.Noted.Send(cells.Note{Event: event, Fields: fields})
}

func versionField(version mesh.Version) cells.Field {
	return cells.Field{Name: "version", Value: uint64(version)}
}
