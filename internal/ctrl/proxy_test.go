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
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// simStep is the interval at which the boards of the simulated proxies run.
const simStep = 10 * time.Millisecond

// nearRTT and farRTT are the RTTs to the platform of proxies in its region and in
// another region.
const (
	nearRTT = 2 * time.Millisecond
	farRTT  = 60 * time.Millisecond
)

// testCodec decodes documents that consist of a version number, and "invalid" for a version
// with an invalid rule. It does not compress.
type testCodec struct {
	// accounts are those of all versions.
	accounts []*plan.Account
}

func (c testCodec) DecodePlan(data []byte) (*plan.Plan, error) {
	number, invalid := strings.CutSuffix(string(data), " invalid")
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, err
	}
	var rules []*plan.Rule
	if invalid {
		rules = append(rules, &plan.Rule{})
	}
	return plan.New(mesh.Version(version), plan.Limits{}, []plan.Service{{Name: "orders", HealthPath: "/serves"}}, rules, c.accounts...)
}

func (testCodec) DecodeNode(data []byte) (fleet.Node, error) {
	node, ok := testNodes.Load(string(data))
	if !ok {
		return fleet.Node{}, errors.New("unreadable")
	}
	return node.(fleet.Node), nil
}

// DecodeRollout decodes an order for orders, which consists of the target.
func (testCodec) DecodeRollout(name string, data []byte) (object shift.Object, statusErr, err error) {
	stored, found := testRollouts.Load(string(data))
	if !found {
		return object, nil, errors.New("unreadable")
	}
	return stored.(shift.Object), nil, nil
}

// testRollouts contains the written orders by their encoding.
var testRollouts sync.Map

func encodeRollout(o shift.Object) []byte {
	key := fmt.Sprintf("%+v", o)
	testRollouts.Store(key, o)
	return []byte(key)
}

func (testCodec) Compress(data, _ []byte) ([]byte, error)         { return data, nil }
func (testCodec) Decompress(compressed, _ []byte) ([]byte, error) { return compressed, nil }

// testNodes contains the written records by their encoding.
var testNodes sync.Map

func encodeNode(n fleet.Node) []byte {
	key := fmt.Sprintf("%+v", n)
	testNodes.Store(key, n)
	return []byte(key)
}

// simProxy is one process of a simulated proxy.
type simProxy struct {
	host  mesh.HostID
	cells *cells.Proxy
	board board.Board
	// watched contains the kinds that the proxy watches, with the revision up to which
	// changes were delivered.
	watched map[cells.ObjectKind]uint64
	// acks lists the acknowledged reports.
	acks []cells.ReportAck
	// isolated is true while the proxy cannot reach the platform.
	isolated bool
	// versions lists the versions that were in force, in order.
	versions []mesh.Version
	// healthChecks is the number of health checks of the upstream.
	healthChecks int
	simClock
}

// simLink is a link between two processes. Messages arrive at the next step.
type simLink struct {
	id               cells.LinkID
	dialer, acceptor *simProxy
	// silent is true while messages are lost.
	silent bool
	// delay is the time by which messages arrive later.
	delay time.Duration
}

// sim simulates a platform, a network and proxies in virtual time.
type sim struct {
	t          *testing.T
	now        time.Time
	proxies    []*simProxy
	links      []*simLink
	lastLinkID cells.LinkID
	// revision and objects are the state of the platform.
	revision uint64
	objects  map[cells.ObjectKind]map[string]cells.Object
	// platformDown is true while no proxy can reach the platform.
	platformDown bool
	// pending contains the commands that run at the next step.
	pending []func()
	// healthInstances contains the instance that answers health checks on a host. On
	// hosts that are not listed, the instance that sends the reports answers.
	healthInstances map[mesh.HostID]string
	simRevocation
	// onStart is called for each new process before its controllers are added. It may be
	// nil.
	onStart func(p *simProxy)
	// holds reports whether the platform does not answer the watch of a proxy yet. It may
	// be nil.
	holds func(p *simProxy, kind cells.ObjectKind) bool
	simEra
}

func newSim(t *testing.T, hosts int) *sim {
	return startSim(t, hosts, simRevocation{})
}

func startSim(t *testing.T, hosts int, revocation simRevocation) *sim {
	s := &sim{t: t, simRevocation: revocation, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), objects: map[cells.ObjectKind]map[string]cells.Object{
		cells.VersionObjects: {}, cells.RecordObjects: {},
	}}
	s.write(cells.VersionObjects, "main", []byte("1"))
	for i := range hosts {
		s.start(mesh.HostID(fmt.Sprintf("n%02d", i)), i < hosts/2)
	}
	return s
}

func addressOf(host mesh.HostID) netip.AddrPort {
	number, _ := strconv.Atoi(strings.TrimPrefix(string(host), "n"))
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number + 1)}), 7000)
}

// placeOf returns one of two zones in each of two regions.
func placeOf(host mesh.HostID, nearPlatform bool) mesh.Place {
	number, _ := strconv.Atoi(strings.TrimPrefix(string(host), "n"))
	region := mesh.Region("east")
	if nearPlatform {
		region = "west"
	}
	return mesh.Place{Region: region, Zone: mesh.Zone(fmt.Sprintf("%s-%d", region, number%2))}
}

// start starts a process of the host.
func (s *sim) start(host mesh.HostID, nearPlatform bool) *simProxy {
	p := &simProxy{host: host, cells: &cells.Proxy{}, watched: make(map[cells.ObjectKind]uint64), simClock: simClock{offset: s.clockOffset(host)}}
	rtt := farRTT
	if nearPlatform {
		rtt = nearRTT
	}
	p.cells.Self.Set(cells.ProxySelf{Host: host, Place: placeOf(host, nearPlatform), Address: addressOf(host), StartedAt: p.local(s.now).Time, Heartbeat: time.Second, Revocation: s.revocation})
	p.cells.LinkCommands.Handle = func(c cells.LinkCommand) { s.pending = append(s.pending, func() { s.handleLinkCommand(p, c) }) }
	p.cells.ObjectCommands.Handle = func(c cells.ObjectCommand) {
		s.pending = append(s.pending, func() { s.handleObjectCommand(p, c, rtt) })
	}
	p.cells.HealthChecks.Handle = func(c cells.HealthCheck) {
		p.healthChecks++
		instance, listed := s.healthInstances[host]
		if !listed {
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
	if s.onStart != nil {
		s.onStart(p)
	}
	AddProxy(&p.board, p.cells, s.codec(), &p.simClock, rand.NewPCG(1, uint64(addressOf(host).Addr().As4()[2])<<8|uint64(addressOf(host).Addr().As4()[3])))
	s.proxies = append(s.proxies, p)
	return p
}

// kill ends a process and closes its links.
func (s *sim) kill(p *simProxy) {
	s.proxies = slices.DeleteFunc(s.proxies, func(o *simProxy) bool { return o == p })
	for _, l := range slices.Clone(s.links) {
		if l.dialer == p || l.acceptor == p {
			s.closeLink(l)
		}
	}
}

// powerOff ends a process without closing its links.
func (s *sim) powerOff(p *simProxy) {
	s.proxies = slices.DeleteFunc(s.proxies, func(o *simProxy) bool { return o == p })
	for _, l := range s.links {
		l.silent = l.silent || l.dialer == p || l.acceptor == p
	}
}

func (s *sim) closeLink(l *simLink) {
	s.links = slices.DeleteFunc(s.links, func(o *simLink) bool { return o == l })
	l.dialer.cells.LinkEvents.Post(cells.LinkEvent{Link: l.id, Kind: cells.LinkDown, Dialed: true, Address: addressOf(l.acceptor.host)})
	l.acceptor.cells.LinkEvents.Post(cells.LinkEvent{Link: l.id, Kind: cells.LinkDown})
}

func (s *sim) handleLinkCommand(p *simProxy, c cells.LinkCommand) {
	switch c.Action {
	case cells.LinkDial:
		for _, o := range s.proxies {
			if addressOf(o.host) == c.Address {
				s.lastLinkID++
				s.links = append(s.links, &simLink{id: s.lastLinkID, dialer: p, acceptor: o})
				p.cells.LinkEvents.Post(cells.LinkEvent{Link: s.lastLinkID, Kind: cells.LinkUp, Dialed: true, Address: c.Address})
				o.cells.LinkEvents.Post(cells.LinkEvent{Link: s.lastLinkID, Kind: cells.LinkUp})
				return
			}
		}
		p.cells.LinkEvents.Post(cells.LinkEvent{Kind: cells.LinkDown, Dialed: true, Address: c.Address, Err: errors.New("refused")})
	case cells.LinkSend:
		for _, l := range s.links {
			if l.id == c.Link && !l.silent {
				receiver := l.acceptor
				if receiver == p {
					receiver = l.dialer
				}
				s.deliver(receiver, l, c.Message)
			}
		}
	case cells.LinkClose:
		for _, l := range slices.Clone(s.links) {
			if l.id == c.Link {
				s.closeLink(l)
			}
		}
	}
}

// write changes an object of the platform.
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
		if _, watches := p.watched[kind]; watches && !s.platformUnreachable(p) {
			p.cells.ObjectEvents.Post(cells.ObjectEvent{
				Action: cells.WatchObjects, Kind: kind, Revision: s.revision, RTT: nearRTT,
				Objects: []cells.Object{{Name: name, Version: s.revision, Era: s.era, Deleted: true}}, Era: s.era,
			})
		}
	}
}

func (s *sim) platformUnreachable(p *simProxy) bool {
	return s.platformDown || p.isolated
}

func (s *sim) handleObjectCommand(p *simProxy, c cells.ObjectCommand, rtt time.Duration) {
	event := cells.ObjectEvent{Action: c.Action, Kind: c.Kind, Command: c, RTT: rtt, Era: s.era}
	switch {
	case c.Action == cells.UnwatchObjects:
		delete(p.watched, c.Kind)
		p.watch = nil
		return
	case c.Action == cells.WatchObjects:
		p.watched[c.Kind] = s.watchFrom(c)
		p.watch = nil
		return
	case s.platformUnreachable(p):
		event.Result, event.Err, event.Era = cells.StoreFailed, errors.New("unreachable"), 0
	case c.Era != s.era:
		event.Result, event.Err = cells.StoreFailed, errors.New("not sent")
	default:
		s.countWrite()
		stored := s.stored(c.Kind, string(c.Host)+string(c.Service))
		switch {
		case stored.Version != c.Version:
			event.Result, event.Current = cells.StoreConflict, stored
			if stored.Version == 0 {
				event.Current = cells.Object{Name: string(c.Host), Version: c.Version, Era: s.era, Deleted: true}
			}
		case c.Action == cells.PutStatus:
			object, _ := testRollouts.Load(string(stored.Value))
			next := object.(shift.Object)
			next.Status = c.Status
			event.Current = s.write(c.Kind, string(c.Service), encodeRollout(next))
		case c.Action == cells.DeleteRecord:
			s.remove(c.Kind, string(c.Host))
			event.Current = cells.Object{Name: string(c.Host), Version: s.revision, Era: s.era, Deleted: true}
		default:
			s.write(c.Kind, string(c.Host), encodeNode(c.Node))
			event.Current = s.stored(c.Kind, string(c.Host))
		}
	}
	p.cells.ObjectEvents.Post(event)
}

// deliverChanges sends each proxy the changes of the objects that it watches.
func (s *sim) deliverChanges() {
	for _, p := range s.proxies {
		for kind, revision := range p.watched {
			held := s.simulatesCalls(kind) || s.holds != nil && s.holds(p, kind)
			if s.platformUnreachable(p) || revision == s.revision || held {
				continue
			}
			event := cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Complete: revision == 0, Revision: s.revision, Era: s.era, RTT: nearRTT}
			for _, o := range s.objects[kind] {
				if o.Version > revision {
					event.Objects = append(event.Objects, s.stored(kind, o.Name))
				}
			}
			slices.SortFunc(event.Objects, func(a, b cells.Object) int { return cmp.Compare(a.Version, b.Version) })
			p.watched[kind] = s.revision
			p.cells.ObjectEvents.Post(event)
		}
	}
}

// advance runs the simulation for the duration.
func (s *sim) advance(d time.Duration) {
	for deadline := s.now.Add(d); s.now.Before(deadline); s.now = s.now.Add(simStep) {
		s.deliverChanges()
		s.runDelayed()
		commands := s.pending
		s.pending = nil
		for _, f := range commands {
			f()
		}
		for _, p := range s.proxies {
			s.settle(p)
		}
	}
}

// directReaders lists the proxies that read from the platform.
func (s *sim) directReaders() (list []*simProxy) {
	for _, p := range s.proxies {
		if p.cells.ReadsPlatform.Load() {
			list = append(list, p)
		}
	}
	return list
}

// hostsBehind lists the hosts without the version in force, except for isolated ones.
func (s *sim) hostsBehind(version mesh.Version) (behind []mesh.HostID) {
	for _, p := range s.proxies {
		if p.cells.Snapshot.Load().Plan.Version() != version && !p.isolated {
			behind = append(behind, p.host)
		}
	}
	return behind
}

// applyDeadline is the time within which a version must be in force.
const applyDeadline = 2500 * time.Millisecond

func TestVersionIsInForceInTimeDespiteReaderFailures(t *testing.T) {
	tests := []struct {
		name   string
		before func(s *sim)
	}{
		{name: "no failure", before: func(*sim) {}},
		{name: "both readers killed", before: func(s *sim) {
			for _, p := range s.directReaders() {
				s.kill(p)
			}
		}},
		{name: "both readers powered off", before: func(s *sim) {
			for _, p := range s.directReaders() {
				s.powerOff(p)
			}
		}},
		{name: "both readers isolated from the platform", before: func(s *sim) {
			for _, p := range s.directReaders() {
				p.isolated = true
				p.cells.ObjectEvents.Post(cells.ObjectEvent{Action: cells.WatchObjects, Result: cells.StoreFailed, Err: errors.New("isolated")})
			}
		}},
		{name: "all links lose messages", before: func(s *sim) {
			for _, l := range s.links {
				l.silent = true
			}
		}},
		{name: "invalid version first", before: func(s *sim) { s.write(cells.VersionObjects, "main", []byte("odd")) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 8)
			s.advance(4 * time.Second)
			assert.Equal(t, len(s.hostsBehind(1)), 0)
			assert.Equal(t, len(s.directReaders()), fleet.ParentCount)
			tt.before(s)
			s.write(cells.VersionObjects, "main", []byte("2"))
			s.advance(applyDeadline)
			assert.DeepEqual(t, s.hostsBehind(2), []mesh.HostID(nil))
		})
	}
}

// TestRefusedVersionLeavesTheOlderInForce guards against a version that is applied in part,
// or refused without a word.
func TestRefusedVersionLeavesTheOlderInForce(t *testing.T) {
	tests := []struct {
		name, document string
		refused        mesh.Version
	}{
		{name: "unreadable", document: "odd"},
		{name: "invalid", document: "8 invalid", refused: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			s.advance(3 * time.Second)
			s.write(cells.VersionObjects, "main", []byte("7"))
			s.advance(applyDeadline)
			s.write(cells.VersionObjects, "main", []byte(tt.document))
			s.advance(applyDeadline)
			assert.Equal(t, len(s.hostsBehind(7)), 0)
			readers := s.directReaders()
			assert.Assert(t, len(readers) > 0)
			for _, p := range readers {
				active := p.cells.ActiveVersion.Load()
				assert.Assert(t, active.RefusalReason != "")
				assert.Equal(t, active.RefusedVersion, tt.refused)
			}
			s.write(cells.VersionObjects, "main", []byte("9"))
			s.advance(applyDeadline)
			assert.Equal(t, len(s.hostsBehind(9)), 0)
			for _, p := range s.directReaders() {
				assert.Equal(t, p.cells.ActiveVersion.Load().RefusalReason, "")
			}
		})
	}
}

func TestRestartedProxyServesNewestVersion(t *testing.T) {
	s := newSim(t, 8)
	s.advance(4 * time.Second)
	old := s.proxies[7]
	s.kill(old)
	s.write(cells.VersionObjects, "main", []byte("2"))
	s.advance(time.Second)
	p := s.start(old.host, false)
	s.advance(time.Second)
	assert.DeepEqual(t, p.versions, []mesh.Version{2})
	assert.Equal(t, p.cells.Phase.Load(), cells.Serving)
}

func TestMissingRecordsAreWrittenAgain(t *testing.T) {
	s := newSim(t, 6)
	s.advance(4 * time.Second)
	assert.Equal(t, len(s.objects[cells.RecordObjects]), 6)
	s.platformDown = true
	s.advance(3 * time.Second)
	clear(s.objects[cells.RecordObjects])
	s.revision++
	for _, p := range s.proxies {
		for kind := range p.watched {
			// Watches start again with a complete list after the outage.
			p.watched[kind] = 0
		}
	}
	s.platformDown = false
	s.advance(2 * time.Second)
	assert.Equal(t, len(s.objects[cells.RecordObjects]), 6)
}

func TestDeadNodesAreRemovedAndLiveNodesRestored(t *testing.T) {
	s := newSim(t, 6)
	s.advance(4 * time.Second)
	dead := s.proxies[5]
	s.powerOff(dead)
	s.advance(2 * time.Second)
	// The kernel closes connections to a host without power after a time-out.
	s.kill(dead)
	s.advance(deadAfter + 8*time.Second)
	_, found := s.objects[cells.RecordObjects][string(dead.host)]
	assert.Assert(t, !found)
	assert.Equal(t, len(s.objects[cells.RecordObjects]), 5)
	live := s.proxies[4]
	s.remove(cells.RecordObjects, string(live.host))
	s.advance(2 * time.Second)
	_, found = s.objects[cells.RecordObjects][string(live.host)]
	assert.Assert(t, found)
}

// report sends a report of the local upstream to a proxy.
func (s *sim) report(p *simProxy, id uint64, state member.State, sequence uint64) {
	p.cells.UpstreamReports.Post(cells.PendingReport{ID: id, Report: fleet.Report{Upstream: fleet.Upstream{
		Instance: "i-" + string(p.host), StartedAt: s.now.Truncate(time.Hour), Sequence: sequence, Service: "orders",
		Address: netip.MustParseAddrPort("10.0.0.9:80"), State: state, Slots: 9,
	}}})
}

func TestDrainIsAcknowledgedOnceRecorded(t *testing.T) {
	tests := []struct {
		name         string
		platformDown bool
		// within is the time within which the report must be acknowledged.
		within   time.Duration
		recorded bool
	}{
		{name: "platform up", within: 200 * time.Millisecond, recorded: true},
		{name: "platform down", platformDown: true, within: recordTimeout + 200*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.report(p, 1, member.Ready, 1)
			s.advance(2 * time.Second)
			assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), 1)
			s.platformDown = tt.platformDown
			s.report(p, 2, member.Draining, 2)
			s.advance(tt.within)
			assert.Equal(t, len(p.acks), 2)
			assert.Equal(t, p.acks[1], cells.ReportAck{ID: 2, Result: fleet.Changed, Recorded: tt.recorded})
			admit := p.cells.Snapshot.Load().AdmitUntil
			assert.Assert(t, !admit.IsZero() && admit.Before(s.now.Add(admitAfterDrain)))
			if !tt.platformDown {
				assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), 0)
				restarted := s.restart(p)
				s.report(restarted, 3, member.Ready, 1)
				s.advance(time.Second)
				assert.Equal(t, restarted.cells.Snapshot.Load().LocalUpstream.State, member.Draining, "late report after a restart")
			}
		})
	}
}

func TestRestartedProxyChecksRecordedUpstream(t *testing.T) {
	tests := []struct {
		name string
		// lastState is the state in the last report before the restart.
		lastState member.State
		// healthInstance is the instance that answers health checks after the restart;
		// empty for none.
		healthInstance string
		want           member.State
		healthChecks   int
		// candidates is the number of upstreams that other proxies use soon after.
		candidates int
	}{
		{name: "same instance serves", lastState: member.Ready, healthInstance: "i-n03", want: member.Ready, healthChecks: 1, candidates: 1},
		{name: "another instance serves", lastState: member.Ready, healthInstance: "i-other", want: member.Lost, healthChecks: maxHealthChecks},
		{name: "no instance serves", lastState: member.Ready, want: member.Lost, healthChecks: maxHealthChecks},
		{name: "draining before the restart", lastState: member.Draining, healthInstance: "i-n03", want: member.Draining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.report(p, 1, member.Ready, 1)
			s.advance(time.Second)
			s.healthInstances = map[mesh.HostID]string{"n03": tt.healthInstance}
			if tt.lastState != member.Ready {
				s.report(p, 2, tt.lastState, 2)
				s.advance(time.Second)
			}
			recorded := s.objects[cells.RecordObjects]["n03"].Version
			s.kill(p)
			restarted := s.start(p.host, false)
			s.advance(healthCheckInterval * (maxHealthChecks + 1))
			assert.Equal(t, restarted.cells.Snapshot.Load().LocalUpstream.State, tt.want)
			assert.Equal(t, restarted.healthChecks, tt.healthChecks)
			if tt.want == member.Ready {
				assert.Equal(t, s.objects[cells.RecordObjects]["n03"].Version, recorded, "unchanged record was written again")
			}
			s.advance(2 * time.Second)
			assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), tt.candidates)
			s.report(restarted, 3, member.Draining, 9)
			s.advance(time.Second)
			assert.Equal(t, restarted.cells.Snapshot.Load().LocalUpstream.State, member.Draining)
		})
	}
}

// TestLateReportAfterRestartDoesNotReviveUpstream guards against a proxy that treats a
// draining upstream as ready. This happens if the drain could not be stored in the
// platform, the proxy restarts, and an older report arrives late.
func TestLateReportAfterRestartDoesNotReviveUpstream(t *testing.T) {
	tests := []struct {
		name string
		// secondAfter is the time between the late report and another one; zero for no
		// other report.
		secondAfter time.Duration
		want        member.State
	}{
		{name: "one late report", want: member.Lost},
		{name: "two late reports in quick succession", secondAfter: shortReportInterval, want: member.Lost},
		{name: "regular reports", secondAfter: time.Second, want: member.Ready},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.report(p, 1, member.Ready, 1)
			s.advance(time.Second)
			s.platformDown, s.healthInstances = true, map[mesh.HostID]string{"n03": ""}
			s.report(p, 2, member.Draining, 8)
			s.advance(time.Second)
			assert.Equal(t, p.acks[1], cells.ReportAck{ID: 2, Result: fleet.Changed})
			s.kill(p)
			s.platformDown = false
			restarted := s.start(p.host, false)
			s.advance(time.Second)
			s.report(restarted, 3, member.Ready, 6)
			s.advance(tt.secondAfter)
			if tt.secondAfter > 0 {
				s.report(restarted, 4, member.Ready, 7)
			}
			s.advance(100 * time.Millisecond)
			assert.Equal(t, restarted.cells.Snapshot.Load().LocalUpstream.State, tt.want)
		})
	}
}

// shortReportInterval is too short an interval between two reports to show that the
// upstream still reports regularly.
const shortReportInterval = 100 * time.Millisecond

func TestDrainingProxyKeepsUpstreamUntilWithdrawn(t *testing.T) {
	tests := []struct {
		name     string
		commands []cells.LifecycleCommand
		// candidates is the number of upstreams that other proxies use afterwards.
		candidates int
		phase      cells.Phase
	}{
		{name: "serving", candidates: 1, phase: cells.Serving},
		{name: "draining", commands: []cells.LifecycleCommand{cells.Drain}, candidates: 1, phase: cells.Draining},
		{name: "withdrawn", commands: []cells.LifecycleCommand{cells.Drain, cells.Withdraw}, phase: cells.Withdrawn},
		{name: "withdraw without a drain", commands: []cells.LifecycleCommand{cells.Withdraw}, candidates: 1, phase: cells.Serving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			p := s.proxies[3]
			s.report(p, 1, member.Ready, 1)
			s.advance(time.Second)
			for _, c := range tt.commands {
				p.cells.LifecycleCommands.Post(c)
				s.advance(2 * time.Second)
			}
			assert.Equal(t, p.cells.Phase.Load(), tt.phase)
			assert.Equal(t, len(s.proxies[0].cells.Snapshot.Load().CandidateSets["orders"].Candidates()), tt.candidates)
		})
	}
}

// restart kills a process and starts the next one of its host.
func (s *sim) restart(p *simProxy) *simProxy {
	s.kill(p)
	next := s.start(p.host, false)
	s.advance(time.Second)
	return next
}

func TestProxiesReadPlatformWithoutUpToDateReader(t *testing.T) {
	s := newSim(t, 4)
	s.advance(3 * time.Second)
	s.platformDown = true
	for _, p := range s.directReaders() {
		p.cells.ObjectEvents.Post(cells.ObjectEvent{Action: cells.WatchObjects, Result: cells.StoreFailed, Err: errors.New("down")})
	}
	s.advance(fleet.DetectionTime + 300*time.Millisecond)
	assert.Equal(t, len(s.directReaders()), 4, "not all proxies read from the platform")
}
