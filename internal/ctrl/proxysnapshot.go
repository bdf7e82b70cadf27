package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// proxySnapshotBuilder builds the immutable snapshot that the proxy's traffic threads
// read.
type proxySnapshotBuilder struct {
	*cells.Proxy
	alarm board.Alarm
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
	// presence tells which releases of each service are present.
	presence map[mesh.Service]*shift.Presence
	// lastResort contains the services whose candidates are upstreams that an order keeps
	// requests from, and lastResortAt the time at which such upstreams of another service
	// may become candidates; zero if there are none.
	lastResort   map[mesh.Service]bool
	lastResortAt time.Time
}

func newProxySnapshotBuilder(proxy *cells.Proxy) board.Controller {
	p := &proxySnapshotBuilder{Proxy: proxy, firstSeen: make(map[string]time.Time), position: -1, presence: make(map[mesh.Service]*shift.Presence)}
	return board.Controller{
		Name:   "proxySnapshotBuilder",
		Reads:  []board.Ref{&proxy.ActiveVersion, &proxy.Roster, &proxy.LocalUpstream, &proxy.BesideUpstream, &proxy.Rollouts, &proxy.Phase, &proxy.TokenSource, &p.alarm},
		Writes: []board.Ref{&proxy.Snapshot, &proxy.SnapshotUpdates, &proxy.LogEvents, &p.alarm},
		Step:   p.step,
	}
}

func (p *proxySnapshotBuilder) step(now time.Time) {
	version, upstream, beside := p.ActiveVersion.Get(), p.LocalUpstream.Get(), p.BesideUpstream.Get()
	p.rebuildSets(now)
	p.Snapshot.Set(cells.ProxySnapshot{
		Plan: version.Plan, CandidateSets: p.candidateSets, LocalUpstream: upstream.Upstream, AdmitUntil: upstream.AdmitUntil,
		BesideUpstream: beside.Upstream, BesideAdmitUntil: beside.AdmitUntil, Trials: p.trials(), LastResort: p.lastResort, CountOutcomes: p.Rollouts.Get().Running,
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

// trials returns the trials with their candidates.
func (p *proxySnapshotBuilder) trials() map[mesh.Service]cells.ServiceTrial {
	trials := make(map[mesh.Service]cells.ServiceTrial, len(p.trialSets))
	rollouts := p.Rollouts.Get()
	for service, set := range p.trialSets {
		trials[service] = cells.ServiceTrial{Trial: rollouts.Trials[service], Set: set}
	}
	return trials
}
