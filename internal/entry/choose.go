package entry

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/once"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// choose chooses an upstream that was not tried yet, or any upstream if all were
// tried. A request that must run at most once goes to the owner of its key.
func (d *Dispatcher) choose(s *requestState) (candidate pick.Candidate, err error) {
	if s.atMostOnce() {
		return d.chooseKeyOwner(s)
	}
	candidate, err = d.pick(s, s.tried)
	if err != nil && len(s.tried) > 0 {
		candidate, err = d.pick(s, nil)
	}
	return candidate, err
}

func (d *Dispatcher) pick(s *requestState, tried []mesh.HostID) (candidate pick.Candidate, err error) {
	return d.Picker.Pick(time.Now(), pick.Request{
		Set: s.upstreams, From: d.Place, Tried: tried, AllowCrossRegion: s.target.Settings.AllowCrossRegion, Priority: s.priority,
	})
}

// allTried reports whether all upstreams that the request may use were tried.
func (d *Dispatcher) allTried(s *requestState) bool {
	if s.atMostOnce() {
		_, found := s.untriedOwner()
		return !found
	}
	_, err := d.pick(s, s.tried)
	return err != nil
}

// atMostOnce reports whether requests with the same key must run at most once.
func (s *requestState) atMostOnce() bool {
	return s.target.AtMostOnce && s.request.Key != ""
}

func (d *Dispatcher) chooseKeyOwner(s *requestState) (candidate pick.Candidate, err error) {
	candidate, found := s.untriedOwner()
	if !found && len(s.tried) > 0 {
		candidate, found = s.upstreams.Find(s.tried[0])
	}
	if !found {
		return candidate, &pick.NoUpstreamError{Service: s.target.Service, Known: len(s.upstreams.Candidates()), Tried: len(s.tried)}
	}
	return candidate, nil
}

// untriedOwner returns the owner of the request's key if it was not tried yet. If
// claims are stored in the platform, any node may replace an owner that was
// tried, because the claim is visible to all of them.
func (s *requestState) untriedOwner() (candidate pick.Candidate, found bool) {
	if s.target.Settings.IdempotencyStore != tree.PlatformStore && len(s.tried) > 0 {
		return candidate, false
	}
	candidates := s.upstreams.Candidates()
	hosts := make([]mesh.HostID, 0, len(candidates))
	for _, c := range candidates {
		if !s.wasTried(c.Host) {
			hosts = append(hosts, c.Host)
		}
	}
	host, found := once.Owner(s.target.Service, once.Shard(s.target.Service, s.request.Key), hosts)
	if !found {
		return candidate, false
	}
	return s.upstreams.Find(host)
}

func (s *requestState) wasTried(host mesh.HostID) bool {
	for _, t := range s.tried {
		if t == host {
			return true
		}
	}
	return false
}
