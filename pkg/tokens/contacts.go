package tokens

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// baselineTime is how long the shortest transit of a link is kept. The monotonic clocks of
// two hosts drift by some milliseconds in this time.
const baselineTime = 30 * time.Second

// Contacts counts the nodes that get their tokens through this one, by their reports. The
// zero Contacts has none.
type Contacts struct {
	reports map[mesh.HostID]*report
}

// report is the last report of a node.
type report struct {
	nodes int
	// validUntil is ReportAge after the report was sent.
	validUntil time.Time
	// link identifies the link on which the report arrived. baseline applies to it alone,
	// because a restarted node has another clock.
	link     uint64
	baseline baseline
}

// baseline is the lowest difference between the time at which a report arrived and the
// sender's time, in the current period and in the one before.
type baseline struct {
	// start is the time of the first report.
	start           time.Time
	current, former time.Duration
	// since is when the current period began.
	since time.Time
}

// Report records that a host reported a number of nodes on a link. A report that was
// delayed on its way, as those that a frozen process finds when it continues, counts from
// the time at which it was sent: the nodes may have changed to another owner since. Zero
// nodes leave the former report as it is.
func (c *Contacts) Report(now time.Time, host mesh.HostID, link uint64, sentAt time.Duration, nodes int) {
	if c.reports == nil {
		c.reports = make(map[mesh.HostID]*report)
	}
	r := c.reports[host]
	if r == nil {
		r = &report{link: link}
		c.reports[host] = r
	}
	if r.link != link {
		r.link, r.baseline = link, baseline{}
	}
	delay := r.baseline.delay(now, sentAt)
	if nodes <= 0 {
		return
	}
	r.nodes, r.validUntil = nodes, now.Add(ReportAge-delay)
}

// Nodes returns the number of nodes in all valid reports, and when the next one expires;
// zero if there is none.
func (c *Contacts) Nodes(now time.Time) (nodes int, next time.Time) {
	for host, r := range c.reports {
		if !now.Before(r.validUntil) {
			if now.Sub(r.validUntil) > 2*baselineTime {
				delete(c.reports, host)
			}
			continue
		}
		nodes += r.nodes
		if next.IsZero() || r.validUntil.Before(next) {
			next = r.validUntil
		}
	}
	return nodes, next
}

// Has reports whether a valid report of the host is known.
func (c *Contacts) Has(now time.Time, host mesh.HostID) bool {
	r := c.reports[host]
	return r != nil && now.Before(r.validUntil)
}

// delay returns how much longer than the fastest one a report was on its way.
func (b *baseline) delay(now time.Time, sentAt time.Duration) time.Duration {
	if b.start.IsZero() {
		b.start = now
	}
	difference := now.Sub(b.start) - sentAt
	switch {
	case b.since.IsZero():
		b.current, b.former, b.since = difference, difference, now
	case now.Sub(b.since) >= baselineTime:
		b.former, b.current, b.since = b.current, difference, now
	}
	b.current = min(b.current, difference)
	return difference - min(b.current, b.former)
}
