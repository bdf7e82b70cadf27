package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// roster keeps the records of all nodes, as the platform or a reader told them.
type roster struct {
	*cells.Proxy
	forms Codec
}

func newRoster(set *cells.Proxy, forms Codec) board.Controller {
	r := &roster{Proxy: set, forms: forms}
	return board.Controller{
		Name:   "roster",
		Reads:  []board.Ref{&set.ObjectEvents, &set.LinkEvents},
		Uses:   []board.Ref{&set.Peers},
		Writes: []board.Ref{&set.Roster, &set.LogEvents},
		Step:   r.step,
	}
}

func (r *roster) step(time.Time) {
	for _, e := range r.ObjectEvents.Events() {
		if e.Kind == cells.RecordObjects {
			r.told(e)
		}
	}
	for _, e := range r.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.Roster); ok {
			r.passedOn(m)
		}
	}
}

// told takes in what the platform says.
func (r *roster) told(e cells.ObjectEvent) {
	if e.Current.Version > 0 {
		r.object(e.Current)
	}
	if e.Result != cells.StoreDone || e.Action != cells.WatchObjects {
		return
	}
	for _, o := range e.Objects {
		r.object(o)
	}
	if e.Complete {
		listed := make(map[mesh.HostID]bool, len(e.Objects))
		for _, o := range e.Objects {
			listed[mesh.HostID(o.Name)] = true
		}
		r.complete(listed, e.Revision)
	}
	r.Roster.Change().Revision = max(r.Roster.Read().Revision, e.Revision)
}

// passedOn takes in what a reader says.
func (r *roster) passedOn(m ctlmsg.Roster) {
	listed := make(map[mesh.HostID]bool, len(m.Entries))
	for _, e := range m.Entries {
		listed[e.Host] = true
		r.object(cells.Object{Name: string(e.Host), Value: e.Record, Version: e.Version, Deleted: len(e.Record) == 0})
	}
	if m.Complete {
		r.complete(listed, m.Revision)
	}
}

// complete forgets the records that a whole list of that revision leaves out.
func (r *roster) complete(listed map[mesh.HostID]bool, revision uint64) {
	roster := r.Roster.Change()
	for _, h := range roster.Hosts() {
		if entry, _ := roster.Get(h); !listed[h] && entry.Version <= revision {
			roster.Remove(h, revision)
		}
	}
	roster.Loaded = true
}

// object takes in one record. One that can't be read names no node to use.
func (r *roster) object(o cells.Object) {
	roster := r.Roster.Change()
	if o.Deleted {
		roster.Remove(mesh.HostID(o.Name), o.Version)
		return
	}
	if old, ok := roster.Get(mesh.HostID(o.Name)); ok && old.Version >= o.Version {
		return
	}
	node, err := r.forms.DecodeNode(o.Value)
	if err != nil || string(node.Host) != o.Name {
		roster.Remove(mesh.HostID(o.Name), o.Version)
		r.LogEvents.Send(cells.LogEvent{Name: "recordUnreadable", Fields: []cells.LogField{
			{Name: "record", Value: o.Name}, {Name: "objectVersion", Value: o.Version}, {Name: "reason", Value: textOf(err)},
		}})
		return
	}
	roster.Put(cells.RosterEntry{Node: node, Version: o.Version, Record: o.Value})
}

// textOf returns an error's text, empty for none.
func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
