package ctrl

import (
	"cmp"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

const (
	testRevocation = 5 * time.Second
	// faultTime is how long a fault lasts in these tests.
	faultTime = 12 * time.Second
	// recoveryTime is the time after the end of a fault in which confirmations arrive again.
	// It includes the time for which a former parent is not selected.
	recoveryTime = 5 * time.Second
)

func newRevocationSim(t *testing.T, hosts int) *sim {
	s := startSim(t, hosts, simRevocation{revocation: testRevocation, storeLatency: nearRTT, refused: make(map[mesh.HostID]time.Duration)})
	s.advance(6 * time.Second)
	assert.Equal(t, len(s.refusingHosts()), 0)
	clear(s.refused)
	return s
}

// refusingHosts lists the hosts that refuse requests with keys.
func (s *sim) refusingHosts() (hosts []mesh.HostID) {
	for _, p := range s.proxies {
		if p.frozen || !s.admitsKeys(p) {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// leaf returns a proxy that reads from others.
func (s *sim) leaf() *simProxy {
	for _, p := range s.proxies {
		if !p.cells.ReadsPlatform.Load() {
			return p
		}
	}
	return nil
}

func (s *sim) setLinks(p *simProxy, change func(l *simLink)) {
	for _, l := range s.links {
		if p == nil || l.dialer == p || l.acceptor == p {
			change(l)
		}
	}
}

// TestRevokedKeysDoNotRun guards against a proxy that runs requests with a key for longer
// than the revocation time after the store accepted a version without it. The simulation
// checks that at each step; new versions are accepted while the fault lasts. The test also guards against refusals that the fault does not require, and that
// outlast it.
func TestRevokedKeysDoNotRun(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *sim)
		end   func(s *sim)
		// refusing is the number of hosts that refuse requests with keys at the end of the
		// fault, of eight. No other host may refuse any before.
		refusing int
		// changeInterval is the time between two versions; zero for 700 ms.
		changeInterval time.Duration
	}{
		{name: "no fault", fault: func(*sim) {}, end: func(*sim) {}},
		{
			name: "a proxy is cut off",
			fault: func(s *sim) {
				p := s.leaf()
				s.setLinks(p, func(l *simLink) { l.silent = true })
				p.isolated = true
			},
			end: func(s *sim) {
				for _, p := range s.proxies {
					p.isolated = false
				}
				s.setLinks(nil, func(l *simLink) { l.silent = false })
			},
			refusing: 1,
		},
		{
			name: "a proxy is frozen", refusing: 1,
			fault: func(s *sim) { s.leaf().frozen = true }, end: thaw,
		},
		{
			name: "a machine is suspended", refusing: 1,
			fault: func(s *sim) { p := s.leaf(); p.frozen, p.asleep = true, true }, end: thaw,
		},
		{
			name: "a root is suspended", refusing: 1,
			fault: func(s *sim) { p := s.directReaders()[0]; p.frozen, p.asleep = true, true }, end: thaw,
		},
		{
			name: "both roots lose power", end: func(*sim) {},
			fault: func(s *sim) {
				for _, p := range s.directReaders() {
					s.powerOff(p)
				}
			},
		},
		{
			name:  "the store takes 500 ms",
			fault: func(s *sim) { s.storeLatency = 500 * time.Millisecond }, end: func(s *sim) { s.storeLatency = nearRTT },
		},
		{
			name: "the store takes five seconds", refusing: 8,
			fault: func(s *sim) { s.storeLatency = 5 * time.Second }, end: func(s *sim) { s.storeLatency = nearRTT },
		},
		{
			name: "watches are silent", refusing: 8,
			fault: func(s *sim) { s.silentWatches = true }, end: func(s *sim) { s.silentWatches = false },
		},
		{
			// A root has no parent from which it could receive instead.
			name: "the roots do not reach the store", refusing: 2,
			fault: func(s *sim) { isolate(s.directReaders(), true) }, end: func(s *sim) { isolate(s.proxies, false) },
		},
		{
			name: "messages are delivered six seconds late", refusing: 6, changeInterval: 10 * time.Second,
			fault: func(s *sim) { s.setLinks(nil, func(l *simLink) { l.delay = 6 * time.Second }) },
			end:   func(s *sim) { s.setLinks(nil, func(l *simLink) { l.delay = 0 }) },
		},
		{
			// As if the receivers could not decode them.
			name: "documents have no effect", refusing: 6,
			fault: func(s *sim) { s.dropDocuments = true },
			end:   func(s *sim) { s.dropDocuments = false; s.acceptVersion() },
		},
		{
			name:  "the newest document is invalid",
			fault: func(s *sim) { s.write(cells.VersionObjects, "main", []byte("odd")) }, end: func(*sim) {},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRevocationSim(t, 8)
			tt.fault(s)
			interval := cmp.Or(tt.changeInterval, 700*time.Millisecond)
			for passed := time.Duration(0); passed < faultTime; passed += interval {
				s.advance(interval)
				s.acceptVersion()
			}
			assert.Equal(t, len(s.refusingHosts()), tt.refusing)
			assert.Assert(t, len(s.refused) <= tt.refusing, "refused: %v", s.refused)
			tt.end(s)
			s.advance(recoveryTime)
			assert.DeepEqual(t, s.refusingHosts(), []mesh.HostID(nil))
			assert.DeepEqual(t, s.hostsBehind(mesh.Version(len(s.acceptedAt)+1)), []mesh.HostID(nil))
		})
	}
}

func thaw(s *sim) {
	for _, p := range s.proxies {
		p.frozen, p.asleep = false, false
	}
}

// isolate cuts proxies off from the store, without any error, or restores them.
func isolate(proxies []*simProxy, isolated bool) {
	for _, p := range proxies {
		p.isolated = isolated
	}
}

// TestKeysAreServedSoonAfterTheStoreReturns guards against requests that are still refused
// a second after the roots' first valid confirmation.
func TestKeysAreServedSoonAfterTheStoreReturns(t *testing.T) {
	s := newRevocationSim(t, treeFleet)
	s.silentWatches = true
	s.advance(faultTime)
	assert.Equal(t, len(s.refusingHosts()), treeFleet)
	s.silentWatches = false
	for len(s.refusingHosts()) == treeFleet {
		s.advance(simStep)
	}
	s.advance(time.Second)
	assert.DeepEqual(t, s.refusingHosts(), []mesh.HostID(nil))
}

// TestConfirmationsPassAChainOfReaders guards against confirmations that are too old once
// they have passed all levels of readers over slow links, and against calls to the store
// whose number grows with that of the proxies.
func TestConfirmationsPassAChainOfReaders(t *testing.T) {
	tests := []struct {
		name    string
		proxies int
	}{
		{name: "flat", proxies: 8},
		{name: "several levels", proxies: treeFleet},
		{name: "many proxies", proxies: largeFleet},
	}
	// Each of the two roots starts a watch every 500 ms.
	const maxCallsPerSecond = 5
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newRevocationSim(t, tt.proxies)
			s.setLinks(nil, func(l *simLink) { l.delay = 30 * time.Millisecond })
			s.calls, s.oldest = 0, 0
			s.advance(10 * time.Second)
			t.Logf("oldest confirmation %v, %.1f calls to the store per second", s.oldest, float64(s.calls)/10)
			assert.Assert(t, len(s.refused) == 0, "refused: %v", s.refused)
			assert.Assert(t, s.calls <= maxCallsPerSecond*10, "%d calls in 10 s", s.calls)
		})
	}
}

// TestOldBuildsConfirmNothing guards against a proxy that takes the age in a heartbeat of a
// build without probes, which does not include the time on the way, for a confirmation.
func TestOldBuildsConfirmNothing(t *testing.T) {
	s := newRevocationSim(t, 8)
	roots := s.directReaders()
	for _, p := range roots {
		p.oldBuild = true
	}
	s.advance(faultTime)
	assert.Equal(t, len(s.refusingHosts()), len(s.proxies)-len(roots))
	for _, p := range roots {
		p.oldBuild = false
	}
	s.advance(time.Second)
	assert.DeepEqual(t, s.refusingHosts(), []mesh.HostID(nil))
}

// TestAgeInHeartbeatsIncludesSuspension guards against a parent whose machine was suspended
// and that reports the age of its confirmation without that time.
func TestAgeInHeartbeatsIncludesSuspension(t *testing.T) {
	s := newRevocationSim(t, 8)
	root := s.directReaders()[0]
	root.frozen, root.asleep, s.silentWatches = true, true, true
	s.advance(faultTime)
	thaw(s)
	var first *ctlmsg.ReaderHeartbeat
	s.onHeartbeat = func(sender *simProxy, h ctlmsg.ReaderHeartbeat) {
		if sender == root && first == nil {
			first = &h
		}
	}
	s.advance(readerHeartbeatInterval + simStep)
	assert.Assert(t, first != nil && first.Verified && first.VerifiedAge > faultTime, "%+v", first)
}

// TestNoProbesWithoutTheSetting guards the meshes that do not limit the use of revoked
// keys: their proxies send and compute what they did before.
func TestNoProbesWithoutTheSetting(t *testing.T) {
	s := newSim(t, 8)
	s.advance(4 * time.Second)
	for _, p := range s.proxies {
		assert.Assert(t, p.cells.Freshness.Load().VerifiedAt.IsZero())
	}
}

// TestProbesGoToParents guards against probes that report the nodes of a source of tokens
// to another parent, and against missing or too many probes.
func TestProbesGoToParents(t *testing.T) {
	tests := []struct {
		name       string
		revocation time.Duration
		// source is true if the first parent is the source of tokens.
		source bool
		// wantNodes contains the number of nodes in the probes to each parent; empty for no
		// probes.
		wantNodes []int
	}{
		{name: "nothing enabled"},
		{name: "revocation", revocation: testRevocation, wantNodes: []int{0, 0}},
		{name: "tokens", source: true, wantNodes: []int{3, 0}},
		{name: "both", revocation: testRevocation, source: true, wantNodes: []int{3, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSim(t, 8, simRevocation{revocation: tt.revocation, storeLatency: nearRTT, refused: make(map[mesh.HostID]time.Duration)})
			s.advance(6 * time.Second)
			p := s.leaf()
			parents := p.cells.Tree.Load().Parents(p.host, p.cells.Self.Load().Place)
			if tt.source {
				p.cells.TokenSource.Set(cells.TokenSource{Host: parents[0].Host, Nodes: 3})
			}
			s.advance(verify.ProbeInterval)
			probes := make(map[mesh.HostID][]ctlmsg.Probe)
			s.onProbe = func(sender, receiver *simProxy, m ctlmsg.Probe) {
				if sender == p {
					probes[receiver.host] = append(probes[receiver.host], m)
				}
			}
			s.advance(10 * verify.ProbeInterval)
			for i, nodes := range tt.wantNodes {
				sent := probes[parents[i].Host]
				assert.Assert(t, len(sent) >= 9 && len(sent) <= 10, "%d probes", len(sent))
				for j, m := range sent {
					assert.Equal(t, m.Nodes, nodes)
					assert.Assert(t, m.SentAt > 0 && (j == 0 || m.SentAt > sent[j-1].SentAt))
				}
			}
			assert.Equal(t, len(probes), len(tt.wantNodes))
		})
	}
}

// TestRefusalsAreLoggedOnce guards against refusals of requests with keys that operators
// are not told of, and against a log line for each of many.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	s := startSim(t, 4, simRevocation{revocation: testRevocation, storeLatency: nearRTT, accounts: true, refused: make(map[mesh.HostID]time.Duration)})
	s.advance(6 * time.Second)
	var changes []bool
	s.leaf().cells.LogEvents.Handle = func(e cells.LogEvent) {
		if e.Name == "keyedRequests" {
			changes = append(changes, e.Fields[0].Value.(bool))
		}
	}
	s.advance(testRevocation)
	assert.Equal(t, len(changes), 0)
	s.silentWatches = true
	s.advance(faultTime)
	assert.DeepEqual(t, changes, []bool{true})
	s.silentWatches = false
	s.advance(recoveryTime)
	assert.DeepEqual(t, changes, []bool{true, false})
}

// TestConfirmationsSurviveClockSteps guards against a confirmation without its monotonic
// reading: a step of the wall clock would then change its age.
func TestConfirmationsSurviveClockSteps(t *testing.T) {
	var (
		b     board.Board
		proxy cells.Proxy
	)
	// Times of package synctest have no monotonic reading.
	now := time.Now()
	proxy.Self.Set(cells.ProxySelf{Host: "n00", StartedAt: now.Add(-time.Minute), Revocation: testRevocation})
	AddProxy(&b, &proxy, testCodec{}, &simClock{}, rand.NewPCG(1, 1))
	proxy.ObjectEvents.Post(cells.ObjectEvent{Action: cells.WatchObjects, Kind: cells.VersionObjects, CalledAt: verify.Moment{Time: now.Add(-time.Second)}})
	b.Settle(now)
	verified := proxy.Freshness.Load().VerifiedAt
	assert.Assert(t, strings.Contains(verified.String(), " m="), verified.String())
	assert.Equal(t, now.Sub(verified), time.Second)
}
