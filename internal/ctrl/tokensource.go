package ctrl

import (
	"cmp"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// ownerDialTime is how long the second root tries to reach the first one before it becomes
// the owner itself.
const ownerDialTime = time.Second

// tokenSource determines where this proxy gets quota tokens, and counts the nodes that get
// theirs through it. The owner is the first root that can be reached.
type tokenSource struct {
	*cells.Proxy
	alarm    board.Alarm
	contacts tokens.Contacts
	selector tokens.Selector
	// rootsLostAt is since when this proxy, a root, has had no link to a root before it;
	// zero while it has one, or if it is not a root.
	rootsLostAt time.Time
	// dialedAt contains the time of the last dial to each root.
	dialedAt map[mesh.HostID]time.Time
	// owners contains the owner that the far end of each link gets its tokens from.
	owners map[cells.LinkID]mesh.HostID
}

func newTokenSource(proxy *cells.Proxy) board.Controller {
	s := &tokenSource{Proxy: proxy, dialedAt: make(map[mesh.HostID]time.Time), owners: make(map[cells.LinkID]mesh.HostID)}
	return board.Controller{
		Name:   "tokenSource",
		Reads:  []board.Ref{&proxy.LinkEvents, &proxy.Peers, &proxy.Roster, &proxy.Tree, &s.alarm},
		Uses:   []board.Ref{&proxy.Self},
		Writes: []board.Ref{&proxy.TokenSource, &proxy.LinkCommands, &proxy.LogEvents, &s.alarm},
		Step:   s.step,
	}
}

func (s *tokenSource) step(now time.Time) {
	if !s.Self.Get().EnforceQuotas {
		return
	}
	s.countContacts(now)
	candidates, isRoot := s.candidates()
	preferred := s.firstLinked(candidates)
	nodes, expires := s.contacts.Nodes(now)
	if !expires.IsZero() {
		s.alarm.SetIfEarlier(expires)
	}
	choice := s.selector.Select(now, tokens.Situation{
		Contacts:  nodes,
		Owner:     s.shouldOwn(candidates, isRoot, preferred, now),
		Preferred: preferred, Reachable: s.isLinked(s.selector.Host()),
		SameOwner: preferred != "" && s.ownerOf(preferred) != "" && s.ownerOf(preferred) == s.TokenSource.Get().OwnerHost,
		Hold:      tokens.ReportAge * time.Duration(max(1, s.Tree.Get().Depth(s.Self.Get().Host, s.Self.Get().Place))),
	})
	if !choice.Next.IsZero() {
		s.alarm.SetIfEarlier(choice.Next)
	}
	s.publish(choice, nodes)
}

// ownerOf returns the owner that a parent gets its tokens from; empty if it is not known.
func (s *tokenSource) ownerOf(parent mesh.HostID) (owner mesh.HostID) {
	for _, p := range s.Peers.Read().DialedTo(parent) {
		owner = cmp.Or(s.owners[p.Link], owner)
	}
	return owner
}

// countContacts records the reports of other proxies, and the owners of parents.
func (s *tokenSource) countContacts(now time.Time) {
	for _, e := range s.LinkEvents.Events() {
		if heartbeat, ok := e.Message.(ctlmsg.ReaderHeartbeat); ok {
			s.owners[e.Link] = heartbeat.TokenOwner
		}
		if e.Kind == cells.LinkDown {
			delete(s.owners, e.Link)
		}
		probe, ok := e.Message.(ctlmsg.Probe)
		if !ok || e.Kind != cells.LinkMessage {
			continue
		}
		if peer := s.Peers.Read().Get(e.Link); peer != nil && peer.Identified() {
			s.contacts.Report(now, peer.Hello.Host, uint64(e.Link), probe.SentAt, probe.Nodes)
		}
	}
}

// candidates returns the nodes that this one may get its tokens from, the preferred one
// first: its parents, or the roots before it if it is a root.
func (s *tokenSource) candidates() (candidates []fleet.Node, isRoot bool) {
	self, tree := s.Self.Get(), s.Tree.Get()
	if !tree.IsRoot(self.Host) {
		return tree.Parents(self.Host, self.Place), false
	}
	candidates = tree.Roots()
	return candidates[:slices.IndexFunc(candidates, func(n fleet.Node) bool { return n.Host == self.Host })], true
}

// firstLinked returns the first candidate with a link; empty if there is none.
func (s *tokenSource) firstLinked(candidates []fleet.Node) mesh.HostID {
	for _, n := range candidates {
		if s.isLinked(n.Host) {
			return n.Host
		}
	}
	return ""
}

// isLinked reports whether there is a link to a host that this proxy dialed, on which its
// reports are sent.
func (s *tokenSource) isLinked(host mesh.HostID) bool {
	return host != "" && len(s.Peers.Read().DialedTo(host)) > 0
}

// shouldOwn reports whether this proxy should own the buckets: as the first root, as a
// root that has not reached those before it for a while, or if the proxy that it prefers
// prefers it in turn, because their records differ.
func (s *tokenSource) shouldOwn(candidates []fleet.Node, isRoot bool, preferred mesh.HostID, now time.Time) bool {
	self := s.Self.Get()
	if preferred != "" {
		s.rootsLostAt = time.Time{}
		return isRoot && self.Host < preferred && s.contacts.Has(now, preferred)
	}
	if !isRoot {
		s.rootsLostAt = time.Time{}
		return false
	}
	if len(candidates) == 0 {
		return s.Roster.Read().Loaded
	}
	if s.rootsLostAt.IsZero() {
		s.rootsLostAt = now
	}
	for _, n := range candidates {
		s.dial(n, now)
	}
	if deadline := s.rootsLostAt.Add(ownerDialTime); now.Before(deadline) && !s.TokenSource.Get().Owner {
		s.alarm.SetIfEarlier(deadline)
		return false
	}
	return true
}

// dial dials a root before this one. Roots have no parents, so there is no other link.
func (s *tokenSource) dial(root fleet.Node, now time.Time) {
	for _, link := range s.Peers.Read().Links() {
		if p := s.Peers.Read().Get(link); p.Dialed && p.Address == root.Address {
			return
		}
	}
	if earliest := s.dialedAt[root.Host].Add(ownerDialTime); now.Before(earliest) {
		s.alarm.SetIfEarlier(earliest)
		return
	}
	s.dialedAt[root.Host] = now
	s.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: root.Address})
	s.alarm.SetIfEarlier(now.Add(ownerDialTime))
}

// publish writes the choice to the board.
func (s *tokenSource) publish(choice tokens.Choice, nodes int) {
	next := cells.TokenSource{Host: choice.Host, Owner: choice.Owner}
	if entry, ok := s.Roster.Read().Get(choice.Host); ok {
		next.Address = entry.Node.Address
	}
	if choice.Counted {
		next.Nodes = 1 + nodes
	}
	if next.OwnerHost = s.ownerOf(choice.Host); choice.Owner {
		next.OwnerHost = s.Self.Get().Host
	}
	if choice.Owner {
		next.Share = min(1, float64(next.Nodes)/float64(max(1, s.Roster.Read().Len())))
	}
	last := s.TokenSource.Get()
	if next != last {
		s.TokenSource.Set(next)
	}
	if next.Owner != last.Owner {
		s.LogEvents.Send(cells.LogEvent{Name: "quotaOwner", Fields: []cells.LogField{
			{Name: "owner", Value: next.Owner}, {Name: "parent", Value: string(next.Host)}, {Name: "nodes", Value: nodes},
		}})
	}
}
