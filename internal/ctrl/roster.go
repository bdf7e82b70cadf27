package ctrl

import (
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// maxLoggedText is the maximum length in bytes of text from an unreadable object in the
// log.
const maxLoggedText = 200

// rosterUpdater maintains the records of all nodes from the events of the platform and
// the messages of readers.
type rosterUpdater struct {
	*cells.Proxy
	codec Codec
}

func newRosterUpdater(proxy *cells.Proxy, codec Codec) board.Controller {
	r := &rosterUpdater{Proxy: proxy, codec: codec}
	return board.Controller{
		Name:   "rosterUpdater",
		Reads:  []board.Ref{&proxy.ObjectEvents, &proxy.LinkEvents},
		Uses:   []board.Ref{&proxy.Peers},
		Writes: []board.Ref{&proxy.Roster, &proxy.LogEvents},
		Step:   r.step,
	}
}

func (r *rosterUpdater) step(time.Time) {
	for _, e := range r.ObjectEvents.Events() {
		if e.Kind == cells.RecordObjects {
			r.handleObjectEvent(e)
		}
	}
	for _, e := range r.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.Roster); ok {
			r.handleRoster(m)
		}
	}
}

// handleObjectEvent applies a response of the platform.
func (r *rosterUpdater) handleObjectEvent(e cells.ObjectEvent) {
	if e.Current.Version > 0 {
		r.applyObject(e.Current)
	}
	if e.Result != cells.StoreDone || e.Action != cells.WatchObjects {
		return
	}
	for _, o := range e.Objects {
		r.applyObject(o)
	}
	if e.Complete {
		listed := make(map[mesh.HostID]bool, len(e.Objects))
		for _, o := range e.Objects {
			listed[mesh.HostID(o.Name)] = true
		}
		r.removeUnlisted(listed, e.Revision)
	}
	r.Roster.Change().Revision = max(r.Roster.Read().Revision, e.Revision)
}

// handleRoster applies a message of a reader.
func (r *rosterUpdater) handleRoster(m ctlmsg.Roster) {
	listed := make(map[mesh.HostID]bool, len(m.Entries))
	for _, e := range m.Entries {
		listed[e.Host] = true
		r.applyObject(cells.Object{Name: string(e.Host), Value: e.Record, Version: e.Version, Deleted: len(e.Record) == 0})
	}
	if m.Complete {
		r.removeUnlisted(listed, m.Revision)
	}
	r.Roster.Change().Revision = max(r.Roster.Read().Revision, m.Revision)
}

// removeUnlisted removes the records that are missing from a complete list of the
// revision.
func (r *rosterUpdater) removeUnlisted(listed map[mesh.HostID]bool, revision uint64) {
	roster := r.Roster.Change()
	for _, h := range roster.Hosts() {
		if entry, _ := roster.Get(h); !listed[h] && entry.Version <= revision {
			roster.Remove(h, revision)
		}
	}
	roster.Loaded = true
}

// applyObject applies the change of one record. A record that cannot be decoded is
// removed, because its node cannot be used.
func (r *rosterUpdater) applyObject(o cells.Object) {
	roster, host := r.Roster.Change(), mesh.HostID(o.Name)
	if o.Deleted {
		roster.Remove(host, o.Version)
		return
	}
	if old, ok := roster.Get(host); ok && old.Version >= o.Version {
		return
	}
	node, err := r.decode(o)
	if err == nil {
		roster.Put(cells.RosterEntry{Node: node, Version: o.Version, Record: o.Value})
		return
	}
	// Any writer can create objects of any name. Those of impossible hosts are not
	// kept, so that they use no memory.
	if mesh.CheckName(o.Name) != nil || roster.MarkUnreadable(host, o.Version) {
		r.LogEvents.Send(cells.LogEvent{Name: "recordUnreadable", Fields: []cells.LogField{
			{Name: "record", Value: truncate(o.Name)}, {Name: "objectVersion", Value: o.Version}, {Name: "reason", Value: truncate(err.Error())},
		}})
	}
}

// decode decodes the record in an object.
func (r *rosterUpdater) decode(o cells.Object) (node fleet.Node, err error) {
	if o.Malformed != nil {
		return node, o.Malformed
	}
	if node, err = r.codec.DecodeNode(o.Value); err != nil {
		return node, err
	}
	if string(node.Host) != o.Name {
		return node, fmt.Errorf("record of host %q", node.Host)
	}
	return node, nil
}

// truncate returns at most maxLoggedText bytes of the text.
func truncate(text string) string {
	return text[:min(len(text), maxLoggedText)]
}

// errorText returns the text of the error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
