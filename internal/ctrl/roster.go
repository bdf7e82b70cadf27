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

// lostRecordTime is how long the record of a node that the restored store lacks is kept.
// As long as that, a node without a link does not count as dead either.
const lostRecordTime = deadAfter

// rosterUpdater maintains the records of all nodes from the events of the platform and
// the messages of readers. A new era of the store begins with a complete list or message.
type rosterUpdater struct {
	*cells.Proxy
	codec Codec
	alarm board.Alarm
	// keepUntil is the time until which records of earlier eras are kept; zero if there
	// are none.
	keepUntil time.Time
}

func newRosterUpdater(proxy *cells.Proxy, codec Codec) board.Controller {
	r := &rosterUpdater{Proxy: proxy, codec: codec}
	return board.Controller{
		Name:   "rosterUpdater",
		Reads:  []board.Ref{&proxy.ObjectEvents, &proxy.LinkEvents, &r.alarm},
		Uses:   []board.Ref{&proxy.Peers, &proxy.StoreEra},
		Writes: []board.Ref{&proxy.Roster, &proxy.LogEvents, &r.alarm},
		Step:   r.step,
	}
}

func (r *rosterUpdater) step(now time.Time) {
	for _, e := range r.ObjectEvents.Events() {
		if e.Kind == cells.RecordObjects {
			r.handleObjectEvent(e, now)
		}
	}
	for _, e := range r.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.Roster); ok {
			r.handleRoster(m, now)
		}
	}
	r.removeLost(now)
}

// handleObjectEvent applies a response of the platform.
func (r *rosterUpdater) handleObjectEvent(e cells.ObjectEvent, now time.Time) {
	if e.Current.Version > 0 && e.Current.Era == r.Roster.Read().Era {
		r.applyObject(e.Current)
	}
	if e.Result != cells.StoreDone || e.Action != cells.WatchObjects || !r.enterEra(e.Era, e.Complete, now) {
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
func (r *rosterUpdater) handleRoster(m ctlmsg.Roster, now time.Time) {
	if !r.enterEra(m.Era, m.Complete, now) {
		return
	}
	listed := make(map[mesh.HostID]bool, len(m.Entries))
	for _, e := range m.Entries {
		listed[e.Host] = true
		o := cells.Object{Name: string(e.Host), Value: e.Record, Version: e.Version, Era: e.Era, Deleted: len(e.Record) == 0}
		if o.Deleted {
			r.applyObject(o)
			continue
		}
		r.applyRecord(o, cells.RosterEntry{Written: e.Written, Retired: e.Retired})
	}
	if m.Complete {
		r.removeUnlisted(listed, m.Revision)
	}
	r.Roster.Change().Revision = max(r.Roster.Read().Revision, m.Revision)
}

// enterEra reports whether a response or message of the era is to be applied. It begins a
// new era if the response or message is complete.
func (r *rosterUpdater) enterEra(era uint64, complete bool, now time.Time) bool {
	roster := r.Roster.Read()
	switch {
	case era < r.StoreEra.Get() || era < roster.Era || era > roster.Era && !complete:
		return false
	case era > roster.Era:
		if roster.Loaded {
			r.LogEvents.Send(cells.LogEvent{Name: "recordsRestored", Fields: []cells.LogField{
				{Name: "era", Value: era}, {Name: "revisionBefore", Value: roster.Revision}, {Name: "nodes", Value: roster.Len()},
			}})
		}
		r.Roster.Change().BeginEra(era)
		r.keepUntil = now.Add(lostRecordTime)
	}
	return true
}

// removeLost removes the records that were known before the store was restored, but that
// it lacks and that nobody has written again.
func (r *rosterUpdater) removeLost(now time.Time) {
	if r.keepUntil.IsZero() {
		return
	}
	if now.Before(r.keepUntil) {
		r.alarm.SetIfEarlier(r.keepUntil)
		return
	}
	r.keepUntil = time.Time{}
	at := mesh.StoreTime{Era: r.Roster.Read().Era, Revision: r.Roster.Read().Revision}
	for _, h := range r.Roster.Read().Hosts() {
		if entry, _ := r.Roster.Read().Get(h); entry.Era < at.Era {
			r.Roster.Change().Remove(h, at)
		}
	}
}

// removeUnlisted removes the records that are missing from a complete list of the
// revision. Those of an earlier era are kept for a while.
func (r *rosterUpdater) removeUnlisted(listed map[mesh.HostID]bool, revision uint64) {
	roster := r.Roster.Change()
	for _, h := range roster.Hosts() {
		if entry, _ := roster.Get(h); !listed[h] && entry.Era == roster.Era && entry.Version <= revision {
			roster.Remove(h, mesh.StoreTime{Era: roster.Era, Revision: revision})
		}
	}
	roster.Loaded = true
}

// applyObject applies the change of one record.
func (r *rosterUpdater) applyObject(o cells.Object) {
	if o.Deleted {
		r.Roster.Change().Remove(mesh.HostID(o.Name), o.Time())
		return
	}
	r.applyRecord(o, cells.RosterEntry{})
}

// applyRecord applies a record to the roster. The entry holds what a reader said about it.
// A record that cannot be decoded is removed, because its node cannot be used.
func (r *rosterUpdater) applyRecord(o cells.Object, entry cells.RosterEntry) {
	roster, host := r.Roster.Change(), mesh.HostID(o.Name)
	if old, ok := roster.Get(host); ok && (old.Time().After(o.Time()) || old.Time() == o.Time() && !entry.Written.After(old.Written)) {
		return
	}
	node, err := r.decode(o)
	if err == nil {
		entry.Node, entry.Version, entry.Era, entry.Record = node, o.Version, o.Era, o.Value
		if entry.Written == (mesh.StoreTime{}) {
			// The copy of which a store was restored has the versions of the earlier era.
			entry.Written = mesh.StoreTime{Era: min(node.StoreEra, o.Era), Revision: o.Version}
		}
		roster.Put(entry)
		return
	}
	// Any writer can create objects of any name. Those of impossible hosts are not
	// kept, so that they use no memory.
	if mesh.CheckName(o.Name) != nil || o.Era == roster.Era && roster.MarkUnreadable(host, o.Version) {
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
