package ctrl

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// simStep is the time between two settles of the simulated proxies.
const simStep = 10 * time.Millisecond

// nearTrip and farTrip are the connection times of proxies in the platform's
// region and in the other one.
const (
	nearTrip = 2 * time.Millisecond
	farTrip  = 60 * time.Millisecond
)

// testForms reads documents that are version numbers, and packs nothing.
type testCodec struct{}

func (testCodec) DecodePlan(data []byte) (*plan.Plan, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return plan.New(mesh.Version(version), plan.Limits{}, []plan.Service{{Name: "orders", HealthPath: "/serves"}}, nil)
}

func (testCodec) DecodeNode(data []byte) (fleet.Node, error) {
	node, ok := testNodes[string(data)]
	if !ok {
		return node, errors.New("unreadable")
	}
	return node, nil
}

func (testCodec) Compress(data, _ []byte) ([]byte, error)     { return data, nil }
func (testCodec) Decompress(packed, _ []byte) ([]byte, error) { return packed, nil }

// testNodes holds the records that were written, by their encoding.
var testNodes = map[string]fleet.Node{}

func encodeTestNode(n fleet.Node) []byte {
	key := fmt.Sprintf("%+v", n)
	testNodes[key] = n
	return []byte(key)
}

// simProxy is one process of a simulated proxy.
type simProxy struct {
	host  mesh.HostID
	cells *cells.Proxy
	board board.Board
	// follows holds the kinds that it follows, and what it was told of each.
	follows map[cells.ObjectKind]uint64
	// acks holds the acknowledged words.
	acks []cells.ReportAck
	// cut keeps it from the platform.
	cut bool
	// versions holds every version that was in force, in order.
	versions []mesh.Version
	// checks counts how often the upstream was asked whether it serves.
	checks int
}

// simLink joins two processes; its messages arrive at the next step.
type simLink struct {
	id       cells.LinkID
	from, to *simProxy
	silent   bool
}

// sim is a platform, a network and proxies in virtual time.
type sim struct {
	t       *testing.T
	now     time.Time
	proxies []*simProxy
	links   []*simLink
	nextID  cells.LinkID
	// revision, versions and records are the platform's.
	revision uint64
	objects  map[cells.ObjectKind]map[string]cells.Object
	// down keeps everyone from the platform.
	down bool
	// pending runs at the next step.
	pending []func()
	// serving names the lifetime that answers checks at a host; the one beside it
	// does where none is named.
	serving map[mesh.HostID]string
}

func newSim(t *testing.T, hosts int) *sim {
	s := &sim{t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), objects: map[cells.ObjectKind]map[string]cells.Object{
		cells.VersionObjects: {}, cells.RecordObjects: {},
	}}
	s.write(cells.VersionObjects, "main", []byte("1"))
	for i := range hosts {
		s.start(mesh.HostID(fmt.Sprintf("n%02d", i)), i < hosts/2)
	}
	return s
}

func addressOfHost(host mesh.HostID) netip.AddrPort {
	number, _ := strconv.Atoi(strings.TrimPrefix(string(host), "n"))
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 7000)
}

// start starts a process of the host.
func (s *sim) start(host mesh.HostID, near bool) *simProxy {
	p := &simProxy{host: host, cells: &cells.Proxy{}, follows: make(map[cells.ObjectKind]uint64)}
	trip := farTrip
	if near {
		trip = nearTrip
	}
	p.cells.Self.Set(cells.ProxySelf{Host: host, Address: addressOfHost(host), StartedAt: s.now, Heartbeat: time.Second})
	p.cells.LinkCommands.Handle = func(c cells.LinkCommand) { s.pending = append(s.pending, func() { s.link(p, c) }) }
	p.cells.ObjectCommands.Handle = func(c cells.ObjectCommand) { s.pending = append(s.pending, func() { s.object(p, c, trip) }) }
	p.cells.HealthChecks.Handle = func(c cells.HealthCheck) {
		p.checks++
		instance, named := s.serving[host]
		if !named {
			instance = "i-" + string(host)
		}
		s.pending = append(s.pending, func() { p.cells.HealthResults.Post(cells.HealthResult{Instance: instance}) })
	}
	p.cells.ReportAcks.Handle = func(a cells.ReportAck) { p.acks = append(p.acks, a) }
	p.cells.SnapshotUpdates.Handle = func(v mesh.Version) {
		if v != 0 && (len(p.versions) == 0 || p.versions[len(p.versions)-1] != v) {
			assert.Assert(s.t, len(p.versions) == 0 || v > p.versions[len(p.versions)-1], "%s went back to %d", p.host, v)
			p.versions = append(p.versions, v)
		}
	}
	p.cells.LogEvents.Handle = func(cells.LogEvent) {}
	p.cells.MetricsTicks.Handle = func(time.Time) {}
	AddProxy(&p.board, p.cells, testCodec{}, rand.NewPCG(1, uint64(len(host))))
	s.proxies = append(s.proxies, p)
	return p
}

// kill ends a process; its links end at their far ends.
func (s *sim) kill(p *simProxy) {
	s.proxies = slices.DeleteFunc(s.proxies, func(o *simProxy) bool { return o == p })
	for _, l := range slices.Clone(s.links) {
		if l.from == p || l.to == p {
			s.end(l)
		}
	}
}

// darken ends a process without a word on its links.
func (s *sim) darken(p *simProxy) {
	s.proxies = slices.DeleteFunc(s.proxies, func(o *simProxy) bool { return o == p })
	for _, l := range s.links {
		l.silent = l.silent || l.from == p || l.to == p
	}
}

func (s *sim) end(l *simLink) {
	s.links = slices.DeleteFunc(s.links, func(o *simLink) bool { return o == l })
	l.from.cells.LinkEvents.Post(cells.LinkEvent{Link: l.id, Kind: cells.LinkDown, Dialed: true, Address: addressOfHost(l.to.host)})
	l.to.cells.LinkEvents.Post(cells.LinkEvent{Link: l.id, Kind: cells.LinkDown})
}

func (s *sim) link(p *simProxy, c cells.LinkCommand) {
	switch c.Action {
	case cells.LinkDial:
		for _, o := range s.proxies {
			if addressOfHost(o.host) == c.Address {
				s.nextID++
				s.links = append(s.links, &simLink{id: s.nextID, from: p, to: o})
				p.cells.LinkEvents.Post(cells.LinkEvent{Link: s.nextID, Kind: cells.LinkUp, Dialed: true, Address: c.Address})
				o.cells.LinkEvents.Post(cells.LinkEvent{Link: s.nextID, Kind: cells.LinkUp})
				return
			}
		}
		p.cells.LinkEvents.Post(cells.LinkEvent{Kind: cells.LinkDown, Dialed: true, Address: c.Address, Err: errors.New("refused")})
	case cells.LinkSend:
		for _, l := range s.links {
			if l.id == c.Link && !l.silent {
				far := l.to
				if far == p {
					far = l.from
				}
				far.cells.LinkEvents.Post(cells.LinkEvent{Link: l.id, Kind: cells.LinkMessage, Message: c.Message})
			}
		}
	case cells.LinkClose:
		for _, l := range slices.Clone(s.links) {
			if l.id == c.Link {
				s.end(l)
			}
		}
	}
}

// write changes an object of the platform and tells those that follow it.
func (s *sim) write(kind cells.ObjectKind, name string, value []byte) cells.Object {
	s.revision++
	o := cells.Object{Name: name, Value: value, Version: s.revision}
	s.objects[kind][name] = o
	return o
}

func (s *sim) remove(kind cells.ObjectKind, name string) {
	s.revision++
	delete(s.objects[kind], name)
	for _, p := range s.proxies {
		if _, follows := p.follows[kind]; follows && !s.unreached(p) {
			p.cells.ObjectEvents.Post(cells.ObjectEvent{
				Action: cells.WatchObjects, Kind: kind, Revision: s.revision, RTT: nearTrip,
				Objects: []cells.Object{{Name: name, Version: s.revision, Deleted: true}},
			})
		}
	}
}

func (s *sim) unreached(p *simProxy) bool {
	return s.down || p.cut
}

func (s *sim) object(p *simProxy, c cells.ObjectCommand, trip time.Duration) {
	event := cells.ObjectEvent{Action: c.Action, Kind: c.Kind, Command: c, RTT: trip}
	switch {
	case c.Action == cells.UnwatchObjects:
		delete(p.follows, c.Kind)
		return
	case c.Action == cells.WatchObjects:
		p.follows[c.Kind] = 0
		return
	case s.unreached(p):
		event.Result, event.Err = cells.StoreFailed, errors.New("unreached")
	default:
		old := s.objects[c.Kind][string(c.Host)]
		switch {
		case old.Version != c.Version:
			event.Result, event.Current = cells.StoreConflict, old
			if old.Version == 0 {
				event.Current = cells.Object{Name: string(c.Host), Version: c.Version, Deleted: true}
			}
		case c.Action == cells.DeleteRecord:
			s.remove(c.Kind, string(c.Host))
			event.Current = cells.Object{Name: string(c.Host), Version: s.revision, Deleted: true}
		default:
			event.Current = s.write(c.Kind, string(c.Host), encodeTestNode(c.Node))
		}
	}
	p.cells.ObjectEvents.Post(event)
}

// tell brings each proxy up to date with what it follows.
func (s *sim) tell() {
	for _, p := range s.proxies {
		for kind, seen := range p.follows {
			if s.unreached(p) || seen == s.revision {
				continue
			}
			event := cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Complete: seen == 0, Revision: s.revision, RTT: nearTrip}
			for _, o := range s.objects[kind] {
				if o.Version > seen {
					event.Objects = append(event.Objects, o)
				}
			}
			slices.SortFunc(event.Objects, func(a, b cells.Object) int { return cmp.Compare(a.Version, b.Version) })
			p.follows[kind] = s.revision
			p.cells.ObjectEvents.Post(event)
		}
	}
}

// run lets the time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.tell()
		work := s.pending
		s.pending = nil
		for _, f := range work {
			f()
		}
		for _, p := range s.proxies {
			p.board.Settle(s.now)
		}
	}
}

// reading lists the proxies that read the platform themselves.
func (s *sim) reading() (list []*simProxy) {
	for _, p := range s.proxies {
		if p.cells.ReadsPlatform.Load() {
			list = append(list, p)
		}
	}
	return list
}

func (s *sim) inForce(version mesh.Version) (behind []mesh.HostID) {
	for _, p := range s.proxies {
		if p.cells.Snapshot.Load().Plan.Version() != version && !p.cut {
			behind = append(behind, p.host)
		}
	}
	return behind
}

// applyBound is the time within which a version must be in force.
const applyBound = 2500 * time.Millisecond

func TestVersionsAreInForceInTimeWhateverHappensToTheReaders(t *testing.T) {
	tests := []struct {
		name   string
		before func(s *sim)
	}{
		{name: "nothing", before: func(*sim) {}},
		{name: "both readers killed", before: func(s *sim) {
			for _, p := range s.reading() {
				s.kill(p)
			}
		}},
		{name: "both readers without power", before: func(s *sim) {
			for _, p := range s.reading() {
				s.darken(p)
			}
		}},
		{name: "both readers cut off from the platform", before: func(s *sim) {
			for _, p := range s.reading() {
				p.cut = true
				p.cells.ObjectEvents.Post(cells.ObjectEvent{Action: cells.WatchObjects, Result: cells.StoreFailed, Err: errors.New("cut")})
			}
		}},
		{name: "every link silent", before: func(s *sim) {
			for _, l := range s.links {
				l.silent = true
			}
		}},
		{name: "unreadable version first", before: func(s *sim) { s.write(cells.VersionObjects, "main", []byte("odd")) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 8)
			s.run(4 * time.Second)
			assert.Equal(t, len(s.inForce(1)), 0)
			assert.Equal(t, len(s.reading()), readers)
			tt.before(s)
			s.write(cells.VersionObjects, "main", []byte("2"))
			s.run(applyBound)
			assert.DeepEqual(t, s.inForce(2), []mesh.HostID(nil))
		})
	}
}

func TestRestartedProxyServesByTheNewestVersion(t *testing.T) {
	s := newSim(t, 8)
	s.run(4 * time.Second)
	old := s.proxies[7]
	s.kill(old)
	s.write(cells.VersionObjects, "main", []byte("2"))
	s.run(time.Second)
	p := s.start(old.host, false)
	s.run(time.Second)
	assert.DeepEqual(t, p.versions, []mesh.Version{2})
	assert.Equal(t, p.cells.Phase.Load(), cells.Serving)
}

func TestMissingRecordsAreWrittenAgain(t *testing.T) {
	s := newSim(t, 6)
	s.run(4 * time.Second)
	assert.Equal(t, len(s.objects[cells.RecordObjects]), 6)
	s.down = true
	s.run(3 * time.Second)
	clear(s.objects[cells.RecordObjects])
	s.revision++
	for _, p := range s.proxies {
		for kind := range p.follows {
			// What was followed is listed anew after the outage.
			p.follows[kind] = 0
		}
	}
	s.down = false
	s.run(2 * time.Second)
	assert.Equal(t, len(s.objects[cells.RecordObjects]), 6)
}

func TestDeadNodesAreSweptAndLiveOnesComeBack(t *testing.T) {
	s := newSim(t, 6)
	s.run(4 * time.Second)
	dead := s.proxies[5]
	s.darken(dead)
	s.run(2 * time.Second)
	// The kernel gives up the connections to a host without power.
	s.kill(dead)
	s.run(deadTime + 8*time.Second)
	_, there := s.objects[cells.RecordObjects][string(dead.host)]
	assert.Assert(t, !there)
	assert.Equal(t, len(s.objects[cells.RecordObjects]), 5)
	live := s.proxies[4]
	s.remove(cells.RecordObjects, string(live.host))
	s.run(2 * time.Second)
	_, there = s.objects[cells.RecordObjects][string(live.host)]
	assert.Assert(t, there)
}

// say lets the upstream beside a proxy speak.
func (s *sim) speak(p *simProxy, ack uint64, state member.State, sequence uint64) {
	p.cells.UpstreamReports.Post(cells.PendingReport{ID: ack, Report: fleet.Report{Upstream: fleet.Upstream{
		Instance: "i-" + string(p.host), StartedAt: s.now.Truncate(time.Hour), Sequence: sequence, Service: "orders",
		Address: netip.MustParseAddrPort("10.0.0.9:80"), State: state, Slots: 9,
	}}})
}

func TestLeavingIsAcknowledgedOnceItIsRecorded(t *testing.T) {
	tests := []struct {
		name string
		down bool
		// within is when the acknowledgement must be there.
		within   time.Duration
		recorded bool
	}{
		{name: "platform there", within: 200 * time.Millisecond, recorded: true},
		{name: "platform down", down: true, within: recordWait + 200*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.speak(p, 1, member.Ready, 1)
			s.run(2 * time.Second)
			assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), 1)
			s.down = tt.down
			s.speak(p, 2, member.Draining, 2)
			s.run(tt.within)
			assert.Equal(t, len(p.acks), 2)
			assert.Equal(t, p.acks[1], cells.ReportAck{ID: 2, Result: fleet.Changed, Recorded: tt.recorded})
			admit := p.cells.Snapshot.Load().AdmitUntil
			assert.Assert(t, !admit.IsZero() && admit.Before(s.now.Add(admitAfterLeave)))
			if !tt.down {
				assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), 0)
				again := s.restart(p)
				s.speak(again, 3, member.Ready, 1)
				s.run(time.Second)
				assert.Equal(t, again.cells.Snapshot.Load().LocalUpstream.State, member.Draining, "a late word after a restart")
			}
		})
	}
}

func TestRestartedProxyAsksTheUpstreamThatItKnew(t *testing.T) {
	tests := []struct {
		name string
		// last is the state that the upstream told last.
		last member.State
		// serving is who answers checks after the restart, empty for nobody.
		serving string
		want    member.State
		checks  int
		// elsewhere is how many upstreams other proxies know soon after.
		elsewhere int
	}{
		{name: "it serves", last: member.Ready, serving: "i-n03", want: member.Ready, checks: 1, elsewhere: 1},
		{name: "another lifetime answers", last: member.Ready, serving: "i-other", want: member.Lost, checks: maxChecks},
		{name: "nobody answers", last: member.Ready, want: member.Lost, checks: maxChecks},
		{name: "it had said that it leaves", last: member.Draining, serving: "i-n03", want: member.Draining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.speak(p, 1, member.Ready, 1)
			s.run(time.Second)
			s.serving = map[mesh.HostID]string{"n03": tt.serving}
			if tt.last != member.Ready {
				s.speak(p, 2, tt.last, 2)
				s.run(time.Second)
			}
			recorded := s.objects[cells.RecordObjects]["n03"].Version
			s.kill(p)
			again := s.start(p.host, false)
			s.run(checkAgain * (maxChecks + 1))
			assert.Equal(t, again.cells.Snapshot.Load().LocalUpstream.State, tt.want)
			assert.Equal(t, again.checks, tt.checks)
			if tt.want == member.Ready {
				assert.Equal(t, s.objects[cells.RecordObjects]["n03"].Version, recorded, "what is still true was written again")
			}
			s.run(2 * time.Second)
			assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), tt.elsewhere)
			s.speak(again, 3, member.Draining, 9)
			s.run(time.Second)
			assert.Equal(t, again.cells.Snapshot.Load().LocalUpstream.State, member.Draining)
		})
	}
}

// TestLateWordAfterARestartHidesNoFarewell restarts a proxy whose upstream has
// left while the platform could not be told, and lets an older word arrive.
func TestLateWordAfterARestartHidesNoFarewell(t *testing.T) {
	tests := []struct {
		name string
		// again is how long after the late word another one comes, zero for none.
		again time.Duration
		want  member.State
	}{
		{name: "one late word", want: member.Lost},
		{name: "two late words together", again: secondWordNear, want: member.Lost},
		{name: "words that go on", again: time.Second, want: member.Ready},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.speak(p, 1, member.Ready, 1)
			s.run(time.Second)
			s.down, s.serving = true, map[mesh.HostID]string{"n03": ""}
			s.speak(p, 2, member.Draining, 8)
			s.run(time.Second)
			assert.Equal(t, p.acks[1], cells.ReportAck{ID: 2, Result: fleet.Changed})
			s.kill(p)
			s.down = false
			next := s.start(p.host, false)
			s.run(time.Second)
			s.speak(next, 3, member.Ready, 6)
			s.run(tt.again)
			if tt.again > 0 {
				s.speak(next, 4, member.Ready, 7)
			}
			s.run(100 * time.Millisecond)
			assert.Equal(t, next.cells.Snapshot.Load().LocalUpstream.State, tt.want)
		})
	}
}

// secondWordNear is too short a time between two words to show that they go on.
const secondWordNear = 100 * time.Millisecond

func TestDrainingProxyKeepsItsUpstreamInUseUntilItWithdraws(t *testing.T) {
	tests := []struct {
		name   string
		orders []cells.LifecycleCommand
		// elsewhere is how many upstreams the other proxies know then.
		elsewhere int
		phase     cells.Phase
	}{
		{name: "serving", elsewhere: 1, phase: cells.Serving},
		{name: "draining", orders: []cells.LifecycleCommand{cells.Drain}, elsewhere: 1, phase: cells.Draining},
		{name: "withdrawn", orders: []cells.LifecycleCommand{cells.Drain, cells.Withdraw}, phase: cells.Withdrawn},
		{name: "withdraw without a drain", orders: []cells.LifecycleCommand{cells.Withdraw}, elsewhere: 1, phase: cells.Serving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.speak(p, 1, member.Ready, 1)
			s.run(time.Second)
			for _, o := range tt.orders {
				p.cells.LifecycleCommands.Post(o)
				s.run(2 * time.Second)
			}
			assert.Equal(t, p.cells.Phase.Load(), tt.phase)
			assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), tt.elsewhere)
		})
	}
}

// restart kills a process and starts the next one of its host.
func (s *sim) restart(p *simProxy) *simProxy {
	s.kill(p)
	next := s.start(p.host, false)
	s.run(time.Second)
	return next
}

func TestPulsesTellHowFreshAReaderIs(t *testing.T) {
	s := newSim(t, 4)
	s.run(3 * time.Second)
	s.down = true
	for _, p := range s.reading() {
		p.cells.ObjectEvents.Post(cells.ObjectEvent{Action: cells.WatchObjects, Result: cells.StoreFailed, Err: errors.New("down")})
	}
	s.run(pulseLimit + 300*time.Millisecond)
	assert.Equal(t, len(s.reading()), 4, "without a fresh reader everyone asks the platform")
}
