package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// proxyLifecycle runs the state machine of the proxy's life cycle.
type proxyLifecycle struct {
	*cells.Proxy
	life lifecycle
}

func newProxyLifecycle(set *cells.Proxy) board.Controller {
	p := &proxyLifecycle{Proxy: set, life: lifecycle{machine: newLifecycleMachine()}}
	return board.Controller{
		Name:   "serve",
		Reads:  []board.Ref{&set.LifecycleCommands, &set.ActiveVersion, &set.Roster},
		Writes: []board.Ref{&set.Phase},
		Step:   p.step,
	}
}

func (p *proxyLifecycle) step(time.Time) {
	if p.ActiveVersion.Get().Plan != nil && p.Roster.Read().Loaded {
		p.life.fire(configured)
	}
	for _, o := range p.LifecycleCommands.Events() {
		switch o {
		case cells.Drain:
			p.life.fire(drain)
		case cells.Withdraw:
			p.life.fire(withdraw)
		}
	}
	if phase := p.life.phase(); phase != p.Phase.Get() {
		p.Phase.Set(phase)
	}
}
