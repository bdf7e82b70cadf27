package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// local keeps the record of the host's own upstream from its announcements.
type local struct {
	*cells.Set
	alarm board.Alarm
	life  member.LocalUpstream
	// via is who watches this host, as last published.
	via mesh.HostID
}

func newLocal(set *cells.Set) board.Controller {
	l := &local{Set: set}
	return board.Controller{
		Name:   "local",
		Reads:  []board.Ref{&set.Announcements, &set.Phase, &set.LinkEvents, &set.Uplinks, &set.RelaySlot, &l.alarm},
		Uses:   []board.Ref{&set.Self, &set.Peers},
		Writes: []board.Ref{&set.LocalRecord, &l.alarm},
		Step:   l.step,
	}
}

func (l *local) step(now time.Time) {
	self := l.Self.Get()
	if l.life.Host == "" {
		l.life.Host, l.life.Place = self.Host, self.Place
		l.life.Node, l.life.Incarnation = self.Address, self.Incarnation
	}
	for _, a := range l.Announcements.Events() {
		l.announced(a, now)
	}
	for _, e := range l.LinkEvents.Events() {
		l.refute(e)
	}
	l.life.Expire(now)
	l.moved()
	if l.Phase.Get() == cells.Draining && l.life.Phase() != member.PhaseDraining {
		l.announced(cells.Announcement{Kind: cells.DrainUpstream}, now)
	}
	l.publish()
}

// announced takes in one announcement; the admin endpoint has checked its form,
// and one that the upstream's phase does not permit changes nothing.
func (l *local) announced(a cells.Announcement, now time.Time) {
	switch a.Kind {
	case cells.Announce:
		_, _, _ = l.life.Announce(now, member.Announcement{ID: a.ID, Slots: a.Slots, Connections: a.Connections})
	case cells.DrainUpstream:
		_, _, _ = l.life.Drain(now)
	case cells.LeaveUpstream:
		_, _, _ = l.life.Leave(now)
	}
}

// moved publishes anew when another node serves this one, so that the one that
// watched it before stops.
func (l *local) moved() {
	if via := l.watcher(); via != "" && via != l.via {
		l.via = via
		l.life.JoinRelay(via)
	}
}

// watcher returns who watches this host: the relay that it beats to, or itself
// while it is a relay, since those are watched by their leases.
func (l *local) watcher() mesh.HostID {
	if l.RelaySlot.Get().Held {
		return l.Self.Get().Host
	}
	for _, link := range l.Uplinks.Get().Links {
		if p := l.Peers.Read().Get(link); p != nil {
			return p.Hello.Host
		}
	}
	return ""
}

// refute answers records of this host that stand over its own.
func (l *local) refute(e cells.LinkEvent) {
	m, ok := e.Message.(ctlmsg.MemberRecords)
	if !ok {
		return
	}
	for _, r := range m.Records {
		if r.Host == l.life.Host {
			l.life.Refute(r)
		}
	}
}

func (l *local) publish() {
	if deadline := l.life.ExpiresAt(); !deadline.IsZero() {
		l.alarm.Set(deadline)
	}
	record, ok := l.life.Record()
	if ok && record != l.LocalRecord.Get() {
		l.LocalRecord.Set(record)
	}
}
