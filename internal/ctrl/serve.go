package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// serve is the proxy's life cycle.
type serve struct {
	*cells.Proxy
	life lifecycle
}

func newServe(set *cells.Proxy) board.Controller {
	s := &serve{Proxy: set, life: lifecycle{machine: newLifecycleMachine()}}
	return board.Controller{
		Name:   "serve",
		Reads:  []board.Ref{&set.Ordered, &set.Held, &set.Roster},
		Writes: []board.Ref{&set.Phase},
		Step:   s.step,
	}
}

func (s *serve) step(time.Time) {
	if s.Held.Get().Plan != nil && s.Roster.Read().Loaded {
		s.life.fire(configured)
	}
	for _, o := range s.Ordered.Events() {
		switch o {
		case cells.Drain:
			s.life.fire(drain)
		case cells.Withdraw:
			s.life.fire(withdraw)
		}
	}
	if phase := s.life.phase(); phase != s.Phase.Get() {
		s.Phase.Set(phase)
	}
}
