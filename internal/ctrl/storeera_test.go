package ctrl

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// recordsBack is the time within which all records are back in a restored store.
const recordsBack = 2 * time.Second

// simEra is the state of a store that can be restored from a copy.
type simEra struct {
	era uint64
	// writesAt holds the times of the writes that reached the store.
	writesAt []time.Time
	// reported holds the state that each upstream reports every second.
	reported map[mesh.HostID]member.State
}

// simCopy is a copy of a store.
type simCopy struct {
	revision uint64
	objects  map[cells.ObjectKind]map[string]cells.Object
}

func (s *sim) countWrite() { s.writesAt = append(s.writesAt, s.now) }

// stored returns an object as read in the current era.
func (s *sim) stored(kind cells.ObjectKind, name string) cells.Object {
	o := s.objects[kind][name]
	o.Era = s.era
	return o
}

// watchFrom returns the revision from which a watch continues; zero if it begins with a
// list.
func (s *sim) watchFrom(c cells.ObjectCommand) uint64 {
	if c.Era != s.era || c.Revision > s.revision {
		return 0
	}
	return c.Revision
}

func (s *sim) copyStore() simCopy {
	copied := simCopy{revision: s.revision, objects: make(map[cells.ObjectKind]map[string]cells.Object)}
	for kind, objects := range s.objects {
		copied.objects[kind] = maps.Clone(objects)
	}
	return copied
}

// restoreStore makes the store unavailable for a moment and restores the copy.
func (s *sim) restoreStore(copied simCopy) {
	s.platformDown = true
	s.advance(300 * time.Millisecond)
	s.platformDown = false
	s.era++
	s.revision, s.objects = copied.revision, copied.objects
	s.writesAt = nil
	for _, p := range s.proxies {
		p.watch = nil
		for kind := range p.watched {
			p.watched[kind] = 0
		}
	}
}

// candidates lists the hosts whose upstreams a proxy uses.
func candidates(p *simProxy) (hosts []mesh.HostID) {
	for _, c := range p.cells.Snapshot.Load().CandidateSets["orders"].Candidates() {
		hosts = append(hosts, c.Host)
	}
	return hosts
}

// advanceReporting runs the simulation while the upstreams send their reports.
func (s *sim) advanceReporting(d time.Duration) { s.advanceAndCheck(d, "", "") }

// advanceAndCheck runs the simulation and checks at each step which upstreams the proxies
// use.
func (s *sim) advanceAndCheck(d time.Duration, used, unused mesh.HostID) {
	checked := make(map[mesh.HostID]*pick.CandidateSet)
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(simStep)
		for _, p := range s.proxies {
			if state := s.reported[p.host]; s.now.UnixMilli()%1000 == 0 && state != member.Left {
				s.report(p, 0, state, uint64(s.now.Unix()))
			}
		}
		for _, p := range s.proxies {
			set := p.cells.Snapshot.Load().CandidateSets["orders"]
			if last, found := checked[p.host]; found && last == set {
				continue
			}
			checked[p.host] = set
			found := make(map[mesh.HostID]bool)
			for _, h := range candidates(p) {
				found[h] = true
			}
			assert.Assert(s.t, !found[unused], "%s uses the upstream of %s", p.host, unused)
			assert.Assert(s.t, used == "" || found[used], "%s does not use the upstream of %s", p.host, used)
		}
	}
}

// outdatedRecords lists the proxies whose records in the store are missing or not of the
// current era.
func (s *sim) outdatedRecords() (hosts []mesh.HostID) {
	for _, p := range s.proxies {
		node, err := testCodec{}.DecodeNode(s.objects[cells.RecordObjects][string(p.host)].Value)
		if err != nil || node.StoreEra != s.era || node.Upstream.State != p.cells.LocalUpstream.Load().State {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// deregister ends the upstream of a proxy.
func (s *sim) deregister(p *simProxy) {
	s.reported[p.host] = member.Left
	p.cells.UpstreamReports.Post(cells.PendingReport{Report: fleet.Report{Deregister: true, Upstream: p.cells.LocalUpstream.Load().Upstream}})
}

// TestRestoredStoreRevertsNothing guards against a restored store that brings back an older
// state of a record or document, and against records that stay lost.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	tests := []struct {
		name    string
		proxies int
		// change is what happens after the copy, to n03.
		change func(s *sim, p *simProxy)
		// used and unused are the hosts whose upstreams all proxies use, or none does, from
		// the restoration on.
		used, unused mesh.HostID
	}{
		{name: "nothing changed", proxies: 8, used: "n03", change: func(*sim, *simProxy) {}},
		{name: "an upstream drains", proxies: 8, used: "n02", unused: "n03", change: func(s *sim, p *simProxy) { s.reported[p.host] = member.Draining }},
		{name: "an upstream leaves, many proxies", proxies: treeFleet, used: "n02", unused: "n03", change: func(s *sim, p *simProxy) { s.deregister(p) }},
		{
			name: "an upstream drains and its proxy is killed", proxies: 8, used: "n02", unused: "n03",
			change: func(s *sim, p *simProxy) {
				s.reported[p.host] = member.Draining
				s.advanceReporting(2 * time.Second)
				s.kill(p)
			},
		},
		{
			name: "a proxy leaves and its record is removed", proxies: 8, used: "n02", unused: "n03",
			change: func(s *sim, p *simProxy) {
				s.kill(p)
				s.remove(cells.RecordObjects, string(p.host))
			},
		},
		{
			name: "a proxy starts", proxies: 8, used: "n08",
			change: func(s *sim, _ *simProxy) { s.reported[s.start("n08", false).host] = member.Ready },
		},
		{
			name: "a proxy starts and is killed", proxies: 8, used: "n02",
			change: func(s *sim, _ *simProxy) {
				p := s.start("n08", false)
				s.advanceReporting(2 * time.Second)
				s.kill(p)
			},
		},
		{
			name: "a proxy that reads from the store is killed and starts again", proxies: 8, used: "n02", unused: "n03",
			change: func(s *sim, p *simProxy) {
				s.reported[p.host] = member.Draining
				root := s.directReaders()[0]
				s.advanceReporting(2 * time.Second)
				s.kill(root)
				s.advanceReporting(time.Second)
				s.start(root.host, true)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, tt.proxies)
			s.reported = make(map[mesh.HostID]member.State)
			for _, p := range s.proxies {
				s.reported[p.host] = member.Ready
			}
			s.advanceReporting(4 * time.Second)
			copied := s.copyStore()
			tt.change(s, s.proxies[3])
			s.write(cells.VersionObjects, "main", []byte("2"))
			s.advanceReporting(3 * time.Second)
			assert.DeepEqual(t, s.hostsBehind(2), []mesh.HostID(nil))
			s.restoreStore(copied)
			s.advanceAndCheck(recordsBack, tt.used, tt.unused)
			assert.DeepEqual(t, s.outdatedRecords(), []mesh.HostID(nil))
			assert.DeepEqual(t, s.hostsBehind(2), []mesh.HostID(nil))
			writes := len(s.writesAt)
			s.advanceAndCheck(deadAfter+dialAfter, tt.used, tt.unused)
			assert.Assert(t, len(s.writesAt)-writes <= 2, "%d more writes", len(s.writesAt)-writes)
			assert.Equal(t, len(s.objects[cells.RecordObjects]), len(s.proxies))
			for _, p := range s.proxies {
				assert.Equal(t, p.cells.Roster.Read().Len(), len(s.proxies), "%s", p.host)
			}
			s.checkBehind(true)
			s.write(cells.VersionObjects, "main", []byte("2"))
			s.advance(time.Second)
			s.checkBehind(false)
		})
	}
}

// checkBehind checks whether what the proxies know of the store confirms their version.
func (s *sim) checkBehind(want bool) {
	for _, p := range s.proxies {
		freshness := p.cells.Freshness.Load()
		assert.Equal(s.t, freshness.Behind, want, "%s", p.host)
		assert.Equal(s.t, s.now.Sub(freshness.LastConfirmed(s.now)) > maxHeartbeatAge, want, "%s", p.host)
	}
}

// TestLostStateIsNotAcknowledgedAsRecorded guards against an acknowledgement which says that
// the platform has a state that it lost when it was restored.
func TestLostStateIsNotAcknowledgedAsRecorded(t *testing.T) {
	s := newSim(t, 4)
	p := s.proxies[3]
	s.report(p, 1, member.Ready, 1)
	s.advance(2 * time.Second)
	copied := s.copyStore()
	s.report(p, 2, member.Draining, 2)
	s.advance(time.Second)
	assert.Equal(t, p.acks[1], cells.ReportAck{ID: 2, Result: fleet.Changed, Recorded: true})
	p.isolated = true
	s.restoreStore(copied)
	s.advance(time.Second)
	assert.Equal(t, p.cells.Roster.Read().Era, uint64(1))
	s.report(p, 3, member.Draining, 3)
	s.advance(time.Second)
	assert.Equal(t, p.acks[2], cells.ReportAck{ID: 3, Result: fleet.Renewed})
}

// TestRecordsAreWrittenAgainSpreadOverTime guards the store's rate limit against all proxies
// that write at once.
func TestRecordsAreWrittenAgainSpreadOverTime(t *testing.T) {
	s := newLargeSim(t, largeFleet)
	s.restoreStore(s.copyStore())
	s.advance(recordsBack)
	assert.DeepEqual(t, s.outdatedRecords(), []mesh.HostID(nil))
	assert.Equal(t, len(s.writesAt), largeFleet)
	for i := range s.writesAt {
		end := i
		for end < len(s.writesAt) && s.writesAt[end].Sub(s.writesAt[i]) < 100*time.Millisecond {
			end++
		}
		assert.Assert(t, end-i <= largeFleet/4, "%d writes in 100 ms", end-i)
	}
}

// TestMessagesOfLowerEraAreIgnored guards against late messages that revert what was read in
// a higher era, and against a proxy that keeps to a lower one.
func TestMessagesOfLowerEraAreIgnored(t *testing.T) {
	record := encodeNode(fleet.Node{Host: "n07", Address: addressOf("n07")})
	tests := []struct {
		name    string
		message ctlmsg.Message
		era     uint64
		nodes   int
	}{
		{name: "records of a lower era", message: ctlmsg.Roster{Revision: 1 << 20, Complete: true}, era: 3, nodes: 4},
		{name: "changed record of a lower era", message: ctlmsg.Roster{Era: 2, Revision: 1 << 20, Entries: []ctlmsg.RosterEntry{{Host: "n07", Era: 2, Version: 1 << 20, Record: record}}}, era: 3, nodes: 4},
		{name: "change of a higher era without its records", message: ctlmsg.Roster{Era: 4, Revision: 9, Entries: []ctlmsg.RosterEntry{{Host: "n07", Era: 4, Version: 9, Record: record}}}, era: 4, nodes: 4},
		{name: "records of a higher era", message: ctlmsg.Roster{Era: 4, Revision: 9, Complete: true, Entries: []ctlmsg.RosterEntry{{Host: "n07", Era: 4, Version: 9, Record: record}}}, era: 4, nodes: 5},
		{name: "heartbeat of a lower era", message: ctlmsg.ReaderHeartbeat{Era: 2, Version: 1, Current: true, Revision: 1 << 20}, era: 3, nodes: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			s.era = 3
			s.advance(4 * time.Second)
			p := s.proxies[3]
			p.cells.LinkEvents.Post(cells.LinkEvent{Link: 1 << 20, Kind: cells.LinkMessage, Message: tt.message})
			s.advance(simStep)
			assert.Equal(t, p.cells.StoreEra.Load(), tt.era)
			assert.Equal(t, p.cells.Roster.Read().Len(), tt.nodes)
			assert.Assert(t, p.cells.Freshness.Load().Revision <= s.revision)
		})
	}
}

// TestKeysAreRefusedWhileRestoredStoreIsBehind guards against a confirmation by a store that
// lacks the version from which a key was revoked.
func TestKeysAreRefusedWhileRestoredStoreIsBehind(t *testing.T) {
	tests := []struct {
		name string
		// before happens before the store is restored.
		before func(s *sim)
		// missing is true if a root does not get the version that the copy lacks.
		missing bool
	}{
		{name: "all proxies run", before: func(*sim) {}},
		{name: "a proxy that reads from the store misses the version", before: func(s *sim) {}, missing: true},
		{name: "a proxy that reads from the store starts again", before: func(s *sim) {
			root := s.directReaders()[0]
			s.kill(root)
			s.platformDown = true
			s.advance(time.Second)
			s.start(root.host, true)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRevocationSim(t, 8)
			copied, root := s.copyStore(), s.directReaders()[0]
			root.isolated = tt.missing
			s.acceptVersion()
			s.advance(2 * time.Second)
			root.isolated = false
			tt.before(s)
			s.restoreStore(copied)
			s.advance(2 * testRevocation)
			assert.Equal(t, len(s.refusingHosts()), 8)
			assert.DeepEqual(t, s.hostsBehind(2), []mesh.HostID(nil))
			s.write(cells.VersionObjects, "main", []byte("2"))
			s.advance(time.Second)
			assert.DeepEqual(t, s.refusingHosts(), []mesh.HostID(nil))
		})
	}
}
