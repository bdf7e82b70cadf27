package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/board"
)

// tickInterval is the time between two collections of the traffic counters.
const tickInterval = time.Second

// tick requests a collection of the traffic threads' counters at a fixed interval.
type tick struct {
	ticks *board.Outbox[time.Time]
	alarm board.Alarm
}

func newTick(ticks *board.Outbox[time.Time]) board.Controller {
	t := &tick{ticks: ticks}
	return board.Controller{
		Name:   "tick",
		Reads:  []board.Ref{&t.alarm},
		Writes: []board.Ref{ticks, &t.alarm},
		Step:   t.step,
	}
}

func (t *tick) step(now time.Time) {
	t.ticks.Send(now)
	t.alarm.Set(now.Add(tickInterval))
}
