package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// localUpstream maintains the record of the host's own upstream from the upstream's
// announcements.
type localUpstream struct {
	*cells.Node
	alarm    board.Alarm
	upstream member.LocalUpstream
	// lastWatcher is the host named last in the record as the one that watches this
	// host.
	lastWatcher mesh.HostID
}

func newLocalUpstream(node *cells.Node) board.Controller {
	l := &localUpstream{Node: node}
	return board.Controller{
		Name:   "localUpstream",
		Reads:  []board.Ref{&node.Announcements, &node.Phase, &node.LinkEvents, &node.Uplinks, &node.RelaySlot, &l.alarm},
		Uses:   []board.Ref{&node.Self, &node.Peers},
		Writes: []board.Ref{&node.LocalRecord, &l.alarm},
		Step:   l.step,
	}
}

func (l *localUpstream) step(now time.Time) {
	self := l.Self.Get()
	if l.upstream.Host == "" {
		l.upstream.Host, l.upstream.Place = self.Host, self.Place
		l.upstream.Node, l.upstream.Incarnation = self.Address, self.Incarnation
	}
	for _, a := range l.Announcements.Events() {
		l.handleAnnouncement(a, now)
	}
	for _, e := range l.LinkEvents.Events() {
		l.refute(e)
	}
	l.upstream.Expire(now)
	l.updateWatcher()
	if l.Phase.Get() == cells.Draining && l.upstream.Phase() != member.PhaseDraining {
		l.handleAnnouncement(cells.Announcement{Kind: cells.DrainUpstream}, now)
	}
	l.publish()
}

// handleAnnouncement applies an announcement. The admin endpoint has validated it;
// one that the upstream's phase does not permit has no effect.
func (l *localUpstream) handleAnnouncement(a cells.Announcement, now time.Time) {
	switch a.Kind {
	case cells.Announce:
		_, _, _ = l.upstream.Announce(now, member.Announcement{ID: a.ID, Slots: a.Slots, Connections: a.Connections})
	case cells.DrainUpstream:
		_, _, _ = l.upstream.Drain(now)
	case cells.LeaveUpstream:
		_, _, _ = l.upstream.Leave(now)
	}
}

// updateWatcher renews the record when another node watches this host, so that the
// previous one stops watching it.
func (l *localUpstream) updateWatcher() {
	if watcher := l.watcher(); watcher != "" && watcher != l.lastWatcher {
		l.lastWatcher = watcher
		l.upstream.JoinRelay(watcher)
	}
}

// watcher returns the host that watches this one: the node to which it sends its
// heartbeats, or itself while it is a relay, since a relay is watched by its lease.
func (l *localUpstream) watcher() mesh.HostID {
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

// refute refutes received records of this host that supersede its own, such as one
// with the state Lost.
func (l *localUpstream) refute(e cells.LinkEvent) {
	m, ok := e.Message.(ctlmsg.MemberRecords)
	if !ok {
		return
	}
	for _, r := range m.Records {
		if r.Host == l.upstream.Host {
			l.upstream.Refute(r)
		}
	}
}

// publish publishes the record if it has changed.
func (l *localUpstream) publish() {
	if deadline := l.upstream.ExpiresAt(); !deadline.IsZero() {
		l.alarm.Set(deadline)
	}
	record, ok := l.upstream.Record()
	if ok && record != l.LocalRecord.Get() {
		l.LocalRecord.Set(record)
	}
}
