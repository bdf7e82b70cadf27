package board

import (
	"context"
	"fmt"
	"time"
)

// maxRounds bounds the rounds of one Settle. Exceeding it means that two
// controllers trigger each other endlessly.
const maxRounds = 1000

// Controller makes one kind of decision: a step that reads and writes the items
// it declares.
type Controller struct {
	// Name is unique on a board and appears in logs and panics.
	Name string
	// Reads lists the items that Step reads and whose changes trigger a step.
	Reads []Ref
	// Uses lists the items that Step reads but whose changes alone do not trigger
	// a step.
	Uses []Ref
	// Writes lists the items that Step may read and write. Items that hold the
	// controller's own state must be listed only here, or its own writes would
	// trigger another step.
	Writes []Ref
	// Step makes the decision. It runs on the control thread, performs no I/O and
	// never blocks.
	Step func(now time.Time)
}

// controllerState is a controller with the state that the board keeps for it.
type controllerState struct {
	Controller
	// seenRevisions holds the revision of each item of Reads at the last step.
	seenRevisions []uint64
	// writable has a key for each item that Step may read; the value is true if
	// Step may also write the item.
	writable map[Ref]bool
	// neverStepped is true until the first step.
	neverStepped bool
}

// Board runs controllers on one thread. The zero Board is ready to use.
type Board struct {
	controllers []*controllerState
	alarms      []*Alarm
	inboxes     []interface{ collect() }
	outboxes    []interface{ flush() }
	// running is the controller whose step is running, nil between steps.
	running *controllerState
	// wakeup holds at most one pending wake-up; nil until the first controller is
	// added.
	wakeup chan struct{}
}

// Add adds a controller to the board. All controllers must be added before Run or
// the first Settle. They are stepped in the order in which they were added.
func (b *Board) Add(controller Controller) {
	if b.wakeup == nil {
		b.wakeup = make(chan struct{}, 1)
	}
	c := &controllerState{Controller: controller, writable: make(map[Ref]bool), neverStepped: true}
	c.seenRevisions = make([]uint64, len(controller.Reads))
	for _, r := range controller.Reads {
		r.attach(b)
		c.writable[r] = false
	}
	for _, r := range controller.Uses {
		r.attach(b)
		c.writable[r] = false
	}
	for _, r := range controller.Writes {
		r.attach(b)
		c.writable[r] = true
	}
	b.controllers = append(b.controllers, c)
}

// Run calls Settle whenever an event is posted or an alarm is due, until the
// context is canceled. The calling goroutine becomes the control thread.
func (b *Board) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wakeup:
		case <-timer.C:
		}
		// The time is read after the events were collected. If the process is frozen
		// between the two, no event is later than the time at which it is handled.
		b.collect()
		next := b.settleCollected(time.Now())
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(time.Until(next))
		}
	}
}

// Settle collects posted events and due alarms, steps every controller whose
// reads changed until none remains, then flushes the outboxes. It returns the
// time of the earliest alarm, or zero if no alarm is set.
func (b *Board) Settle(now time.Time) (next time.Time) {
	b.collect()
	return b.settleCollected(now)
}

func (b *Board) collect() {
	for _, i := range b.inboxes {
		i.collect()
	}
}

func (b *Board) settleCollected(now time.Time) (next time.Time) {
	for _, a := range b.alarms {
		a.fire(now)
	}
	b.stepAll(now)
	for _, o := range b.outboxes {
		o.flush()
	}
	return b.earliestAlarm()
}

func (b *Board) stepAll(now time.Time) {
	for range maxRounds {
		stepped := false
		for _, c := range b.controllers {
			if !c.needsStep() {
				continue
			}
			b.running = c
			c.Step(now)
			b.running = nil
			stepped = true
		}
		if !stepped {
			return
		}
	}
	panic(fmt.Sprintf("board: controllers did not settle within %d rounds", maxRounds))
}

// needsStep reports whether an item that the controller reads changed since its
// last step. It records the revisions that the step is about to see.
func (c *controllerState) needsStep() bool {
	changed := c.neverStepped
	c.neverStepped = false
	for i, r := range c.Reads {
		if rev := r.revision(); rev != c.seenRevisions[i] {
			c.seenRevisions[i] = rev
			changed = true
		}
	}
	return changed
}

func (b *Board) earliestAlarm() (next time.Time) {
	for _, a := range b.alarms {
		if a.at.IsZero() {
			continue
		}
		if next.IsZero() || a.at.Before(next) {
			next = a.at
		}
	}
	return next
}

// wake makes Run call Settle again. It does nothing if b is nil.
func (b *Board) wake() {
	if b == nil {
		return
	}
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// checkRead panics if the running controller did not declare the item.
func (b *Board) checkRead(item Ref) {
	if b == nil || b.running == nil {
		return
	}
	if _, ok := b.running.writable[item]; !ok {
		panic(fmt.Sprintf("board: controller %s reads a %T it did not declare", b.running.Name, item))
	}
}

// checkWrite panics if the running controller did not declare that it writes the
// item.
func (b *Board) checkWrite(item Ref) {
	if b == nil || b.running == nil {
		return
	}
	if !b.running.writable[item] {
		panic(fmt.Sprintf("board: controller %s writes a %T it did not declare", b.running.Name, item))
	}
}
