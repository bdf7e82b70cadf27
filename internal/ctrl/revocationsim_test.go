package ctrl

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// watchGrace is how long after its end a simulated watch without a response fails.
const watchGrace = 600 * time.Millisecond

// simRevocation is the part of the simulation that matters for revoked keys. The zero
// simRevocation turns it off.
type simRevocation struct {
	revocation time.Duration
	// storeLatency is the round-trip time of calls to the store.
	storeLatency time.Duration
	// silentWatches is true while watches are not answered.
	silentWatches bool
	// dropDocuments is true while versions that readers send are lost.
	dropDocuments bool
	// onHeartbeat is called with each heartbeat and its sender if it is set.
	onHeartbeat func(sender *simProxy, h ctlmsg.ReaderHeartbeat)
	// onProbe is called with each probe if it is set.
	onProbe func(sender, receiver *simProxy, m ctlmsg.Probe)
	// accounts is true if the versions have accounts.
	accounts bool
	// calls counts the watches of versions that reached the store.
	calls int
	// acceptedAt contains the time at which the store accepted each version, from the first.
	acceptedAt []time.Time
	// delayed contains what happens at later times, in any order.
	delayed []delayedAction
	// refused contains the time for which each host refused requests with keys.
	refused map[mesh.HostID]time.Duration
	// oldest is the largest age of a confirmation.
	oldest time.Duration
}

type delayedAction struct {
	at  time.Time
	run func()
}

// simClock is the clock of a simulated process. Its readings differ from those of others.
type simClock struct {
	offset, suspended time.Duration
	// frozen is true while the process does not run, and asleep while its monotonic clock
	// does not advance either.
	frozen, asleep bool
	// oldBuild is true if the process runs a build that knows no probes.
	oldBuild bool
	watch    *simWatch
}

func (c *simClock) Suspended() time.Duration { return c.suspended }

func (c *simClock) local(now time.Time) verify.Moment {
	return verify.Moment{Time: now.Add(c.offset - c.suspended), Suspended: c.suspended}
}

// simWatch is a watch of versions in progress.
type simWatch struct {
	calledAt verify.Moment
	// arrivesAt is when the call arrives at the store.
	arrivesAt time.Time
	counted   bool
	answered  bool
}

func (s *sim) clockOffset(host mesh.HostID) time.Duration {
	if s.revocation == 0 {
		return 0
	}
	return time.Hour * time.Duration(len(s.proxies)+1)
}

func (s *sim) codec() testCodec {
	if !s.accounts {
		return testCodec{}
	}
	return testCodec{accounts: []*plan.Account{{Name: "anna", Keys: []string{"k"}}}}
}

func (s *sim) simulatesCalls(kind cells.ObjectKind) bool {
	return s.revocation > 0 && kind == cells.VersionObjects
}

// after runs the action once the duration has passed.
func (s *sim) after(d time.Duration, run func()) {
	s.delayed = append(s.delayed, delayedAction{at: s.now.Add(d), run: run})
}

func (s *sim) runDelayed() {
	if s.revocation > 0 {
		for _, p := range s.proxies {
			s.runWatch(p)
		}
	}
	due := make([]delayedAction, 0, len(s.delayed))
	s.delayed = slices.DeleteFunc(s.delayed, func(a delayedAction) bool {
		isDue := !a.at.After(s.now)
		if isDue {
			due = append(due, a)
		}
		return isDue
	})
	for _, a := range due {
		a.run()
	}
}

// deliver passes a message on, without what a build that knows no probes would not send.
func (s *sim) deliver(receiver *simProxy, l *simLink, message ctlmsg.Message) {
	sender := l.dialer
	if receiver == sender {
		sender = l.acceptor
	}
	switch m := message.(type) {
	case ctlmsg.ReaderHeartbeat:
		if s.onHeartbeat != nil {
			s.onHeartbeat(sender, m)
		}
		if sender.oldBuild {
			m.Verified, m.VerifiedAge, m.ProbeSentAt = false, 0, 0
		}
		message = m
	case ctlmsg.Probe:
		if s.onProbe != nil {
			s.onProbe(sender, receiver, m)
		}
	case ctlmsg.Document:
		if s.dropDocuments {
			return
		}
	}
	post := func() {
		receiver.cells.LinkEvents.Post(cells.LinkEvent{Link: l.id, Kind: cells.LinkMessage, Message: message})
	}
	if l.delay == 0 {
		post()
		return
	}
	s.after(l.delay, post)
}

// runWatch simulates the calls with which a process watches versions.
func (s *sim) runWatch(p *simProxy) {
	revision, watches := p.watched[cells.VersionObjects]
	switch {
	case !watches || p.frozen && p.watch == nil:
		return
	case p.watch == nil:
		p.watch = &simWatch{calledAt: p.local(s.now), arrivesAt: s.now.Add(s.storeLatency / 2)}
	}
	w := p.watch
	if w.answered || s.now.Before(w.arrivesAt) {
		return
	}
	if !w.counted {
		s.calls, w.counted = s.calls+1, true
	}
	end := w.arrivesAt.Add(verify.WatchWait(s.revocation, time.Hour))
	event := cells.ObjectEvent{Action: cells.WatchObjects, Kind: cells.VersionObjects, Complete: revision == 0, Revision: s.revision, Era: s.era, RTT: nearRTT, CalledAt: w.calledAt}
	switch {
	case s.platformUnreachable(p) || s.silentWatches:
		if s.now.Before(end.Add(watchGrace)) {
			return
		}
		event = cells.ObjectEvent{Action: cells.WatchObjects, Kind: cells.VersionObjects, Result: cells.StoreFailed, Err: errors.New("no response")}
	case revision == s.revision && s.now.Before(end):
		return
	}
	for _, o := range s.objects[cells.VersionObjects] {
		if event.Result == cells.StoreDone && o.Version > revision {
			event.Objects = append(event.Objects, s.stored(cells.VersionObjects, o.Name))
		}
	}
	slices.SortFunc(event.Objects, func(a, b cells.Object) int { return cmp.Compare(a.Version, b.Version) })
	w.answered = true
	s.after(s.storeLatency/2, func() {
		if p.watch != w {
			return
		}
		p.watch = nil
		p.watched[cells.VersionObjects] = max(revision, event.Revision)
		p.cells.ObjectEvents.Post(event)
	})
}

// acceptVersion makes the store accept the next version.
func (s *sim) acceptVersion() mesh.Version {
	s.acceptedAt = append(s.acceptedAt, s.now)
	version := len(s.acceptedAt) + 1
	s.write(cells.VersionObjects, "main", []byte(strconv.Itoa(version)))
	return mesh.Version(version)
}

// settle runs a process for one step.
func (s *sim) settle(p *simProxy) {
	switch {
	case p.asleep:
		p.suspended += simStep
		return
	case p.frozen:
		return
	}
	// Traffic threads also run before the control thread does.
	s.checkKeys(p)
	p.board.Settle(p.local(s.now).Time)
	s.checkKeys(p)
	if s.revocation == 0 {
		return
	}
	s.oldest = max(s.oldest, p.local(s.now).Sub(p.cells.Freshness.Load().Verified()))
	if !s.admitsKeys(p) {
		s.refused[p.host] += simStep
	}
}

func (s *sim) admitsKeys(p *simProxy) bool {
	verified := p.cells.Freshness.Load().Verified()
	return !verified.IsZero() && p.local(s.now).Sub(verified) <= verify.MaxAge(s.revocation)
}

// checkKeys fails the test if a request would run with a key that a newer version may have
// revoked more than the revocation time ago.
func (s *sim) checkKeys(p *simProxy) {
	version := int(p.cells.Snapshot.Load().Plan.Version())
	if s.revocation == 0 || version < 1 || version > len(s.acceptedAt) || !s.admitsKeys(p) {
		return
	}
	age := s.now.Sub(s.acceptedAt[version-1])
	assert.Assert(s.t, age <= s.revocation, "%s admits keys of version %d, %v after the next one was accepted", p.host, version, age)
}
