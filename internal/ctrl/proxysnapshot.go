package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
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
}

func newProxySnapshotBuilder(proxy *cells.Proxy) board.Controller {
	p := &proxySnapshotBuilder{Proxy: proxy, firstSeen: make(map[string]time.Time), position: -1}
	return board.Controller{
		Name:   "proxySnapshotBuilder",
		Reads:  []board.Ref{&proxy.ActiveVersion, &proxy.Roster, &proxy.LocalUpstream, &proxy.Phase, &proxy.TokenSource},
		Writes: []board.Ref{&proxy.Snapshot, &proxy.SnapshotUpdates},
		Step:   p.step,
	}
}

func (p *proxySnapshotBuilder) step(now time.Time) {
	version, upstream := p.ActiveVersion.Get(), p.LocalUpstream.Get()
	p.rebuildSets(now)
	p.Snapshot.Set(cells.ProxySnapshot{
		Plan: version.Plan, CandidateSets: p.candidateSets, LocalUpstream: upstream.Upstream, AdmitUntil: upstream.AdmitUntil,
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
	if p.position == roster.Position() {
		return
	}
	p.position = roster.Position()
	if p.loadedAt.IsZero() && roster.Loaded {
		p.loadedAt = now
	}
	candidates := make(map[mesh.Service][]pick.Candidate)
	live := make(map[string]bool)
	for _, n := range roster.Nodes() {
		if !n.AcceptsRequests() || !roster.OwnsAddress(n) {
			continue
		}
		live[n.Upstream.Instance] = true
		candidates[n.Upstream.Service] = append(candidates[n.Upstream.Service], pick.Candidate{
			Host: n.Host, Place: n.Place, Node: n.Address, Slots: n.Upstream.Slots, ReadySince: p.coldSince(n, now),
		})
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
}

// coldSince returns when the node's instance was first seen if it is still cold,
// otherwise zero.
func (p *proxySnapshotBuilder) coldSince(n fleet.Node, now time.Time) time.Time {
	if n.Upstream.ColdRemaining <= 0 || p.loadedAt.IsZero() || now.Equal(p.loadedAt) {
		return time.Time{}
	}
	since, known := p.firstSeen[n.Upstream.Instance]
	if !known {
		since = now
		p.firstSeen[n.Upstream.Instance] = since
	}
	return since
}
