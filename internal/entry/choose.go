package entry

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/once"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// choose picks an upstream that was not tried, or any once all were. A request
// whose key must be honoured goes to the key's owner.
func (d *Dispatcher) choose(j *job) (candidate pick.Candidate, err error) {
	if j.keyed() {
		return d.chooseOwner(j)
	}
	candidate, err = d.pick(j, j.tried)
	if err != nil && len(j.tried) > 0 {
		candidate, err = d.pick(j, nil)
	}
	return candidate, err
}

func (d *Dispatcher) pick(j *job, tried []mesh.HostID) (candidate pick.Candidate, err error) {
	return d.Picker.Pick(time.Now(), pick.Request{
		Set: j.set, From: d.Place, Tried: tried, AllowOtherRegions: j.target.Settings.AllowCrossRegion, Priority: j.priority,
	})
}

// exhausted reports whether every upstream that the request may use was tried.
func (d *Dispatcher) exhausted(j *job) bool {
	if j.keyed() {
		_, found := j.owner()
		return !found
	}
	_, err := d.pick(j, j.tried)
	return err != nil
}

// keyed reports whether the request must run at most once for its key.
func (j *job) keyed() bool {
	return j.target.AtMostOnce && j.request.Key != ""
}

func (d *Dispatcher) chooseOwner(j *job) (candidate pick.Candidate, err error) {
	candidate, found := j.owner()
	if !found && len(j.tried) > 0 {
		candidate, found = j.set.Find(j.tried[0])
	}
	if !found {
		return candidate, &pick.NoUpstreamError{Service: j.target.Service, Known: len(j.set.Candidates()), Tried: len(j.tried)}
	}
	return candidate, nil
}

// owner returns the owner of the request's key, if it was not tried yet. With
// the platform as the store, any node may stand in for an owner that was tried.
func (j *job) owner() (candidate pick.Candidate, found bool) {
	if j.target.Settings.IdempotencyStore != tree.PlatformStore && len(j.tried) > 0 {
		return candidate, false
	}
	candidates := j.set.Candidates()
	hosts := make([]mesh.HostID, 0, len(candidates))
	for _, c := range candidates {
		if !j.wasTried(c.Host) {
			hosts = append(hosts, c.Host)
		}
	}
	host, found := once.Owner(j.target.Service, once.Shard(j.target.Service, j.request.Key), hosts)
	if !found {
		return candidate, false
	}
	return j.set.Find(host)
}

func (j *job) wasTried(host mesh.HostID) bool {
	for _, t := range j.tried {
		if t == host {
			return true
		}
	}
	return false
}
