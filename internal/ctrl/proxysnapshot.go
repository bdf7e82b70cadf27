package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// proxySnapshotBuilder builds the immutable snapshot that the proxy's traffic threads
// read.
type proxySnapshotBuilder struct {
	*cells.Proxy
	// firstSeen contains the time at which an instance was first seen while cold. It
	// is not filled while the roster loads, because those instances may not be new.
	firstSeen map[string]time.Time
	// loadedAt is when the roster was first complete.
	loadedAt time.Time
	// position is the position in the roster's changes at which candidateSets were
	// built.
	position      int
	candidateSets map[mesh.Service]*pick.CandidateSet
	// rollouts is the revision of the orders at which the sets were built, and trialSets
	// contains the upstreams that take part in trials.
	rollouts  int
	trialSets map[mesh.Service]*pick.CandidateSet
}

func newProxySnapshotBuilder(proxy *cells.Proxy) board.Controller {
	p := &proxySnapshotBuilder{Proxy: proxy, firstSeen: make(map[string]time.Time), position: -1}
	return board.Controller{
		Name:   "proxySnapshotBuilder",
		Reads:  []board.Ref{&proxy.ActiveVersion, &proxy.Roster, &proxy.LocalUpstream, &proxy.BesideUpstream, &proxy.Rollouts, &proxy.Phase, &proxy.TokenSource},
		Writes: []board.Ref{&proxy.Snapshot, &proxy.SnapshotUpdates},
		Step:   p.step,
	}
}

func (p *proxySnapshotBuilder) step(now time.Time) {
	version, upstream, beside := p.ActiveVersion.Get(), p.LocalUpstream.Get(), p.BesideUpstream.Get()
	p.rebuildSets(now)
	p.Snapshot.Set(cells.ProxySnapshot{
		Plan: version.Plan, CandidateSets: p.candidateSets, LocalUpstream: upstream.Upstream, AdmitUntil: upstream.AdmitUntil,
		BesideUpstream: beside.Upstream, BesideAdmitUntil: beside.AdmitUntil, Trials: p.trials(), CountOutcomes: p.Rollouts.Get().Running,
		NodeCount: max(1, p.Roster.Read().Len()), ServiceShare: p.serviceShare(upstream.Service), Phase: p.Phase.Get(), Tokens: p.TokenSource.Get(),
	})
	p.SnapshotUpdates.Send(version.Plan.Version())
}

// serviceShare returns the fraction of all candidates that serve the service.
func (p *proxySnapshotBuilder) serviceShare(service mesh.Service) float64 {
	total := 0
	for _, set := range p.candidateSets {
		total += len(set.Candidates())
	}
	return float64(len(p.candidateSets[service].Candidates())) / float64(max(total, 1))
}

// rebuildSets rebuilds the candidate sets if a record changed.
func (p *proxySnapshotBuilder) rebuildSets(now time.Time) {
	roster := p.Roster.Read()
	rollouts := p.Rollouts.Get()
	if p.position == roster.Position() && p.rollouts == rollouts.Revision {
		return
	}
	p.position, p.rollouts = roster.Position(), rollouts.Revision
	if p.loadedAt.IsZero() && roster.Loaded {
		p.loadedAt = now
	}
	candidates, tried := make(map[mesh.Service][]pick.Candidate), make(map[mesh.Service][]pick.Candidate)
	live := make(map[string]bool)
	for _, n := range roster.Nodes() {
		if !roster.OwnsAddress(n) {
			continue
		}
		for _, u := range n.Serving() {
			live[u.Instance] = true
			p.addCandidate(n, u, rollouts, candidates, tried, now)
		}
	}
	for instance := range p.firstSeen {
		if !live[instance] {
			delete(p.firstSeen, instance)
		}
	}
	p.candidateSets = make(map[mesh.Service]*pick.CandidateSet, len(candidates))
	for service, list := range candidates {
		p.candidateSets[service] = pick.NewCandidateSet(mesh.ServiceID{Service: service}, list)
	}
	p.trialSets = make(map[mesh.Service]*pick.CandidateSet, len(tried))
	for service, list := range tried {
		// The picker keeps one set for each ID.
		p.trialSets[service] = pick.NewCandidateSet(mesh.ServiceID{Customer: "trial", Service: service}, list)
	}
}

// addCandidate adds an upstream of a node to the set that its release belongs to.
func (p *proxySnapshotBuilder) addCandidate(n fleet.Node, u fleet.Upstream, rollouts cells.Rollouts, serving, tried map[mesh.Service][]pick.Candidate, now time.Time) {
	candidate := pick.Candidate{
		Host: cells.CandidateHost(n.Host, u.Release, u.Instance == n.Beside.Instance), Place: n.Place, Node: n.Address, Slots: u.Slots,
		ReadySince: p.coldSince(u, now), Release: u.Release,
	}
	trial := rollouts.Trials[u.Service]
	switch role := rollouts.RoleOf(u.Service, u.Release); {
	case role == shift.Serving:
		serving[u.Service] = append(serving[u.Service], candidate)
	case role == shift.Tried && trial.Includes(u.Instance):
		tried[u.Service] = append(tried[u.Service], candidate)
	}
}

// trials returns the trials with their candidates.
func (p *proxySnapshotBuilder) trials() map[mesh.Service]cells.ServiceTrial {
	trials := make(map[mesh.Service]cells.ServiceTrial, len(p.trialSets))
	rollouts := p.Rollouts.Get()
	for service, set := range p.trialSets {
		trials[service] = cells.ServiceTrial{Trial: rollouts.Trials[service], Set: set}
	}
	return trials
}

// coldSince returns when the instance was first seen if it is still cold, otherwise zero.
func (p *proxySnapshotBuilder) coldSince(u fleet.Upstream, now time.Time) time.Time {
	if u.ColdRemaining <= 0 || p.loadedAt.IsZero() || now.Equal(p.loadedAt) {
		return time.Time{}
	}
	since, known := p.firstSeen[u.Instance]
	if !known {
		since = now
		p.firstSeen[u.Instance] = since
	}
	return since
}
