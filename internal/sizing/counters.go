package sizing

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/objapi"
)

// role is what a node does besides serving its host.
type role string

const (
	roleNode  role = "node"
	roleRelay role = "relay"
	roleLead  role = "lead"
)

func (t *site) role() role {
	switch {
	case t.status.Lead:
		return roleLead
	case t.status.Relay:
		return roleRelay
	default:
		return roleNode
	}
}

// reading is the state of a fleet's counters at one time.
type reading struct {
	at time.Time
	// usages and control hold the reading of each site, in order.
	usages  []usage
	control []float64
	// platform is what the platform counted.
	platform objapi.Stats
	// far is the bytes between the last region and the platform.
	far float64
	// crossing is the bytes between nodes of different regions, over pairs links.
	crossing float64
	pairs    int
	// crossingErr says why crossing could not be read.
	crossingErr error
}

// read reads every counter.
func (f *fleet) read(ctx context.Context) (r reading, err error) {
	r.usages, r.control = make([]usage, len(f.sites)), make([]float64, len(f.sites))
	r.at = time.Now()
	for i, t := range f.sites {
		if r.usages[i], err = t.process.usage(); err != nil {
			return r, err
		}
	}
	var group errgroup.Group
	for i, t := range f.sites {
		group.Go(func() (err error) {
			r.control[i], err = f.api.controlBytes(ctx, t.admin)
			return err
		})
	}
	if err = group.Wait(); err != nil {
		return r, err
	}
	r.far = float64(f.far.Bytes(faulty.ToTarget) + f.far.Bytes(faulty.FromTarget))
	r.crossing, r.pairs, r.crossingErr = f.crossing(ctx)
	r.platform, err = f.api.stats(ctx, f.platform)
	return r, err
}

// average is a mean with the highest.
type average struct {
	count     int
	sum, high float64
}

func (a *average) add(value float64) {
	a.count++
	a.sum += value
	a.high = max(a.high, value)
}

func (a *average) mean() float64 {
	if a.count == 0 {
		return 0
	}
	return a.sum / float64(a.count)
}

// rates are what a fleet spends a second while nothing happens.
type rates struct {
	control, reads, writes, far, crossing float64
}

// between returns the rates between two readings.
func between(from, to reading) (r rates) {
	seconds := to.at.Sub(from.at).Seconds()
	for i := range to.control {
		r.control += (to.control[i] - from.control[i]) / seconds
	}
	r.reads = float64(to.platform.Reads.Total-from.platform.Reads.Total) / seconds
	r.writes = float64(to.platform.Writes.Total-from.platform.Writes.Total) / seconds
	r.far = (to.far - from.far) / seconds
	r.crossing = (to.crossing - from.crossing) / seconds
	return r
}
