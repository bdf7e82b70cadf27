package pick

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// linkBurst is how long the link's rate may be saved up.
const linkBurst = time.Second

// linkReserve holds the percent of a full bucket that each priority leaves to
// more urgent ones.
var linkReserve = [mesh.NumPriorities]int{mesh.Low: 50, mesh.Normal: 25, mesh.High: 10, mesh.Urgent: 0}

// link is a token bucket of bytes for the link between regions. The zero link
// has no bound.
type link struct {
	// rate is in bytes a second; 0 means no bound.
	rate int
	// level is in bytes, at most one burst, and at least minus one burst.
	level float64
	// filled is when level was last brought up to date.
	filled time.Time
}

func (l *link) configure(rate int) {
	rate = max(rate, 0)
	if l.rate == 0 {
		l.level = burst(rate)
	}
	l.rate = rate
	l.level = min(l.level, burst(rate))
}

func burst(rate int) float64 {
	return float64(rate) * linkBurst.Seconds()
}

func (l *link) spend(bytes int) {
	l.level = max(l.level-float64(bytes), -burst(l.rate))
}

// allows reports whether work of that priority may still cross the link.
func (l *link) allows(now time.Time, priority mesh.Priority) bool {
	if l.rate == 0 {
		return true
	}
	if elapsed := now.Sub(l.filled); elapsed > 0 {
		if !l.filled.IsZero() {
			l.level = min(l.level+float64(l.rate)*elapsed.Seconds(), burst(l.rate))
		}
		l.filled = now
	}
	reserve := linkReserve[min(priority, mesh.NumPriorities-1)]
	return l.level > burst(l.rate)*float64(reserve)/100
}
