package gate

import (
	"math"
	"time"
)

// offeredLoadTimeConstant is the time constant of the moving average.
const offeredLoadTimeConstant = time.Second

// offeredLoad is the offered load of one priority: how many slots its recent
// arrivals would keep busy, as an exponentially weighted moving average. The zero
// offeredLoad is an offered load of 0.
type offeredLoad struct {
	// slots is the average at the time updated.
	slots   float64
	updated time.Time
}

// add counts an arrival that needs a slot for serviceTime.
func (o *offeredLoad) add(now time.Time, serviceTime time.Duration) {
	o.slots, o.updated = o.at(now)+float64(serviceTime)/float64(offeredLoadTimeConstant), now
}

// at returns the average, decayed to now.
func (o *offeredLoad) at(now time.Time) float64 {
	if o.slots == 0 {
		return 0
	}
	return o.slots * math.Exp(-float64(now.Sub(o.updated))/float64(offeredLoadTimeConstant))
}
