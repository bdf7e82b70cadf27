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

// slowReceiver accepts a part each period, after it has accepted none until resume.
type slowReceiver struct {
	link   *egress.Link
	resume <-chan struct{}
	period time.Duration
	sent   int
}

func (r *slowReceiver) write(part []byte) error {
	<-r.resume
	time.Sleep(r.period)
	r.link.BytesWritten(len(part))
	r.sent += len(part)
	return nil
}

// TestStalledReceiverDelaysNoOtherTransfer guards against a transfer that keeps its turn
// on the link while its receiver accepts no data, or accepts it slowly: the messages for
// everybody else waited behind it.
func TestStalledReceiverDelaysNoOtherTransfer(t *testing.T) {
	const (
		bodyBytes = 100_000
		others    = 5
		// timeForOthers is what the others need at the rate of the link, and a tenth more.
		timeForOthers = others * bodyBytes * time.Second / linkRate * 11 / 10
		// stallTimeouts is what the slow receivers may cost the others together.
		stallTimeouts = 50 * time.Millisecond
	)
	tests := []struct {
		name string
		// receivers is the number of transfers whose receiver takes period for a part.
		receivers int
		period    time.Duration
		standing  bool
	}{
		{name: "one stands still", receivers: 1, standing: true},
		{name: "two stand still", receivers: 2, standing: true},
		{name: "one reads at a tenth of the rate", receivers: 1, period: 160 * time.Millisecond},
		{name: "two read at a tenth of the rate after a standstill", receivers: 2, period: 160 * time.Millisecond, standing: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &egress.Link{}
				l.SetRate(linkRate)
				body := make([]byte, bodyBytes)
				resume := make(chan struct{})
				if !tt.standing {
					close(resume)
				}
				slow := make([]slowReceiver, tt.receivers)
				slowEnded := make(chan error, tt.receivers)
				for i := range slow {
					slow[i] = slowReceiver{link: l, resume: resume, period: tt.period}
					go func() { slowEnded <- l.Reserve().Send(t.Context(), body, slow[i].write) }()
				}
				// A later message of the same size is sent after those that came before.
				time.Sleep(time.Millisecond)
				synctest.Wait()
				start := time.Now()
				ended := make(chan error, others)
				sent := make([]bytes.Buffer, others)
				for i := range others {
					go func() { ended <- l.Reserve().Send(t.Context(), body, newCountingWriter(l, &sent[i])) }()
				}
				for range others {
					assert.NilError(t, <-ended)
				}
				assert.Assert(t, time.Since(start) <= timeForOthers+stallTimeouts, "%v", time.Since(start))
				if tt.standing {
					assert.Equal(t, l.ExpectedWait(), time.Duration(0), "a stalled transfer counts as pending")
					close(resume)
				}
				for range slow {
					assert.NilError(t, <-slowEnded)
				}
				for i := range slow {
					assert.Equal(t, slow[i].sent, bodyBytes)
				}
				assert.Equal(t, l.Stalls(), uint64(tt.receivers))
				assert.Equal(t, l.ExpectedWait(), time.Duration(0))
			})
		})
	}
}

// TestMessageIsSentWhenDue guards against an answer that waits for its turn on the link
// beyond the timeout of its request.
func TestMessageIsSentWhenDue(t *testing.T) {
	tests := []struct {
		name string
		// due is when the message is due; zero means never.
		due  time.Duration
		want time.Duration
	}{
		{name: "due while another message is sent", due: 300 * time.Millisecond, want: 300 * time.Millisecond},
		{name: "due after its turn", due: 5 * time.Second, want: 998 * time.Millisecond},
		{name: "never due", want: 998 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &egress.Link{}
				l.SetRate(linkRate)
				var first, second bytes.Buffer
				ended := make(chan error, 1)
				go func() { ended <- l.Reserve().Send(t.Context(), make([]byte, 1_000_000), newCountingWriter(l, &first)) }()
				synctest.Wait()
				start, sendBy := time.Now(), time.Time{}
				if tt.due > 0 {
					sendBy = start.Add(tt.due)
				}
				// The second message is the longer one, so its turn comes last.
				assert.NilError(t, l.ReserveUntil(sendBy).Send(t.Context(), make([]byte, 1_100_000), func(part []byte) error {
					if second.Len() == 0 {
						assert.Check(t, (time.Since(start)-tt.want).Abs() < 20*time.Millisecond, "started after %v", time.Since(start))
					}
					return newCountingWriter(l, &second)(part)
				}))
				assert.NilError(t, <-ended)
				assert.Equal(t, second.Len(), 1_100_000)
			})
		})
	}
}
