package ctrl

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// readerCount is the number of proxies that read versions and records from the
	// platform for the others.
	readerCount = 2
	// heartbeatTimeout is the time after the last heartbeat of an up-to-date reader
	// at which this proxy starts to read from the platform itself.
	heartbeatTimeout = 700 * time.Millisecond
	// startupGrace is how long a proxy waits for the first heartbeat of a reader after
	// its start before it reads from the platform itself.
	startupGrace = 1200 * time.Millisecond
	// unreachableTime is how long a host is not selected as reader after a dial to it
	// failed or its link was lost.
	unreachableTime = 3 * time.Second
	// directReadHold is how long heartbeats must have arrived in time before this
	// proxy stops reading from the platform itself.
	directReadHold = time.Second
	// minDialInterval is the minimum interval between two dials to one reader.
	minDialInterval = 250 * time.Millisecond
)

// sourceSelector selects the source of versions and records. These are the readers,
// to which it dials links, or the platform if this proxy is a reader itself or no
// reader is up to date.
type sourceSelector struct {
	*cells.Proxy
	alarm board.Alarm
	// startedAt is the time of the first step.
	startedAt time.Time
	// lastHeartbeat contains, for each link, the time of the last heartbeat of a
	// reader that reaches the platform and has at least this proxy's version.
	lastHeartbeat map[cells.LinkID]time.Time
	// freshSince is the time since which heartbeats have arrived in time; zero if
	// the last one is too old.
	freshSince time.Time
	// unreachableUntil contains, for each unreachable host, the time until which it
	// is not selected as reader.
	unreachableUntil map[mesh.HostID]time.Time
	// dialedAt contains the time of the last dial to each reader, and dialing the
	// addresses with a dial in progress.
	dialedAt map[mesh.HostID]time.Time
	dialing  map[netip.AddrPort]bool
	// subscribed contains the links on which Subscribe was sent.
	subscribed map[cells.LinkID]bool
	// readers are the selected readers. They are selected again if position differs
	// from the roster's or stale is set.
	readers  []fleet.Node
	position int
	stale    bool
	// watchesRecords and watchesVersions are true while these objects are watched in
	// the platform. isReader is true if they are watched as a reader.
	watchesRecords, watchesVersions, isReader bool
}

func newSourceSelector(proxy *cells.Proxy) board.Controller {
	s := &sourceSelector{
		Proxy: proxy, lastHeartbeat: make(map[cells.LinkID]time.Time), unreachableUntil: make(map[mesh.HostID]time.Time),
		dialedAt: make(map[mesh.HostID]time.Time), dialing: make(map[netip.AddrPort]bool), subscribed: make(map[cells.LinkID]bool), stale: true,
	}
	return board.Controller{
		Name:   "sourceSelector",
		Reads:  []board.Ref{&proxy.LinkEvents, &proxy.Peers, &proxy.Roster, &s.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.ActiveVersion},
		Writes: []board.Ref{&proxy.ReadsPlatform, &proxy.LinkCommands, &proxy.ObjectCommands, &proxy.LogEvents, &s.alarm},
		Step:   s.step,
	}
}

func (s *sourceSelector) step(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	for _, e := range s.LinkEvents.Events() {
		s.handleLinkEvent(e, now)
	}
	roster := s.Roster.Read()
	s.selectReaders(roster, now)
	isReader := false
	for _, r := range s.readers {
		if r.Host == s.Self.Get().Host {
			isReader = true
			continue
		}
		s.dialReader(r, now)
	}
	s.subscribe()
	s.updateSource(isReader, roster.Loaded, now)
}

// selectReaders selects the readers again if the roster or the set of unreachable
// hosts changed.
func (s *sourceSelector) selectReaders(roster *cells.Roster, now time.Time) {
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
	s.readers = fleet.SelectReaders(roster.Nodes(), readerCount, func(host mesh.HostID) bool {
		_, unreachable := s.unreachableUntil[host]
		return unreachable
	})
}

func (s *sourceSelector) handleLinkEvent(e cells.LinkEvent, now time.Time) {
	if e.Dialed && e.Kind != cells.LinkMessage {
		delete(s.dialing, e.Address)
	}
	switch e.Kind {
	case cells.LinkUp:
	case cells.LinkDown:
		delete(s.lastHeartbeat, e.Link)
		delete(s.subscribed, e.Link)
		if e.Dialed {
			s.markUnreachable(e, now)
		}
	case cells.LinkMessage:
		heartbeat, ok := e.Message.(ctlmsg.ReaderHeartbeat)
		if ok && heartbeat.PlatformReachable && heartbeat.Version >= s.ActiveVersion.Get().Plan.Version() {
			s.lastHeartbeat[e.Link] = now
		}
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

// dialReader dials a reader unless there is a dialed link to it already.
func (s *sourceSelector) dialReader(reader fleet.Node, now time.Time) {
	if s.dialing[reader.Address] {
		return
	}
	for _, p := range s.Peers.Read().Links() {
		if peer := s.Peers.Read().Get(p); peer.Dialed && peer.Address == reader.Address {
			return
		}
	}
	if earliest := s.dialedAt[reader.Host].Add(minDialInterval); now.Before(earliest) {
		s.alarm.SetIfEarlier(earliest)
		return
	}
	s.dialedAt[reader.Host], s.dialing[reader.Address] = now, true
	s.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: reader.Address})
}

// subscribe requests versions and records on the dialed links.
func (s *sourceSelector) subscribe() {
	for _, p := range s.Peers.Read().Identified() {
		if p.Dialed && !s.subscribed[p.Link] {
			s.subscribed[p.Link] = true
			proxySend(s.Proxy, p.Link, ctlmsg.Subscribe{Version: s.ActiveVersion.Get().Plan.Version()})
		}
	}
}

// updateSource decides whether to read from the platform.
func (s *sourceSelector) updateSource(isReader, rosterLoaded bool, now time.Time) {
	newest := time.Time{}
	for _, at := range s.lastHeartbeat {
		newest = latest(newest, at)
	}
	fresh := !newest.IsZero() && now.Sub(newest) < heartbeatTimeout
	switch {
	case !fresh:
		s.freshSince = time.Time{}
	case s.freshSince.IsZero():
		s.freshSince = now
	}
	if fresh {
		s.alarm.SetIfEarlier(newest.Add(heartbeatTimeout))
	}
	watchVersions := s.watchesVersions
	switch {
	case isReader:
		watchVersions = true
	case !fresh && now.Before(s.startedAt.Add(startupGrace)):
		s.alarm.SetIfEarlier(s.startedAt.Add(startupGrace))
	case !fresh:
		watchVersions = true
	case watchVersions && now.Sub(s.freshSince) < directReadHold:
		s.alarm.SetIfEarlier(s.freshSince.Add(directReadHold))
	default:
		watchVersions = false
	}
	s.setWatches(watchVersions, watchVersions || !rosterLoaded, isReader)
}

// setWatches starts or stops the watches of versions and records.
func (s *sourceSelector) setWatches(versions, records, isReader bool) {
	s.setWatch(cells.VersionObjects, versions, s.watchesVersions, isReader)
	s.setWatch(cells.RecordObjects, records, s.watchesRecords, isReader)
	s.watchesVersions, s.watchesRecords, s.isReader = versions, records, isReader
	if versions != s.ReadsPlatform.Get() {
		s.ReadsPlatform.Set(versions)
	}
}

// setWatch starts or stops the watch of one kind. It restarts the watch of a proxy that
// becomes a reader, because a reader retries failures at shorter intervals.
func (s *sourceSelector) setWatch(kind cells.ObjectKind, wanted, active, isReader bool) {
	switch {
	case wanted && (!active || isReader && !s.isReader):
		s.ObjectCommands.Send(cells.ObjectCommand{Action: cells.WatchObjects, Kind: kind, SlowRetry: !isReader})
	case !wanted && active:
		s.ObjectCommands.Send(cells.ObjectCommand{Action: cells.UnwatchObjects, Kind: kind})
	}
}
