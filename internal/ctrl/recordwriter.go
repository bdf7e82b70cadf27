package ctrl

import (
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
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
	// rewriteSpread is the time over which all proxies spread the writes of their records
	// after the store was restored. 200 proxies then make 250 writes per second, and
	// records are back within two seconds.
	rewriteSpread = 800 * time.Millisecond
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
	// source is the source of jitter.
	source rand.Source
	// era is the era of the roster at the last step, and rewriteAt the time at which the
	// record is written again because a new era began.
	era       uint64
	rewriteAt time.Time
}

func newRecordWriter(proxy *cells.Proxy, source rand.Source) board.Controller {
	w := &recordWriter{Proxy: proxy, source: source, backoff: relay.Backoff{Initial: minWriteBackoff, Max: maxWriteBackoff, Source: source}}
	return board.Controller{
		Name:   "recordWriter",
		Reads:  []board.Ref{&proxy.ObjectEvents, &proxy.Roster, &proxy.LocalUpstream, &proxy.BesideUpstream, &proxy.Phase, &proxy.PlatformStatus, &w.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.ActiveVersion},
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
	if roster.Era != w.era && w.StoredRecord.Get().Loaded {
		w.rewriteAt = now.Add(time.Duration(rand.New(w.source).Int64N(int64(rewriteSpread))))
	}
	w.era = roster.Era
	entry, found := roster.Get(w.Self.Get().Host)
	stored := cells.StoredRecord{Loaded: true, Node: entry.Node, Version: entry.Version, Outdated: entry.Written.Era < entry.Era || entry.Era < roster.Era}
	if stored != w.StoredRecord.Get() {
		w.StoredRecord.Set(stored)
	}
	w.write(entry, found, now)
}

func (w *recordWriter) handleWrite(e cells.ObjectEvent, now time.Time) {
	w.writing = false
	newer := e.Result == cells.StoreConflict && e.Current.Era == e.Command.Era && e.Current.Version > e.Command.Version
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
	if sameEra := desired; found {
		// Nothing but the era changed, so the write may wait.
		sameEra.StoreEra = entry.Node.StoreEra
		if equalRecords(entry.Node, sameEra) {
			earliest = latest(earliest, w.rewriteAt)
		}
	}
	if found && (w.isUnknown(w.LocalUpstream.Get(), entry.Node.Upstream, true) || w.isUnknown(w.BesideUpstream.Get(), entry.Node.Beside, false)) && !desired.Leaving {
		earliest = latest(earliest, w.Self.Get().StartedAt.Add(firstReportTimeout))
	}
	if now.Before(earliest) {
		w.alarm.SetIfEarlier(earliest)
		return
	}
	w.writing = true
	roster, version := w.Roster.Read(), entry.Version
	if !found || entry.Era < roster.Era {
		version = roster.UnreadableVersion(desired.Host)
	}
	w.ObjectCommands.Send(cells.ObjectCommand{
		Action: cells.PutRecord, Kind: cells.RecordObjects, Host: desired.Host, Node: desired, Version: version, Era: roster.Era,
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
	self, version := w.Self.Get(), mesh.Version(0)
	if w.Roster.Read().Era > 0 {
		version = w.ActiveVersion.Get().Plan.Version()
	}
	return fleet.Node{
		Version: version,
		Host:    self.Host, Place: self.Place, Address: self.Address, PlatformRTT: w.PlatformStatus.Get().RTT, LinkRate: self.LinkRate, StoreEra: w.Roster.Read().Era,
		Leaving: w.Phase.Get() == cells.Withdrawn || w.Phase.Get() == cells.Stopped, Upstream: w.LocalUpstream.Get().Upstream, Beside: w.BesideUpstream.Get().Upstream,
	}
}

// equalRecords reports whether the stored record a need not be replaced with b. It
// ignores the fields that change all the time and the exact RTT.
func equalRecords(a, b fleet.Node) bool {
	if a.PlatformRTT > 0 {
		b.PlatformRTT = a.PlatformRTT
	}
	b.Version = a.Version
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
