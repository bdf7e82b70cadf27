package ctrl

import (
	"time"

	"github.com/qmuntal/stateless"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// drainDelay is how long a node keeps running after it starts to drain, so that the
// callers' nodes learn of it before the sessions to this node end.
const drainDelay = 2 * time.Second

// lifecycleTrigger is an event that moves a node or proxy to another phase.
type lifecycleTrigger string

const (
	configured lifecycleTrigger = "configured"
	drain      lifecycleTrigger = "drain"
	withdraw   lifecycleTrigger = "withdraw"
	drained    lifecycleTrigger = "drained"
)

// lifecycle keeps the phase of the node's life cycle.
type lifecycle struct {
	*cells.Node
	alarm   board.Alarm
	machine *stateless.StateMachine
	// stopAt is when a draining node stops; zero before it drains.
	stopAt time.Time
}

func newLifecycle(node *cells.Node) board.Controller {
	l := &lifecycle{Node: node, machine: newLifecycleMachine()}
	return board.Controller{
		Name:   "lifecycle",
		Reads:  []board.Ref{&node.LifecycleCommands, &node.Config, &l.alarm},
		Writes: []board.Ref{&node.Phase, &l.alarm},
		Step:   l.step,
	}
}

// newLifecycleMachine returns the state machine of a node's or a proxy's life cycle.
func newLifecycleMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(cells.Starting)
	m.Configure(cells.Starting).
		Permit(configured, cells.Serving).
		Permit(drain, cells.Draining)
	m.Configure(cells.Serving).
		Ignore(configured).
		Permit(drain, cells.Draining)
	m.Configure(cells.Draining).
		Ignore(configured).
		Ignore(drain).
		Permit(withdraw, cells.Withdrawn).
		Permit(drained, cells.Stopped)
	m.Configure(cells.Withdrawn).
		Ignore(configured).
		Ignore(drain).
		Ignore(withdraw).
		Permit(drained, cells.Stopped)
	m.Configure(cells.Stopped).
		Ignore(configured).
		Ignore(drain).
		Ignore(drained)
	return m
}

func (l *lifecycle) step(now time.Time) {
	if l.Config.Get().Manifest.Version > 0 {
		l.fire(configured)
	}
	for _, c := range l.LifecycleCommands.Events() {
		if c == cells.Drain {
			l.fire(drain)
		}
	}
	if l.phase() == cells.Draining {
		l.stopAfterDelay(now)
	}
	if phase := l.phase(); phase != l.Phase.Get() {
		l.Phase.Set(phase)
	}
}

// stopAfterDelay stops a draining node once drainDelay is over.
func (l *lifecycle) stopAfterDelay(now time.Time) {
	if l.stopAt.IsZero() {
		l.stopAt = now.Add(drainDelay)
	}
	if now.Before(l.stopAt) {
		l.alarm.SetIfEarlier(l.stopAt)
		return
	}
	l.fire(drained)
}

func (l *lifecycle) phase() cells.Phase {
	phase, _ := l.machine.MustState().(cells.Phase)
	return phase
}

// fire applies a trigger. Each phase permits or ignores every trigger that can
// occur in it; any other is dropped.
func (l *lifecycle) fire(t lifecycleTrigger) {
	if ok, _ := l.machine.CanFire(t); ok {
		_ = l.machine.Fire(t)
	}
}
