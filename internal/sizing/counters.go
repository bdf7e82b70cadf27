package sizing

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/objapi"
)

// role is the role of a node: a relay serves other nodes of its zone, and a lead also
// exchanges messages with other regions.
type role string

const (
	roleNode  role = "node"
	roleRelay role = "relay"
	roleLead  role = "lead"
)

func (h *host) role() role {
	switch {
	case h.status.Lead:
		return roleLead
	case h.status.Relay:
		return roleRelay
	default:
		return roleNode
	}
}

// counters is a sample of all counters of a fleet.
type counters struct {
	at time.Time
	// usages holds the resource use and control the control bytes of each host, in
	// the order of fleet.hosts.
	usages  []usage
	control []float64
	// platform holds the platform's own counters.
	platform objapi.Stats
	// lastRegionBytes counts the bytes between the last region and the platform.
	lastRegionBytes float64
	// interRegionBytes counts the bytes on open connections between nodes of different
	// regions, and regionPairs the pairs of regions that have such connections.
	interRegionBytes float64
	regionPairs      int
	// interRegionErr is why interRegionBytes could not be read, or nil.
	interRegionErr error
}

// readCounters reads all counters.
func (f *fleet) readCounters(ctx context.Context) (c counters, err error) {
	c.usages, c.control = make([]usage, len(f.hosts)), make([]float64, len(f.hosts))
	c.at = time.Now()
	for i, h := range f.hosts {
		if c.usages[i], err = h.process.usage(); err != nil {
			return c, err
		}
	}
	var group errgroup.Group
	for i, h := range f.hosts {
		group.Go(func() (err error) {
			c.control[i], err = f.api.controlBytes(ctx, h.adminAddr)
			return err
		})
	}
	if err = group.Wait(); err != nil {
		return c, err
	}
	c.lastRegionBytes = float64(f.lastRegionLink.Bytes(faulty.ToTarget) + f.lastRegionLink.Bytes(faulty.FromTarget))
	c.interRegionBytes, c.regionPairs, c.interRegionErr = f.readInterRegion(ctx)
	c.platform, err = f.api.stats(ctx, f.platform)
	return c, err
}

// summary accumulates values for their mean and maximum.
type summary struct {
	count        int
	sum, highest float64
}

func (s *summary) add(value float64) {
	s.count++
	s.sum += value
	s.highest = max(s.highest, value)
}

func (s *summary) mean() float64 {
	if s.count == 0 {
		return 0
	}
	return s.sum / float64(s.count)
}

// rates are the rates of a fleet's counters per second.
type rates struct {
	control, reads, writes, lastRegion, interRegion float64
}

// ratesBetween returns the rates between two samples.
func ratesBetween(from, to counters) (r rates) {
	seconds := to.at.Sub(from.at).Seconds()
	for i := range to.control {
		r.control += (to.control[i] - from.control[i]) / seconds
	}
	r.reads = float64(to.platform.Reads.Total-from.platform.Reads.Total) / seconds
	r.writes = float64(to.platform.Writes.Total-from.platform.Writes.Total) / seconds
	r.lastRegion = (to.lastRegionBytes - from.lastRegionBytes) / seconds
	r.interRegion = (to.interRegionBytes - from.interRegionBytes) / seconds
	return r
}
