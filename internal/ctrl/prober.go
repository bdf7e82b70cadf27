package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// minProbeInterval is the least time between two probes on a link if the number of nodes
// that they report has changed.
const minProbeInterval = 100 * time.Millisecond

// prober sends probes to the parents. They echo them in their heartbeats, so that this
// proxy knows how old a heartbeat is at most.
type prober struct {
	*cells.Proxy
	clock SuspensionClock
	alarm board.Alarm
	// sentAt holds the time of the last probe on each link to a parent.
	sentAt map[cells.LinkID]time.Time
	// reported holds the number of nodes in the last probe on each link.
	reported map[cells.LinkID]int
}

func newProber(proxy *cells.Proxy, clock SuspensionClock) board.Controller {
	p := &prober{Proxy: proxy, clock: clock}
	return board.Controller{
		Name:   "prober",
		Reads:  []board.Ref{&proxy.Peers, &proxy.Tree, &proxy.TokenSource, &p.alarm},
		Uses:   []board.Ref{&proxy.Self},
		Writes: []board.Ref{&proxy.LinkCommands, &p.alarm},
		Step:   p.step,
	}
}

func (p *prober) step(now time.Time) {
	self, source := p.Self.Get(), p.TokenSource.Get()
	if self.Revocation == 0 && source.Host == "" {
		return
	}
	var parents []fleet.Node
	if tree := p.Tree.Get(); tree != nil {
		parents = tree.Parents(self.Host, self.Place)
	}
	tracker := verify.Tracker{Started: probeOrigin(p.Proxy)}
	sentAt, reported := make(map[cells.LinkID]time.Time, len(parents)), make(map[cells.LinkID]int, len(parents))
	for _, peer := range p.Peers.Read().Identified() {
		isSource := source.Host != "" && peer.Hello.Host == source.Host
		isParent := slices.ContainsFunc(parents, func(n fleet.Node) bool { return n.Host == peer.Hello.Host })
		if !peer.Dialed || !isSource && !isParent {
			continue
		}
		sentAt[peer.Link], reported[peer.Link] = p.sentAt[peer.Link], p.reported[peer.Link]
		probe := ctlmsg.Probe{}
		if isSource {
			probe.Nodes = source.Nodes
		}
		interval := verify.ProbeInterval
		if probe.Nodes > reported[peer.Link] {
			interval = minProbeInterval
		}
		if due := sentAt[peer.Link].Add(interval); now.Before(due) {
			p.alarm.SetIfEarlier(due)
			continue
		}
		probe.SentAt = tracker.ProbeTime(verify.Moment{Time: now, Suspended: p.clock.Suspended()})
		proxySend(p.Proxy, peer.Link, probe)
		sentAt[peer.Link], reported[peer.Link] = now, probe.Nodes
		p.alarm.SetIfEarlier(now.Add(verify.ProbeInterval))
	}
	p.sentAt, p.reported = sentAt, reported
}
