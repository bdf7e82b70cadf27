package ctrl

import (
	"net/netip"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// startupGrace is how much longer a proxy waits for the first confirmation after its
	// start, before it reads from the platform itself.
	startupGrace = 500 * time.Millisecond
	// unreachableTime is how long a host is not selected as parent after a dial to it
	// failed or its link was lost.
	unreachableTime = 3 * time.Second
	// directReadHold is how long confirmations must have arrived in time before this
	// proxy stops reading from the platform itself.
	directReadHold = time.Second
	// minDialInterval is the minimum interval between two dials to one parent.
	minDialInterval = 250 * time.Millisecond
	// formerParentTime is how long the link to a former parent is kept, so that nothing
	// is missed until the new ones have sent their data.
	formerParentTime = 5 * time.Second
)

// sourceSelector selects the source of versions and records. These are the parents in
// the tree of readers, to which it dials links, or the platform if this proxy is a root
// or no parent has current data.
type sourceSelector struct {
	*cells.Proxy
	alarm board.Alarm
	// startedAt is the time of the first step.
	startedAt time.Time
	// confirmedAt contains, for each link, when the data of the far end was last known
	// to be current, if it has at least this proxy's version.
	confirmedAt map[cells.LinkID]time.Time
	// heardAt contains the time of the last heartbeat on each link, of any content.
	heardAt map[cells.LinkID]time.Time
	// revision is the platform revision, of the era, up to which all versions are known.
	revision, era uint64
	// freshSince is the time since which confirmations have arrived in time; zero if
	// the last one is too old.
	freshSince time.Time
	// answered is true if the platform answered the watch of versions since it started
	// and did not fail since.
	answered bool
	// unreachableUntil contains, for each unreachable host, the time until which it
	// is not selected as parent.
	unreachableUntil map[mesh.HostID]time.Time
	// dialedAt contains the time of the last dial to each parent, and dialing the
	// addresses with a dial in progress.
	dialedAt map[mesh.HostID]time.Time
	dialing  map[netip.AddrPort]bool
	// subscribed contains the links on which Subscribe was sent, with the time since
	// which the far end is not a parent any more; zero while it is.
	subscribed map[cells.LinkID]time.Time
	// parents are the selected parents. They are selected again if position differs from
	// the roster's or stale is set.
	parents  []fleet.Node
	position int
	stale    bool
	// watchesRecords and watchesVersions are true while these objects are watched in
	// the platform. isRoot is true if they are watched as a root.
	watchesRecords, watchesVersions, isRoot bool
}

func newSourceSelector(proxy *cells.Proxy) board.Controller {
	s := &sourceSelector{
		Proxy: proxy, confirmedAt: make(map[cells.LinkID]time.Time), heardAt: make(map[cells.LinkID]time.Time), unreachableUntil: make(map[mesh.HostID]time.Time),
		dialedAt: make(map[mesh.HostID]time.Time), dialing: make(map[netip.AddrPort]bool), subscribed: make(map[cells.LinkID]time.Time), stale: true,
	}
	return board.Controller{
		Name:   "sourceSelector",
		Reads:  []board.Ref{&proxy.LinkEvents, &proxy.ObjectEvents, &proxy.Peers, &proxy.Roster, &proxy.ActiveVersion, &s.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.StoreEra},
		Writes: []board.Ref{&proxy.ReadsPlatform, &proxy.Tree, &proxy.Freshness, &proxy.LinkCommands, &proxy.ObjectCommands, &proxy.LogEvents, &s.alarm},
		Step:   s.step,
	}
}

func (s *sourceSelector) step(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.enterEra()
	for _, e := range s.LinkEvents.Events() {
		s.handleLinkEvent(e, now)
	}
	for _, e := range s.ObjectEvents.Events() {
		if e.Era == s.era && e.Action == cells.WatchObjects && e.Kind == cells.VersionObjects {
			s.answered = e.Result == cells.StoreDone && s.watchesVersions
			s.revision = max(s.revision, e.Revision)
		}
	}
	roster := s.Roster.Read()
	s.selectParents(roster, now)
	for _, p := range s.parents {
		s.dialParent(p, now)
	}
	s.subscribe(now)
	s.updateSource(roster.Loaded, now)
	s.updateFreshness()
}

// enterEra begins a new era of the store. What is known of the versions in the store is of
// the earlier era. Parents are told this proxy's version again, which they may lack if they
// started after the store was restored.
func (s *sourceSelector) enterEra() {
	if s.era == s.StoreEra.Get() {
		return
	}
	s.era, s.revision, s.answered = s.StoreEra.Get(), 0, false
	clear(s.confirmedAt)
	for link, formerSince := range s.subscribed {
		if formerSince.IsZero() {
			proxySend(s.Proxy, link, ctlmsg.Subscribe{Version: s.ActiveVersion.Get().Plan.Version()})
		}
	}
}

// selectParents selects the parents again if the roster or the set of unreachable hosts
// changed.
func (s *sourceSelector) selectParents(roster *cells.Roster, now time.Time) {
	for host, until := range s.unreachableUntil {
		if now.Before(until) {
			s.alarm.SetIfEarlier(until)
			continue
		}
		delete(s.unreachableUntil, host)
		s.stale = true
	}
	if s.position == roster.Position() && !s.stale {
		return
	}
	s.position, s.stale = roster.Position(), false
	tree := fleet.NewTree(roster.Nodes(), func(host mesh.HostID) bool {
		_, unreachable := s.unreachableUntil[host]
		return unreachable
	})
	s.Tree.Set(tree)
	s.parents = tree.Parents(s.Self.Get().Host, s.Self.Get().Place)
}

func (s *sourceSelector) handleLinkEvent(e cells.LinkEvent, now time.Time) {
	if e.Dialed && e.Kind != cells.LinkMessage {
		delete(s.dialing, e.Address)
	}
	switch e.Kind {
	case cells.LinkUp:
	case cells.LinkDown:
		formerSince := s.subscribed[e.Link]
		closedHere := !formerSince.IsZero() && now.Sub(formerSince) >= formerParentTime
		delete(s.confirmedAt, e.Link)
		delete(s.heardAt, e.Link)
		delete(s.subscribed, e.Link)
		if e.Dialed && !closedHere {
			s.markUnreachable(e, now)
		}
	case cells.LinkMessage:
		if heartbeat, ok := e.Message.(ctlmsg.ReaderHeartbeat); ok {
			s.handleHeartbeat(e.Link, heartbeat, now)
		}
	}
}

func (s *sourceSelector) handleHeartbeat(link cells.LinkID, heartbeat ctlmsg.ReaderHeartbeat, now time.Time) {
	s.heardAt[link] = now
	if heartbeat.Era < s.era {
		return
	}
	version := s.ActiveVersion.Get().Plan.Version()
	if heartbeat.Current && heartbeat.Version >= version {
		s.confirmedAt[link] = latest(s.confirmedAt[link], now.Add(-heartbeat.Age))
	}
	if heartbeat.Current && heartbeat.Version == version {
		s.revision = max(s.revision, heartbeat.Revision)
	}
}

// markUnreachable excludes the host at the far end of a dialed link from the
// selection for unreachableTime.
func (s *sourceSelector) markUnreachable(e cells.LinkEvent, now time.Time) {
	for _, n := range s.Roster.Read().Nodes() {
		if n.Address == e.Address {
			s.unreachableUntil[n.Host] = now.Add(unreachableTime)
			s.stale = true
			s.LogEvents.Send(cells.LogEvent{Name: "readerLost", Fields: []cells.LogField{
				{Name: "reader", Value: string(n.Host)}, {Name: "reason", Value: errorText(e.Err)}, {Name: "passedOver", Value: unreachableTime},
			}})
		}
	}
}

// dialParent dials a parent unless there is a dialed link to it already.
func (s *sourceSelector) dialParent(parent fleet.Node, now time.Time) {
	if s.dialing[parent.Address] {
		return
	}
	for _, p := range s.Peers.Read().Links() {
		if peer := s.Peers.Read().Get(p); peer.Dialed && peer.Address == parent.Address {
			return
		}
	}
	if earliest := s.dialedAt[parent.Host].Add(minDialInterval); now.Before(earliest) {
		s.alarm.SetIfEarlier(earliest)
		return
	}
	s.dialedAt[parent.Host], s.dialing[parent.Address] = now, true
	s.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: parent.Address})
}

// subscribe requests versions and records on the links to parents, and closes those to
// former parents after a while.
func (s *sourceSelector) subscribe(now time.Time) {
	for _, p := range s.Peers.Read().Identified() {
		if !p.Dialed {
			continue
		}
		formerSince, subscribed := s.subscribed[p.Link]
		isParent := slices.ContainsFunc(s.parents, func(n fleet.Node) bool { return n.Host == p.Hello.Host })
		switch {
		case isParent && !subscribed:
			proxySend(s.Proxy, p.Link, ctlmsg.Subscribe{Version: s.ActiveVersion.Get().Plan.Version()})
			s.subscribed[p.Link] = time.Time{}
		case isParent:
			s.subscribed[p.Link] = time.Time{}
		case subscribed && formerSince.IsZero():
			s.subscribed[p.Link] = now
			s.alarm.SetIfEarlier(now.Add(formerParentTime))
		case subscribed && now.Sub(formerSince) >= formerParentTime:
			s.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: p.Link})
		case subscribed:
			s.alarm.SetIfEarlier(formerSince.Add(formerParentTime))
		}
	}
}

// updateSource decides whether to read from the platform.
func (s *sourceSelector) updateSource(rosterLoaded bool, now time.Time) {
	isRoot := s.Tree.Get().IsRoot(s.Self.Get().Host)
	timeout := s.Tree.Get().Timeout(s.Self.Get().Host, s.Self.Get().Place, s.hearsParent(now))
	newest := s.lastConfirmed()
	fresh := !newest.IsZero() && now.Sub(newest) < timeout
	switch {
	case !fresh:
		s.freshSince = time.Time{}
	case s.freshSince.IsZero():
		s.freshSince = now
	}
	if fresh {
		s.alarm.SetIfEarlier(newest.Add(timeout))
	}
	watchVersions := s.watchesVersions
	switch firstRead := s.startedAt.Add(timeout + startupGrace); {
	case isRoot:
		watchVersions = true
	case !fresh && now.Before(firstRead):
		s.alarm.SetIfEarlier(firstRead)
	case !fresh:
		watchVersions = true
	case watchVersions && now.Sub(s.freshSince) < directReadHold:
		s.alarm.SetIfEarlier(s.freshSince.Add(directReadHold))
	default:
		watchVersions = false
	}
	// The watch of versions also shows whether the platform answers. While it does not,
	// only the roots ask for records as well.
	watchRecords := watchVersions && (isRoot || s.answered)
	s.setWatches(watchVersions, watchRecords || !rosterLoaded, isRoot)
}

// hearsParent reports whether a parent has sent a heartbeat recently, current or not.
func (s *sourceSelector) hearsParent(now time.Time) bool {
	for _, at := range s.heardAt {
		if now.Sub(at) < fleet.DetectionTime {
			s.alarm.SetIfEarlier(at.Add(fleet.DetectionTime))
			return true
		}
	}
	return false
}

// lastConfirmed returns when the data of any parent was last known to be current.
func (s *sourceSelector) lastConfirmed() (newest time.Time) {
	for _, at := range s.confirmedAt {
		newest = latest(newest, at)
	}
	return newest
}

// updateFreshness publishes when this proxy's data was last known to be current.
func (s *sourceSelector) updateFreshness() {
	next := s.Freshness.Get()
	next.Direct, next.ConfirmedAt, next.Revision = s.watchesVersions && s.answered, latest(next.ConfirmedAt, s.lastConfirmed()), s.revision
	next.Behind = isBehind(s.Proxy)
	if next.Behind != s.Freshness.Get().Behind {
		s.LogEvents.Send(cells.LogEvent{Name: "storeBehind", Fields: []cells.LogField{
			{Name: "behind", Value: next.Behind},
			{Name: "era", Value: s.era},
			{Name: "inForce", Value: uint64(s.ActiveVersion.Get().Plan.Version())},
			{Name: "elsewhere", Value: uint64(s.Roster.Read().NewestVersion())},
		}})
	}
	if next != s.Freshness.Get() {
		s.Freshness.Set(next)
	}
}

// setWatches starts or stops the watches of versions and records.
func (s *sourceSelector) setWatches(versions, records, isRoot bool) {
	known := uint64(0)
	if s.ActiveVersion.Get().Plan != nil {
		known = s.revision
	}
	s.setWatch(cells.VersionObjects, versions, s.watchesVersions, isRoot, known)
	known = 0
	if s.Roster.Read().Loaded && s.Roster.Read().Era == s.era {
		known = s.Roster.Read().Revision
	}
	s.setWatch(cells.RecordObjects, records, s.watchesRecords, isRoot, known)
	s.answered = s.answered && versions
	s.watchesVersions, s.watchesRecords, s.isRoot = versions, records, isRoot
	if versions != s.ReadsPlatform.Get() {
		s.ReadsPlatform.Set(versions)
	}
}

// setWatch starts or stops the watch of one kind, of which all objects are known up to a
// revision. It restarts the watch of a proxy that
// becomes a root, because a root retries failures at shorter intervals.
func (s *sourceSelector) setWatch(kind cells.ObjectKind, wanted, active, isRoot bool, known uint64) {
	switch {
	case wanted && (!active || isRoot && !s.isRoot):
		s.ObjectCommands.Send(cells.ObjectCommand{Action: cells.WatchObjects, Kind: kind, Revision: known, Era: s.era, SlowRetry: !isRoot})
	case !wanted && active:
		s.ObjectCommands.Send(cells.ObjectCommand{Action: cells.UnwatchObjects, Kind: kind})
	}
}
