package adopt

import (
	"fmt"
	"time"

	"github.com/qmuntal/stateless"
)

// State is a stage of the adoption of versions.
type State string

// The states of an adopter.
const (
	// StateIdle has seen no version.
	StateIdle State = "idle"
	// StateStaged holds a verified version that is not examined for its needs yet.
	StateStaged State = "staged"
	// StateWaiting holds a verified version that lacks upstream sets.
	StateWaiting State = "waiting"
	// StateInForce has nothing pending.
	StateInForce State = "inForce"
	// StateRefused has nothing pending and refused the last version offered.
	StateRefused State = "refused"
)

// trigger is what moves an adopter between states.
type trigger string

const (
	stage  trigger = "stage"
	await  trigger = "await"
	apply  trigger = "apply"
	refuse trigger = "refuse"
)

// newMachine returns the machine of version adoption. A refusal while a version
// waits leaves that version waiting.
func newMachine() *stateless.StateMachine {
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

// fire moves the machine on. A trigger that the state does not permit is a
// fault of this package.
func (a *Adopter[T]) fire(now time.Time, move trigger) {
	before := a.state()
	if err := a.machine.Fire(move); err != nil {
		panic(fmt.Sprintf("adopt: %s while %s: %v", move, before, err))
	}
	if a.state() != before {
		a.since = now
	}
}

func (a *Adopter[T]) state() State {
	if a.machine == nil {
		a.machine = newMachine()
	}
	state, _ := a.machine.MustState().(State)
	return state
}
