// Package board is a blackboard: typed cells that controllers read and write
// on one control thread. Other threads read immutable snapshots of cells, post
// typed events to inboxes, and carry out what controllers put in outboxes.
package board

import (
	"sync/atomic"
	"time"
)

// Ref is a place on the board: a Cell, Inbox, Outbox or Alarm.
type Ref interface {
	attach(b *Board)
	revision() uint64
}

// source is embedded by every place on the board.
type source struct {
	// board is nil until a controller that names the place is added.
	board *Board
	// rev rises by one with each change; only the control thread writes it.
	rev uint64
}

func (s *source) attach(b *Board) {
	s.board = b
}

func (s *source) revision() uint64 {
	return s.rev
}

// Cell holds one value. The zero Cell holds the zero value of T at revision
// zero. What T refers to must not be changed after Set.
type Cell[T any] struct {
	source
	// current is nil until the first Set.
	current atomic.Pointer[T]
}

// Get returns the value. In a step, the controller must have declared the cell.
func (c *Cell[T]) Get() T {
	c.board.mayRead(c)
	return c.Load()
}

// Load returns the value last set. Any thread may call it.
func (c *Cell[T]) Load() (value T) {
	if p := c.current.Load(); p != nil {
		return *p
	}
	return value
}

// Set replaces the value. Only the control thread may call it, and in a step
// only a controller that declared to write the cell.
func (c *Cell[T]) Set(value T) {
	c.board.mayWrite(c)
	c.current.Store(&value)
	c.rev++
}

// Alarm asks for a step at a time. The zero Alarm is not set.
type Alarm struct {
	source
	// at is zero while the alarm is not set.
	at time.Time
}

// Set asks for a step of the alarm's readers at that time, in place of any
// earlier request.
func (a *Alarm) Set(at time.Time) {
	a.board.mayWrite(a)
	a.at = at
}

// SetIfEarlier asks for a step at that time unless one is due before it.
func (a *Alarm) SetIfEarlier(at time.Time) {
	if a.at.IsZero() || at.Before(a.at) {
		a.Set(at)
	}
}

func (a *Alarm) attach(b *Board) {
	if a.board == nil {
		b.alarms = append(b.alarms, a)
	}
	a.source.attach(b)
}

// fire marks the alarm's readers for a step when it is due.
func (a *Alarm) fire(now time.Time) {
	if a.at.IsZero() || now.Before(a.at) {
		return
	}
	a.at = time.Time{}
	a.rev++
}
