package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// proxyLifecycle runs the state machine of the proxy's life cycle.
type proxyLifecycle struct {
	*cells.Proxy
	lifecycle lifecycle
}

func newProxyLifecycle(proxy *cells.Proxy) board.Controller {
	p := &proxyLifecycle{Proxy: proxy, lifecycle: lifecycle{machine: newLifecycleMachine()}}
	return board.Controller{
		Name:   "proxyLifecycle",
		Reads:  []board.Ref{&proxy.LifecycleCommands, &proxy.ActiveVersion, &proxy.Roster},
		Writes: []board.Ref{&proxy.Phase},
		Step:   p.step,
	}
}

func (p *proxyLifecycle) step(time.Time) {
	if p.ActiveVersion.Get().Plan != nil && p.Roster.Read().Loaded {
		p.lifecycle.fire(configured)
	}
	for _, c := range p.LifecycleCommands.Events() {
		switch c {
		case cells.Drain:
			p.lifecycle.fire(drain)
		case cells.Withdraw:
			p.lifecycle.fire(withdraw)
		}
	}
	if phase := p.lifecycle.phase(); phase != p.Phase.Get() {
		p.Phase.Set(phase)
	}
}
