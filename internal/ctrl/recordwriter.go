package ctrl

import (
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

const (
	// putFirst and putLongest bound the jittered wait before a write that failed
	// is tried again.
	putFirst   = 50 * time.Millisecond
	putLongest = time.Second
	// firstWordWait is how long a restarted proxy waits for its upstream's word, or
	// until it is found, before it replaces the record of the process before.
	firstWordWait = 2 * time.Second
)

// record keeps this proxy's record in the platform as it should be, and writes
// it again when it is missing there.
type record struct {
	*cells.Proxy
	alarm   board.Alarm
	backoff relay.Backoff
	// writing is true while a write is underway.
	writing bool
	// retryAt is when a failed write is tried again.
	retryAt time.Time
}

func newRecord(set *cells.Proxy, source rand.Source) board.Controller {
	r := &record{Proxy: set, backoff: relay.Backoff{Initial: putFirst, Max: putLongest, Source: source}}
	return board.Controller{
		Name:   "record",
		Reads:  []board.Ref{&set.ObjectEvents, &set.Roster, &set.LocalUpstream, &set.Phase, &set.PlatformStatus, &r.alarm},
		Uses:   []board.Ref{&set.Self},
		Writes: []board.Ref{&set.StoredRecord, &set.ObjectCommands, &r.alarm},
		Step:   r.step,
	}
}

func (r *record) step(now time.Time) {
	for _, e := range r.ObjectEvents.Events() {
		if e.Action == cells.PutRecord {
			r.written(e, now)
		}
	}
	roster := r.Roster.Read()
	if !roster.Loaded {
		return
	}
	entry, found := roster.Get(r.Self.Get().Host)
	recorded := cells.StoredRecord{Loaded: true, Node: entry.Node, Version: entry.Version}
	if recorded != r.StoredRecord.Get() {
		r.StoredRecord.Set(recorded)
	}
	r.write(entry, found, now)
}

func (r *record) written(e cells.ObjectEvent, now time.Time) {
	r.writing = false
	if e.Result == cells.StoreDone || e.Result == cells.StoreConflict && e.Current.Version > 0 {
		r.backoff.Reset()
		r.retryAt = time.Time{}
		return
	}
	r.retryAt = now.Add(r.backoff.Next())
}

// write brings the record up to date when it is not.
func (r *record) write(entry cells.RosterEntry, found bool, now time.Time) {
	want := r.want()
	if r.writing || found && sameRecord(entry.Node, want) {
		return
	}
	wait := r.retryAt
	if guest := r.LocalUpstream.Get(); found && (guest.Instance == "" || guest.Unconfirmed) && !want.Leaving {
		wait = later(wait, r.Self.Get().StartedAt.Add(firstWordWait))
	}
	if now.Before(wait) {
		r.alarm.SetIfEarlier(wait)
		return
	}
	r.writing = true
	r.ObjectCommands.Send(cells.ObjectCommand{
		Action: cells.PutRecord, Kind: cells.RecordObjects, Host: want.Host, Node: want, Version: entry.Version,
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// want returns the record as it should be.
func (r *record) want() fleet.Node {
	self := r.Self.Get()
	return fleet.Node{
		Host: self.Host, Place: self.Place, Address: self.Address, PlatformRTT: r.PlatformStatus.Get().RTT, LinkRate: self.LinkRate,
		Leaving: r.Phase.Get() == cells.Withdrawn || r.Phase.Get() == cells.Stopped, Upstream: r.LocalUpstream.Get().Upstream,
	}
}

// sameRecord reports whether a record needs no new write. What changes all the
// time, and the exact trip, is no reason for one.
func sameRecord(a, b fleet.Node) bool {
	if a.PlatformRTT > 0 {
		b.PlatformRTT = a.PlatformRTT
	}
	b.Upstream.Sequence, b.Upstream.ColdRemaining = a.Upstream.Sequence, a.Upstream.ColdRemaining
	if a.Upstream.StartedAt.Equal(b.Upstream.StartedAt) {
		b.Upstream.StartedAt = a.Upstream.StartedAt
	}
	return a == b
}
