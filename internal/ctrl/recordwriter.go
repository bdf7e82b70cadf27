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
	// minWriteBackoff and maxWriteBackoff are the bounds of the jittered backoff after
	// a failed write.
	minWriteBackoff = 50 * time.Millisecond
	maxWriteBackoff = time.Second
	// firstReportTimeout is how long after its start a proxy keeps the record of the
	// previous process while its upstream has neither reported nor been confirmed by
	// a health check.
	firstReportTimeout = 2 * time.Second
)

// recordWriter keeps this proxy's record in the platform up to date, and writes it
// again if it is missing there.
type recordWriter struct {
	*cells.Proxy
	alarm   board.Alarm
	backoff relay.Backoff
	// writing is true while a write is in progress.
	writing bool
	// conflicted is true if a write was retried at once because the stored record was
	// newer, and none has succeeded since.
	conflicted bool
	// retryAt is when a failed write is retried; zero if the last one succeeded.
	retryAt time.Time
}

func newRecordWriter(proxy *cells.Proxy, source rand.Source) board.Controller {
	w := &recordWriter{Proxy: proxy, backoff: relay.Backoff{Initial: minWriteBackoff, Max: maxWriteBackoff, Source: source}}
	return board.Controller{
		Name:   "recordWriter",
		Reads:  []board.Ref{&proxy.ObjectEvents, &proxy.Roster, &proxy.LocalUpstream, &proxy.BesideUpstream, &proxy.Phase, &proxy.PlatformStatus, &w.alarm},
		Uses:   []board.Ref{&proxy.Self},
		Writes: []board.Ref{&proxy.StoredRecord, &proxy.ObjectCommands, &w.alarm},
		Step:   w.step,
	}
}

func (w *recordWriter) step(now time.Time) {
	for _, e := range w.ObjectEvents.Events() {
		if e.Action == cells.PutRecord {
			w.handleWrite(e, now)
		}
	}
	roster := w.Roster.Read()
	if !roster.Loaded {
		return
	}
	entry, found := roster.Get(w.Self.Get().Host)
	stored := cells.StoredRecord{Loaded: true, Node: entry.Node, Version: entry.Version}
	if stored != w.StoredRecord.Get() {
		w.StoredRecord.Set(stored)
	}
	w.write(entry, found, now)
}

func (w *recordWriter) handleWrite(e cells.ObjectEvent, now time.Time) {
	w.writing = false
	newer := e.Result == cells.StoreConflict && e.Current.Version > e.Command.Version
	switch {
	case e.Result == cells.StoreDone:
		w.conflicted = false
		w.backoff.Reset()
		w.retryAt = time.Time{}
	case newer && !w.conflicted:
		w.conflicted = true
	default:
		w.retryAt = now.Add(w.backoff.Next())
	}
}

// write writes the record if the stored one is out of date.
func (w *recordWriter) write(entry cells.RosterEntry, found bool, now time.Time) {
	desired := w.desiredRecord()
	if w.writing || found && equalRecords(entry.Node, desired) {
		return
	}
	earliest := w.retryAt
	if found && (w.isUnknown(w.LocalUpstream.Get(), entry.Node.Upstream, true) || w.isUnknown(w.BesideUpstream.Get(), entry.Node.Beside, false)) && !desired.Leaving {
		earliest = latest(earliest, w.Self.Get().StartedAt.Add(firstReportTimeout))
	}
	if now.Before(earliest) {
		w.alarm.SetIfEarlier(earliest)
		return
	}
	w.writing = true
	version := entry.Version
	if !found {
		version = w.Roster.Read().UnreadableVersion(desired.Host)
	}
	w.ObjectCommands.Send(cells.ObjectCommand{
		Action: cells.PutRecord, Kind: cells.RecordObjects, Host: desired.Host, Node: desired, Version: version,
	})
}

// isUnknown reports whether an upstream has not reported to this process yet. A node always
// has a first upstream; others have one if it is recorded.
func (w *recordWriter) isUnknown(upstream cells.LocalUpstream, recorded fleet.Upstream, always bool) bool {
	return upstream.Unconfirmed || upstream.Instance == "" && (always || recorded.Instance != "")
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// desiredRecord returns the record that should be stored.
func (w *recordWriter) desiredRecord() fleet.Node {
	self := w.Self.Get()
	return fleet.Node{
		Host: self.Host, Place: self.Place, Address: self.Address, PlatformRTT: w.PlatformStatus.Get().RTT, LinkRate: self.LinkRate,
		Leaving: w.Phase.Get() == cells.Withdrawn || w.Phase.Get() == cells.Stopped, Upstream: w.LocalUpstream.Get().Upstream, Beside: w.BesideUpstream.Get().Upstream,
	}
}

// equalRecords reports whether the stored record a need not be replaced with b. It
// ignores the fields that change all the time and the exact RTT.
func equalRecords(a, b fleet.Node) bool {
	if a.PlatformRTT > 0 {
		b.PlatformRTT = a.PlatformRTT
	}
	b.Upstream, b.Beside = ignoreVolatile(a.Upstream, b.Upstream), ignoreVolatile(a.Beside, b.Beside)
	return a == b
}

// ignoreVolatile returns b with the fields of a that change all the time.
func ignoreVolatile(a, b fleet.Upstream) fleet.Upstream {
	b.Sequence, b.ColdRemaining = a.Sequence, a.ColdRemaining
	if a.StartedAt.Equal(b.StartedAt) {
		b.StartedAt = a.StartedAt
	}
	return b
}
