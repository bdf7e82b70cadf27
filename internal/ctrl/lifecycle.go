package ctrl

import (
	"time"

	"github.com/qmuntal/stateless"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// settleTime is how long a draining node goes on after it told its relay, so
// that callers' nodes hear of it before its sessions end.
const settleTime = 2 * time.Second

// lifeTrigger moves a node between phases.
type lifeTrigger string

const (
	configured lifeTrigger = "configured"
	drain      lifeTrigger = "drain"
	withdraw   lifeTrigger = "withdraw"
	drained    lifeTrigger = "drained"
)

// life is the node's life cycle.
type life struct {
	*cells.Set
	alarm   board.Alarm
	machine *stateless.StateMachine
	// stopAt is when a draining node has told everyone.
	stopAt time.Time
}

func newLife(set *cells.Set) board.Controller {
	l := &life{Set: set, machine: newLifeMachine()}
	return board.Controller{
		Name:   "life",
		Reads:  []board.Ref{&set.LifecycleCommands, &set.Config, &l.alarm},
		Writes: []board.Ref{&set.Phase, &l.alarm},
		Step:   l.step,
	}
}

// newLifeMachine returns the machine of a node's life cycle.
func newLifeMachine() *stateless.StateMachine {
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

func (l *life) step(now time.Time) {
	if l.Config.Get().Manifest.Version > 0 {
		l.fire(configured)
	}
	for _, o := range l.LifecycleCommands.Events() {
		if o == cells.Drain {
			l.fire(drain)
		}
	}
	if l.phase() == cells.Draining {
		l.stopWhenTold(now)
	}
	if phase := l.phase(); phase != l.Phase.Get() {
		l.Phase.Set(phase)
	}
}

func (l *life) stopWhenTold(now time.Time) {
	if l.stopAt.IsZero() {
		l.stopAt = now.Add(settleTime)
	}
	if now.Before(l.stopAt) {
		l.alarm.SetIfEarlier(l.stopAt)
		return
	}
	l.fire(drained)
}

func (l *life) phase() cells.Phase {
	phase, _ := l.machine.MustState().(cells.Phase)
	return phase
}

// fire moves the machine; every phase permits or ignores every trigger that it can meet.
func (l *life) fire(t lifeTrigger) {
	if ok, _ := l.machine.CanFire(t); ok {
		_ = l.machine.Fire(t)
	}
}
