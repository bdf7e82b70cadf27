package gate

import (
	"math"
	"time"
)

// demandTime is the time over which demand is averaged.
const demandTime = time.Second

// demand is how many slots the offers of late would keep busy. The zero demand
// is none.
type demand struct {
	// slots is the mean as of that time.
	slots float64
	since time.Time
}

// add takes in an offer that needs a slot for that long.
func (d *demand) add(now time.Time, need time.Duration) {
	d.slots, d.since = d.at(now)+float64(need)/float64(demandTime), now
}

// at returns the demand as it counts now.
func (d *demand) at(now time.Time) float64 {
	if d.slots == 0 {
		return 0
	}
	return d.slots * math.Exp(-float64(now.Sub(d.since))/float64(demandTime))
}
