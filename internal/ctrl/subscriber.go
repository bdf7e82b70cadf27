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
	// readers is how many nodes read versions and records for the others.
	readers = 2
	// pulseLimit is how old a reader's last fresh pulse may be before this proxy
	// turns to the platform itself.
	pulseLimit = 700 * time.Millisecond
	// startWait is how long a started proxy waits for a reader's pulse first.
	startWait = 1200 * time.Millisecond
	// readerOut is how long a reader that could not be linked is passed over.
	readerOut = 3 * time.Second
	// freshHold is for how long a reader must be fresh before this proxy stops
	// reading by itself.
	freshHold = time.Second
	// redial is the shortest time between two dials of one reader.
	redial = 250 * time.Millisecond
)

// feed decides who tells this proxy of versions and records: the readers that
// it links to or, when it is one itself or none of them is fresh, the platform.
type feed struct {
	*cells.Proxy
	alarm board.Alarm
	// began is the time of the first step.
	began time.Time
	// fresh holds when each link last brought a pulse of a reader that reaches
	// the platform.
	fresh map[cells.LinkID]time.Time
	// steady is since when some link has been fresh, zero while none is.
	steady time.Time
	// out holds until when a host is passed over as a reader.
	out map[mesh.HostID]time.Time
	// dialed holds when each reader was last dialled, and dialing the addresses whose
	// dial has not ended.
	dialed  map[mesh.HostID]time.Time
	dialing map[netip.AddrPort]bool
	// wanted holds the links on which versions were asked for.
	wanted map[cells.LinkID]bool
	// targets are the readers, which are chosen anew once mark differs from the
	// roster's or stale is set.
	targets []fleet.Node
	mark    int
	stale   bool
	// following is true while the platform is asked for records, and reading also
	// for versions; forOthers is true while that is done as a reader.
	following, reading, forOthers bool
}

func newFeed(set *cells.Proxy) board.Controller {
	f := &feed{
		Proxy: set, fresh: make(map[cells.LinkID]time.Time), out: make(map[mesh.HostID]time.Time),
		dialed: make(map[mesh.HostID]time.Time), dialing: make(map[netip.AddrPort]bool), wanted: make(map[cells.LinkID]bool), stale: true,
	}
	return board.Controller{
		Name:   "feed",
		Reads:  []board.Ref{&set.LinkEvents, &set.Peers, &set.Roster, &f.alarm},
		Uses:   []board.Ref{&set.Self, &set.ActiveVersion},
		Writes: []board.Ref{&set.ReadsPlatform, &set.LinkCommands, &set.ObjectCommands, &set.LogEvents, &f.alarm},
		Step:   f.step,
	}
}

func (f *feed) step(now time.Time) {
	if f.began.IsZero() {
		f.began = now
	}
	for _, e := range f.LinkEvents.Events() {
		f.event(e, now)
	}
	roster := f.Roster.Read()
	f.choose(roster, now)
	own := false
	for _, t := range f.targets {
		if t.Host == f.Self.Get().Host {
			own = true
			continue
		}
		f.link(t, now)
	}
	f.ask()
	f.decide(own, roster.Loaded, now)
}

// choose finds the readers anew when the roster or the hosts passed over changed.
func (f *feed) choose(roster *cells.Roster, now time.Time) {
	for host, until := range f.out {
		if now.Before(until) {
			f.alarm.SetIfEarlier(until)
			continue
		}
		delete(f.out, host)
		f.stale = true
	}
	if f.mark == roster.Position() && !f.stale {
		return
	}
	f.mark, f.stale = roster.Position(), false
	f.targets = fleet.SelectReaders(roster.Nodes(), readers, func(host mesh.HostID) bool {
		_, out := f.out[host]
		return out
	})
}

func (f *feed) event(e cells.LinkEvent, now time.Time) {
	if e.Dialed && e.Kind != cells.LinkMessage {
		delete(f.dialing, e.Address)
	}
	switch e.Kind {
	case cells.LinkUp:
	case cells.LinkDown:
		delete(f.fresh, e.Link)
		delete(f.wanted, e.Link)
		if e.Dialed {
			f.lost(e, now)
		}
	case cells.LinkMessage:
		pulse, ok := e.Message.(ctlmsg.ReaderHeartbeat)
		if ok && pulse.PlatformReachable && pulse.Version >= f.ActiveVersion.Get().Plan.Version() {
			f.fresh[e.Link] = now
		}
	}
}

// lost passes over the host behind a dialled link for a while.
func (f *feed) lost(e cells.LinkEvent, now time.Time) {
	for _, n := range f.Roster.Read().Nodes() {
		if n.Address == e.Address {
			f.out[n.Host] = now.Add(readerOut)
			f.stale = true
			f.LogEvents.Send(cells.LogEvent{Name: "readerLost", Fields: []cells.LogField{
				{Name: "reader", Value: string(n.Host)}, {Name: "reason", Value: textOf(e.Err)}, {Name: "passedOver", Value: readerOut},
			}})
		}
	}
}

// link dials a reader that this proxy has no link to.
func (f *feed) link(target fleet.Node, now time.Time) {
	if f.dialing[target.Address] {
		return
	}
	for _, p := range f.Peers.Read().Links() {
		if peer := f.Peers.Read().Get(p); peer.Dialed && peer.Address == target.Address {
			return
		}
	}
	if next := f.dialed[target.Host].Add(redial); now.Before(next) {
		f.alarm.SetIfEarlier(next)
		return
	}
	f.dialed[target.Host], f.dialing[target.Address] = now, true
	f.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: target.Address})
}

// ask asks for versions and records on the links that were dialled for them.
func (f *feed) ask() {
	for _, p := range f.Peers.Read().Identified() {
		if p.Dialed && !f.wanted[p.Link] {
			f.wanted[p.Link] = true
			proxySend(f.Proxy, p.Link, ctlmsg.Subscribe{Version: f.ActiveVersion.Get().Plan.Version()})
		}
	}
}

// decide starts or stops reading from the platform.
func (f *feed) decide(own, loaded bool, now time.Time) {
	newest := time.Time{}
	for _, at := range f.fresh {
		newest = later(newest, at)
	}
	fresh := !newest.IsZero() && now.Sub(newest) < pulseLimit
	switch {
	case !fresh:
		f.steady = time.Time{}
	case f.steady.IsZero():
		f.steady = now
	}
	if fresh {
		f.alarm.SetIfEarlier(newest.Add(pulseLimit))
	}
	reading := f.reading
	switch {
	case own:
		reading = true
	case !fresh && now.Before(f.began.Add(startWait)):
		f.alarm.SetIfEarlier(f.began.Add(startWait))
	case !fresh:
		reading = true
	case reading && now.Sub(f.steady) < freshHold:
		f.alarm.SetIfEarlier(f.steady.Add(freshHold))
	default:
		reading = false
	}
	f.read(reading, reading || !loaded, own)
}

// read follows the kinds that this proxy has to read itself, or for others.
func (f *feed) read(versions, records, forOthers bool) {
	f.follow(cells.VersionObjects, versions, f.reading, forOthers)
	f.follow(cells.RecordObjects, records, f.following, forOthers)
	f.reading, f.following, f.forOthers = versions, records, forOthers
	if versions != f.ReadsPlatform.Get() {
		f.ReadsPlatform.Set(versions)
	}
}

func (f *feed) follow(kind cells.ObjectKind, next, present, forOthers bool) {
	switch {
	case next && (!present || forOthers && !f.forOthers):
		f.ObjectCommands.Send(cells.ObjectCommand{Action: cells.WatchObjects, Kind: kind, SlowRetry: !forOthers})
	case !next && present:
		f.ObjectCommands.Send(cells.ObjectCommand{Action: cells.UnwatchObjects, Kind: kind})
	}
}
