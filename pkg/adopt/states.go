package adopt

import (
	"fmt"
	"time"

	"github.com/qmuntal/stateless"
)

// State is a state of an Adopter.
type State string

// The states.
const (
	// StateIdle means that no version was offered yet.
	StateIdle State = "idle"
	// StateStaged means that a valid version is pending and its required services
	// are not checked yet. It does not outlast a call.
	StateStaged State = "staged"
	// StateWaiting means that a valid version is pending and the upstream sets of some
	// required services are unknown.
	StateWaiting State = "waiting"
	// StateInForce means that a version is in force and none is pending.
	StateInForce State = "inForce"
	// StateRefused means that none is pending and that the last offer, apart from
	// stale and repeated ones, was refused. An older version may be in force.
	StateRefused State = "refused"
)

// trigger is an event that may change the state.
type trigger string

const (
	stage  trigger = "stage"
	await  trigger = "await"
	apply  trigger = "apply"
	refuse trigger = "refuse"
)

// newStateMachine returns the state machine of an Adopter. A refusal while another
// version waits does not change the state.
func newStateMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachine(StateIdle)
	machine.Configure(StateIdle).
		Permit(stage, StateStaged).
		Permit(refuse, StateRefused)
	machine.Configure(StateStaged).
		Permit(await, StateWaiting).
		Permit(apply, StateInForce)
	machine.Configure(StateWaiting).
		Permit(stage, StateStaged).
		Permit(apply, StateInForce).
		Ignore(await).
		Ignore(refuse)
	machine.Configure(StateInForce).
		Permit(stage, StateStaged).
		Permit(refuse, StateRefused)
	machine.Configure(StateRefused).
		Permit(stage, StateStaged).
		Ignore(refuse)
	return machine
}

// fire passes an event to the state machine. It panics if the state does not permit
// the event, which would be a bug in this package.
func (a *Adopter[T]) fire(now time.Time, event trigger) {
	before := a.state()
	if err := a.stateMachine.Fire(event); err != nil {
		panic(fmt.Sprintf("adopt: %s while %s: %v", event, before, err))
	}
	if a.state() != before {
		a.since = now
	}
}

func (a *Adopter[T]) state() State {
	if a.stateMachine == nil {
		a.stateMachine = newStateMachine()
	}
	state, _ := a.stateMachine.MustState().(State)
	return state
}
