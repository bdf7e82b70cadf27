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

// prober sends probes to the parents. They echo them in their heartbeats, so that this
// proxy knows how old a heartbeat is at most.
type prober struct {
	*cells.Proxy
	clock SuspensionClock
	alarm board.Alarm
	// sentAt holds the time of the last probe on each link to a parent.
	sentAt map[cells.LinkID]time.Time
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
	sentAt := make(map[cells.LinkID]time.Time, len(parents))
	for _, peer := range p.Peers.Read().Identified() {
		isSource := source.Host != "" && peer.Hello.Host == source.Host
		isParent := slices.ContainsFunc(parents, func(n fleet.Node) bool { return n.Host == peer.Hello.Host })
		if !peer.Dialed || !isSource && !isParent {
			continue
		}
		sentAt[peer.Link] = p.sentAt[peer.Link]
		if due := sentAt[peer.Link].Add(verify.ProbeInterval); now.Before(due) {
			p.alarm.SetIfEarlier(due)
			continue
		}
		probe := ctlmsg.Probe{SentAt: tracker.ProbeTime(verify.Moment{Time: now, Suspended: p.clock.Suspended()})}
		if isSource {
			probe.Nodes = source.Nodes
		}
		proxySend(p.Proxy, peer.Link, probe)
		sentAt[peer.Link] = now
		p.alarm.SetIfEarlier(now.Add(verify.ProbeInterval))
	}
	p.sentAt = sentAt
}
