package link_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/link"
)

// rate is that of the link under test, in bytes a second.
const rate = 1000_000

var start = time.Unix(1000, 0)

func TestLongMessagesWaitForWhatShortOnesLeave(t *testing.T) {
	tests := []struct {
		name string
		// short and long are sent one after the other at the start, in bytes.
		short, long int
		after       time.Duration
		want        bool
	}{
		{name: "an idle link", want: true},
		{name: "behind short messages", short: 100_000, want: false},
		{name: "once the short messages have left", short: 100_000, after: 100 * time.Millisecond, want: true},
		{name: "behind its own last step", long: 16 << 10, want: false},
		{name: "once its last step has left", long: 16 << 10, after: 17 * time.Millisecond, want: true},
		{name: "behind both", short: 50_000, long: 50_000, after: 90 * time.Millisecond, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l link.Pacer
			l.SetRate(rate)
			l.RecordSent(start, tt.short)
			l.RecordSent(start, tt.long)
			assert.Equal(t, l.Delay(start.Add(tt.after)) <= 0, tt.want)
		})
	}
}

func TestLinkSavesNothingUpWhileIdle(t *testing.T) {
	var l link.Pacer
	l.SetRate(rate)
	l.RecordSent(start, 1)
	later := start.Add(time.Hour)
	l.RecordSent(later, 100_000)
	assert.Assert(t, l.Delay(later) > 90*time.Millisecond)
}

func TestTurnsAreTakenOneAfterTheOther(t *testing.T) {
	tests := []struct {
		name string
		// sizes are queued one a millisecond.
		sizes []int64
		want  []int
	}{
		{name: "in the order of arrival", sizes: []int64{90_000, 90_000, 90_000}, want: []int{0, 1, 2}},
		{name: "a small one before a large one", sizes: []int64{500_000, 20_000, 90_000}, want: []int{1, 2, 0}},
		{name: "a large one before small ones that came much later", sizes: []int64{30_000, 20_000, 29_500}, want: []int{1, 0, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l link.Pacer
			l.SetRate(rate)
			turns := make([]*link.Transfer, len(tt.sizes))
			for i, size := range tt.sizes {
				turns[i] = l.Reserve(0)
				l.Enqueue(start.Add(time.Duration(i)*time.Millisecond), turns[i], size)
			}
			for _, i := range tt.want {
				assert.Assert(t, l.IsNext(turns[i]))
				l.Remove(turns[i])
			}
			assert.Equal(t, l.ExpectedWait(), time.Duration(0))
		})
	}
}

func TestLongMessageThatWouldComeTooLateDoesNotFit(t *testing.T) {
	tests := []struct {
		name   string
		booked int64
		bytes  int64
		within time.Duration
		want   bool
	}{
		{name: "nothing before it", bytes: 1 << 30, within: time.Millisecond, want: true},
		{name: "in time", booked: 85_000, bytes: 85_000, within: 201 * time.Millisecond, want: true},
		{name: "too late", booked: 85_000, bytes: 85_000, within: 199 * time.Millisecond, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l link.Pacer
			l.SetRate(rate)
			l.Reserve(tt.booked)
			assert.Equal(t, l.FitsWithin(tt.bytes, tt.within), tt.want)
		})
	}
}

func TestWhatIsOwedFollowsEachTurn(t *testing.T) {
	var l link.Pacer
	l.SetRate(rate)
	turn := l.Reserve(85_000)
	assert.Equal(t, l.ExpectedWait(), 100*time.Millisecond)
	l.Enqueue(start, turn, 170_000)
	assert.Equal(t, l.ExpectedWait(), 200*time.Millisecond)
	l.RecordProgress(turn, 85_000)
	assert.Equal(t, l.ExpectedWait(), 100*time.Millisecond)
	l.Remove(turn)
	assert.Equal(t, l.ExpectedWait(), time.Duration(0))
}
