package ctrl

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// rolloutSim plays the requests of a service while it moves from v1 to v2. Every host has
// an upstream of both releases.
type rolloutSim struct {
	*sim
	random *rand.Rand
	// failing is the failure rate of v2.
	failing float64
	// sent counts the requests by release.
	sent map[mesh.Release]int
	// served and unserved count the requests by whether an upstream that runs was chosen.
	served, unserved int
	// quiet is true while no requests come.
	quiet bool
	// silent is the release whose upstreams send no reports; empty for none.
	silent mesh.Release
	// onStep is called after each step of run; it may be nil.
	onStep func()
	// logs counts the log lines by name.
	logs map[string]int
}

func newRolloutSim(t *testing.T, hosts int, failing float64) *rolloutSim {
	s := &rolloutSim{random: rand.New(rand.NewPCG(1, 2)), failing: failing, sent: make(map[mesh.Release]int), logs: make(map[string]int)}
	s.sim = newSim(t, 0)
	s.objects[cells.RolloutObjects] = map[string]cells.Object{}
	s.onStart = s.prepare
	s.holds = func(p *simProxy, kind cells.ObjectKind) bool {
		return kind == cells.RolloutObjects && s.now.Sub(p.cells.Self.Load().StartedAt) < 400*time.Millisecond
	}
	for i := range hosts {
		s.start(mesh.HostID(fmt.Sprintf("n%02d", i)), i < hosts/2)
	}
	s.advance(4 * time.Second)
	s.report("v1", 0)
	s.advance(time.Second)
	return s
}

// prepare makes a process a possible controller and connects its outcomes.
func (s *rolloutSim) prepare(p *simProxy) {
	self := p.cells.Self.Load()
	self.DirectRollouts = true
	p.cells.Self.Set(self)
	p.cells.CollectOutcomes.Handle = func(time.Time) { s.pending = append(s.pending, func() { s.play(p) }) }
	p.cells.LogEvents.Handle = func(e cells.LogEvent) { s.logs[e.Name]++ }
}

// report registers an upstream of the release at every proxy.
func (s *rolloutSim) report(release mesh.Release, age time.Duration) {
	s.reportAt(release, age, s.proxies...)
}

// reportAt registers an upstream of the release at some proxies.
func (s *rolloutSim) reportAt(release mesh.Release, age time.Duration, proxies ...*simProxy) {
	for _, p := range proxies {
		address := addressOf(p.host)
		p.cells.UpstreamReports.Post(cells.PendingReport{Report: fleet.Report{Upstream: fleet.Upstream{
			Instance: string(release) + "-" + string(p.host), StartedAt: s.now.Add(-age), Sequence: uint64(s.now.UnixMilli()), Service: "orders",
			Release: release, Address: netip.AddrPortFrom(address.Addr(), 80), State: member.Ready, Slots: 18,
		}}})
	}
}

// play sends the requests of one interval through a proxy and posts their outcomes.
func (s *rolloutSim) play(p *simProxy) {
	if s.quiet {
		return
	}
	snapshot := p.cells.Snapshot.Load()
	counts := make(shift.Counts)
	for range 20 {
		set := snapshot.CandidateSets["orders"]
		if trial, found := snapshot.Trials["orders"]; found && trial.Takes(s.now, "r", s.random.Float64()) {
			set = trial.Set
		}
		candidates := slices.DeleteFunc(slices.Clone(set.Candidates()), func(c pick.Candidate) bool { return !s.isRunning(c.Node) })
		if len(candidates) == 0 {
			s.unserved++
			continue
		}
		s.served++
		release := candidates[s.random.IntN(len(candidates))].Release
		s.sent[release]++
		key := shift.Key{Release: release, Route: "r"}
		counts.RecordStart(key)
		counts.RecordEnd(key, false)
		counts.Record(key, shift.Outcome{Failed: release == "v2" && s.random.Float64() < s.failing, ServiceTime: 100 * time.Millisecond})
	}
	p.cells.Outcomes.Post(cells.OutcomeCounts{"orders": counts})
}

// isRunning reports whether a process accepts sessions at the address.
func (s *rolloutSim) isRunning(node netip.AddrPort) bool {
	return slices.ContainsFunc(s.proxies, func(p *simProxy) bool { return addressOf(p.host) == node })
}

// order writes an order for the service.
func (s *rolloutSim) order(target mesh.Release, status shift.Status) {
	s.write(cells.RolloutObjects, "orders", encodeRollout(shift.Object{Order: shift.Order{Service: "orders", Target: target, Duration: 12 * time.Second}, Status: status}))
}

// run renews the registrations while it advances.
func (s *rolloutSim) run(d time.Duration) {
	for ; d > 0; d -= 500 * time.Millisecond {
		s.renew()
		if s.onStep == nil {
			s.advance(500 * time.Millisecond)
			continue
		}
		for range 500 * time.Millisecond / simStep {
			s.advance(simStep)
			s.onStep()
		}
	}
}

// renew renews the registrations of the upstreams that are not silent.
func (s *rolloutSim) renew() {
	for _, p := range s.proxies {
		for _, u := range []fleet.Upstream{p.cells.LocalUpstream.Load().Upstream, p.cells.BesideUpstream.Load().Upstream} {
			if u.Instance == "" || u.Release == s.silent || u.State == member.Left {
				continue
			}
			u.Sequence++
			u.State = member.Ready
			p.cells.UpstreamReports.Post(cells.PendingReport{Report: fleet.Report{Upstream: u}})
		}
	}
}

// status returns the status in the platform.
func (s *rolloutSim) status() shift.Status {
	stored, _ := testRollouts.Load(string(s.objects[cells.RolloutObjects]["orders"].Value))
	object, _ := stored.(shift.Object)
	return object.Status
}

// releases lists the releases that the proxies send requests to outside of trials.
func (s *rolloutSim) releases() (list []mesh.Release) {
	for _, p := range s.proxies {
		if p.cells.Phase.Load() != cells.Serving {
			continue
		}
		for _, c := range p.cells.Snapshot.Load().CandidateSets["orders"].Candidates() {
			if !slices.Contains(list, c.Release) {
				list = append(list, c.Release)
			}
		}
	}
	return list
}

// TestRolloutIsDirected guards against gaps in the path from the order in the platform to
// the candidates of every proxy and back.
func TestRolloutIsDirected(t *testing.T) {
	tests := []struct {
		name    string
		failing float64
		during  func(s *rolloutSim)
		want    shift.Phase
		serving mesh.Release
	}{
		{name: "good release", want: shift.Completed, serving: "v2"},
		{name: "bad release", failing: 0.5, want: shift.RolledBack, serving: "v1"},
		{name: "good release, first root killed", want: shift.Completed, serving: "v2", during: killHolder},
		{name: "bad release, first root killed", failing: 0.5, want: shift.RolledBack, serving: "v1", during: killHolder},
		{name: "good release, platform away for 4 s", want: shift.Completed, serving: "v2", during: func(s *rolloutSim) {
			s.platformDown = true
			s.run(4 * time.Second)
			s.platformDown = false
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRolloutSim(t, 8, tt.failing)
			s.order("v2", shift.Status{})
			s.run(500 * time.Millisecond)
			s.report("v2", 0)
			s.run(2 * time.Second)
			assert.DeepEqual(t, s.releases(), []mesh.Release{"v1"})
			if tt.during != nil {
				tt.during(s)
			}
			s.run(12 * time.Second)
			assert.Equal(t, s.status().Phase, tt.want, "%+v", s.status())
			assert.DeepEqual(t, s.releases(), []mesh.Release{tt.serving})
			if tt.want == shift.RolledBack {
				assert.Assert(t, s.sent["v2"] > 0 && s.sent["v2"]*10 < s.sent["v1"], "%v", s.sent)
			}
		})
	}
}

// killHolder ends the process that holds the lease.
func killHolder(s *rolloutSim) {
	for _, p := range slices.Clone(s.proxies) {
		if p.host == s.status().Holder {
			s.kill(p)
		}
	}
}

// TestEndedRolloutHoldsAfterRestart guards against requests to a release that was rolled
// back, or to old ones, after one proxy after the other, and all at once, were started
// again.
func TestEndedRolloutHoldsAfterRestart(t *testing.T) {
	tests := []struct {
		name   string
		status shift.Status
		want   mesh.Release
	}{
		{name: "rolled back", status: shift.Status{Phase: shift.RolledBack, Target: "v2", Term: 7, Excluded: []mesh.Release{"v2"}}, want: "v1"},
		{name: "completed", status: shift.Status{Phase: shift.Completed, Target: "v2", Term: 7, Excluded: []mesh.Release{"v1"}}, want: "v2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRolloutSim(t, 6, 0)
			s.order("v2", tt.status)
			s.report("v2", 0)
			s.run(2 * time.Second)
			assert.DeepEqual(t, s.releases(), []mesh.Release{tt.want})
			check := func(d time.Duration) {
				for ; d > 0; d -= 10 * time.Millisecond {
					s.advance(10 * time.Millisecond)
					for _, r := range s.releases() {
						assert.Equal(t, r, tt.want)
					}
				}
			}
			for _, p := range slices.Clone(s.proxies) {
				s.kill(p)
				s.start(p.host, p.host < "n03")
				check(2 * time.Second)
				s.run(500 * time.Millisecond)
			}
			for _, p := range slices.Clone(s.proxies) {
				s.kill(p)
				s.start(p.host, p.host < "n03")
			}
			for range 4 {
				check(time.Second)
				s.run(500 * time.Millisecond)
			}
			assert.Equal(t, s.status().Phase, tt.status.Phase)
		})
	}
}

// TestMalformedOrdersChangeNothing guards against an order that changes what is in force
// although it cannot be carried out, and against one that is refused without a log line.
func TestMalformedOrdersChangeNothing(t *testing.T) {
	tests := []struct {
		name  string
		write func(s *rolloutSim)
	}{
		{name: "unreadable", write: func(s *rolloutSim) { s.write(cells.RolloutObjects, "orders", []byte("odd")) }},
		{name: "unknown service", write: func(s *rolloutSim) {
			s.write(cells.RolloutObjects, "none", encodeRollout(shift.Object{Order: shift.Order{Service: "none", Target: "v2", Duration: time.Second}}))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRolloutSim(t, 4, 0)
			s.order("v2", shift.Status{Phase: shift.Completed, Target: "v2", Term: 7, Excluded: []mesh.Release{"v1"}})
			s.report("v2", 0)
			s.run(2 * time.Second)
			revision := s.revision
			tt.write(s)
			s.run(2 * time.Second)
			assert.DeepEqual(t, s.releases(), []mesh.Release{"v2"})
			assert.Equal(t, s.revision, revision+1, "nothing was written")
			assert.Assert(t, s.logs["rolloutRefused"] > 0)
		})
	}
}
