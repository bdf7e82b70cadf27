package pick

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// linkBurstDuration is the time for which unused rate accumulates.
const linkBurstDuration = time.Second

// linkReservePercent is the percentage of a full bucket that requests of a priority
// must leave to more urgent ones.
var linkReservePercent = [mesh.NumPriorities]int{mesh.Low: 50, mesh.Normal: 25, mesh.High: 10, mesh.Urgent: 0}

// linkBudget is a token bucket of bytes for the traffic between regions. The zero
// linkBudget has no limit.
type linkBudget struct {
	// rate is in bytes per second; 0 means no limit.
	rate int
	// tokens is in bytes, between minus one burst and one burst.
	tokens float64
	// refilledAt is when tokens was last refilled.
	refilledAt time.Time
}

func (l *linkBudget) configure(rate int) {
	rate = max(rate, 0)
	if l.rate == 0 {
		l.tokens = burstSize(rate)
	}
	l.rate = rate
	l.tokens = min(l.tokens, burstSize(rate))
}

func burstSize(rate int) float64 {
	return float64(rate) * linkBurstDuration.Seconds()
}

func (l *linkBudget) spend(bytes int) {
	l.tokens = max(l.tokens-float64(bytes), -burstSize(l.rate))
}

// allows reports whether a request of the priority may be sent to another region
// now.
func (l *linkBudget) allows(now time.Time, priority mesh.Priority) bool {
	if l.rate == 0 {
		return true
	}
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		if !l.refilledAt.IsZero() {
			l.tokens = min(l.tokens+float64(l.rate)*elapsed.Seconds(), burstSize(l.rate))
		}
		l.refilledAt = now
	}
	reserve := linkReservePercent[min(priority, mesh.NumPriorities-1)]
	return l.tokens > burstSize(l.rate)*float64(reserve)/100
}
