// Package board implements a blackboard: typed cells that controllers read and
// write on one control thread. Other threads read immutable snapshots of cells,
// post typed events to inboxes, and execute the commands that controllers send to
// outboxes.
package board

import (
	"sync/atomic"
	"time"
)

// Ref refers to an item on the board: a Cell, State, Inbox, Outbox or Alarm.
type Ref interface {
	attach(b *Board)
	revision() uint64
}

// refBase is embedded in every item on the board.
type refBase struct {
	// board is nil until a controller that declares the item is added.
	board *Board
	// rev increases by one with each change. Only the control thread writes it.
	rev uint64
}

func (r *refBase) attach(b *Board) {
	r.board = b
}

func (r *refBase) revision() uint64 {
	return r.rev
}

// Cell holds one value. The zero Cell holds the zero value of T at revision zero.
// Data that the value refers to must not be changed after Set.
type Cell[T any] struct {
	refBase
	// current is nil until the first Set.
	current atomic.Pointer[T]
}

// Get returns the value. During a step, the running controller must have declared
// the cell.
func (c *Cell[T]) Get() T {
	c.board.checkRead(c)
	return c.Load()
}

// Load returns the value that was last set. Any thread may call it.
func (c *Cell[T]) Load() (value T) {
	if p := c.current.Load(); p != nil {
		return *p
	}
	return value
}

// Set replaces the value. Only the control thread may call it. During a step, the
// running controller must have declared that it writes the cell.
func (c *Cell[T]) Set(value T) {
	c.board.checkWrite(c)
	c.current.Store(&value)
	c.rev++
}

// Alarm triggers a step at a given time. The zero Alarm is not set.
type Alarm struct {
	refBase
	// at is zero while the alarm is not set.
	at time.Time
}

// Set schedules a step of the controllers that read the alarm. It replaces any
// earlier time.
func (a *Alarm) Set(at time.Time) {
	a.board.checkWrite(a)
	a.at = at
}

// SetIfEarlier sets the alarm unless it is already set to that time or an earlier
// one.
func (a *Alarm) SetIfEarlier(at time.Time) {
	if a.at.IsZero() || at.Before(a.at) {
		a.Set(at)
	}
}

func (a *Alarm) attach(b *Board) {
	if a.board == nil {
		b.alarms = append(b.alarms, a)
	}
	a.refBase.attach(b)
}

// fire triggers the controllers that read the alarm if it is due.
func (a *Alarm) fire(now time.Time) {
	if a.at.IsZero() || now.Before(a.at) {
		return
	}
	a.at = time.Time{}
	a.rev++
}
