package egress_test

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/egress"
)

// linkRate is the rate of the tested link in bytes per second.
const linkRate = 1000_000

// newCountingWriter returns a write function that reports the bytes to the link, as a
// connection does.
func newCountingWriter(l *egress.Link, sent *bytes.Buffer) func(part []byte) error {
	return func(part []byte) error {
		l.BytesWritten(len(part))
		sent.Write(part)
		return nil
	}
}

func TestLargeMessagesAreSentAtLinkRate(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		// short is the size of the short messages that are sent every 10 ms, in bytes.
		short    int
		messages int
		// least and most limit the total time of all messages.
		least, most time.Duration
	}{
		{name: "no limit", messages: 10, most: time.Millisecond},
		{name: "one message", rate: linkRate, messages: 1, least: 80 * time.Millisecond, most: 100 * time.Millisecond},
		{name: "three messages", rate: linkRate, messages: 3, least: 270 * time.Millisecond, most: 300 * time.Millisecond},
		{name: "one message while short ones take half of the rate", rate: linkRate, short: 5000, messages: 1, least: 150 * time.Millisecond, most: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &egress.Link{}
				l.SetRate(tt.rate)
				body := bytes.Repeat([]byte("x"), 100_000)
				start := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, tt.messages)
				sent := make([]bytes.Buffer, tt.messages)
				for i := range tt.messages {
					go func() { ended <- l.Reserve().Send(ctx, body, newCountingWriter(l, &sent[i])) }()
				}
				var others sync.WaitGroup
				others.Go(func() {
					for ctx.Err() == nil && tt.short > 0 {
						l.BytesWritten(tt.short)
						time.Sleep(10 * time.Millisecond)
					}
				})
				for range tt.messages {
					assert.NilError(t, <-ended)
				}
				took := time.Since(start)
				cancel()
				others.Wait()
				assert.Assert(t, took >= tt.least && took <= tt.most, "%v", took)
				for i := range sent {
					assert.Assert(t, bytes.Equal(sent[i].Bytes(), body))
				}
				assert.Equal(t, l.ExpectedWait(), time.Duration(0))
			})
		})
	}
}

func TestFailedTransferLetsNextOneProceed(t *testing.T) {
	errWrite := errors.New("write failed")
	tests := []struct {
		name string
		// end makes the first transfer fail.
		end  func(cancel context.CancelFunc) error
		want error
	}{
		{name: "caller disconnects", end: func(cancel context.CancelFunc) error { cancel(); return nil }, want: context.Canceled},
		{name: "write fails", end: func(context.CancelFunc) error { return errWrite }, want: errWrite},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &egress.Link{}
				l.SetRate(linkRate)
				ctx, cancel := context.WithCancel(t.Context())
				body := make([]byte, 100_000)
				first, second := make(chan error, 1), make(chan error, 1)
				go func() {
					first <- l.Reserve().Send(ctx, body, func(part []byte) error {
						l.BytesWritten(len(part))
						return tt.end(cancel)
					})
				}()
				synctest.Wait()
				var sent bytes.Buffer
				go func() { second <- l.Reserve().Send(t.Context(), body, newCountingWriter(l, &sent)) }()
				assert.Assert(t, errors.Is(<-first, tt.want))
				assert.NilError(t, <-second)
				assert.Equal(t, sent.Len(), len(body))
				assert.Equal(t, l.ExpectedWait(), time.Duration(0))
			})
		})
	}
}
