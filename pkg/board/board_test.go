package board_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/board"
)

func ExampleBoard() {
	var (
		b      board.Board
		orders board.Inbox[int]
		total  board.Cell[int]
		print  board.Outbox[string]
	)
	print.Handle = func(line string) { fmt.Println(line) }
	b.Add(board.Controller{
		Name: "sum", Reads: []board.Ref{&orders}, Writes: []board.Ref{&total},
		Step: func(time.Time) {
			for _, n := range orders.Events() {
				total.Set(total.Get() + n)
			}
		},
	})
	b.Add(board.Controller{
		Name: "report", Reads: []board.Ref{&total}, Writes: []board.Ref{&print},
		Step: func(time.Time) { print.Send(fmt.Sprint("total ", total.Get())) },
	})
	b.Settle(time.Now())
	orders.Post(2)
	orders.Post(3)
	b.Settle(time.Now())
	// Output:
	// total 0
	// total 5
}

func TestUndeclaredAccessPanics(t *testing.T) {
	var declared, other board.Cell[int]
	tests := []struct {
		name string
		step func(now time.Time)
	}{
		{name: "read of an undeclared cell", step: func(time.Time) { other.Get() }},
		{name: "write of a cell declared to read", step: func(time.Time) { declared.Set(1) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b board.Board
			b.Add(board.Controller{Name: "owner", Writes: []board.Ref{&other}, Step: func(time.Time) {}})
			b.Add(board.Controller{Name: "bad", Reads: []board.Ref{&declared}, Step: tt.step})
			defer func() { assert.Assert(t, recover() != nil) }()
			b.Settle(time.Now())
		})
	}
}

func TestEveryReaderGetsEachEventOnce(t *testing.T) {
	var (
		b       board.Board
		inbox   board.Inbox[string]
		counter board.Cell[int]
		got     []string
	)
	b.Add(board.Controller{
		Name: "reader", Reads: []board.Ref{&inbox, &counter},
		Step: func(time.Time) { got = append(got, inbox.Events()...) },
	})
	b.Add(board.Controller{
		Name: "counter", Reads: []board.Ref{&inbox}, Writes: []board.Ref{&counter},
		Step: func(time.Time) { counter.Set(counter.Get() + 1) },
	})
	inbox.Post("a")
	b.Settle(time.Now())
	inbox.Post("b")
	b.Settle(time.Now())
	assert.DeepEqual(t, got, []string{"a", "b"})
}

func TestInboxRejectsEventsBeyondItsLimit(t *testing.T) {
	inbox := board.Inbox[int]{Limit: 1}
	assert.Assert(t, inbox.Post(1))
	assert.Assert(t, !inbox.Post(2))
}

func TestRunWakesOnAlarmAndPost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			b     board.Board
			alarm board.Alarm
			inbox board.Inbox[int]
			steps board.Cell[int]
		)
		b.Add(board.Controller{
			Name: "ticker", Reads: []board.Ref{&alarm, &inbox}, Writes: []board.Ref{&steps, &alarm},
			Step: func(now time.Time) {
				steps.Set(steps.Get() + 1)
				alarm.Set(now.Add(time.Second))
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			b.Run(ctx)
		}()
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, steps.Load(), 3)
		inbox.Post(1)
		synctest.Wait()
		assert.Equal(t, steps.Load(), 4)
		cancel()
		<-done
	})
}

// TestNoEventIsLaterThanItsStep guards against a step whose time was read before its events
// were collected: times that it computes from the events would be too late.
func TestNoEventIsLaterThanItsStep(t *testing.T) {
	const events = board.DefaultInboxLimit
	var (
		b     board.Board
		inbox board.Inbox[time.Time]
	)
	ctx, cancel := context.WithCancel(t.Context())
	received, early := 0, 0
	b.Add(board.Controller{
		Name: "receiver", Reads: []board.Ref{&inbox},
		Step: func(now time.Time) {
			for _, postedAt := range inbox.Events() {
				if received++; now.Before(postedAt) {
					early++
				}
			}
			if received == events {
				cancel()
			}
		},
	})
	go func() {
		for range events {
			inbox.Post(time.Now())
		}
	}()
	b.Run(ctx)
	assert.Equal(t, received, events)
	assert.Equal(t, early, 0)
}
