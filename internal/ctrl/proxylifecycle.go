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
	alarm     board.Alarm
	// loadedAt is when the version and the records were loaded; zero before.
	loadedAt time.Time
}

// rolloutGrace is how much longer than for the records a proxy waits at its start for the
// orders to move services. Without them, it could send requests to a release that was
// rolled back.
const rolloutGrace = time.Second

func newProxyLifecycle(proxy *cells.Proxy) board.Controller {
	p := &proxyLifecycle{Proxy: proxy, lifecycle: lifecycle{machine: newLifecycleMachine()}}
	return board.Controller{
		Name:   "proxyLifecycle",
		Reads:  []board.Ref{&proxy.LifecycleCommands, &proxy.ActiveVersion, &proxy.Roster, &proxy.Rollouts, &p.alarm},
		Uses:   []board.Ref{&proxy.Self},
		Writes: []board.Ref{&proxy.Phase, &p.alarm},
		Step:   p.step,
	}
}

func (p *proxyLifecycle) step(now time.Time) {
	if p.isLoaded(now) {
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

// isLoaded reports whether the proxy knows enough to serve requests.
func (p *proxyLifecycle) isLoaded(now time.Time) bool {
	if p.ActiveVersion.Get().Plan == nil || !p.Roster.Read().Loaded {
		return false
	}
	if p.loadedAt.IsZero() {
		p.loadedAt = now
	}
	if !p.Self.Get().DirectRollouts || p.Rollouts.Get().Loaded || now.Sub(p.loadedAt) >= rolloutGrace {
		return true
	}
	p.alarm.SetIfEarlier(p.loadedAt.Add(rolloutGrace))
	return false
}
