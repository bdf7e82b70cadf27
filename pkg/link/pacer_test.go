package link_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/link"
)

// rate is the rate of the link in bytes per second.
const rate = 1000_000

var start = time.Unix(1000, 0)

func TestDelay(t *testing.T) {
	tests := []struct {
		name string
		// short and long are the bytes of short and long messages sent at the start.
		short, long int
		after       time.Duration
		want        bool
	}{
		{name: "idle link", want: true},
		{name: "backlog of short messages", short: 100_000, want: false},
		{name: "backlog of short messages has drained", short: 100_000, after: 100 * time.Millisecond, want: true},
		{name: "backlog of long messages", long: 16 << 10, want: false},
		{name: "backlog of long messages has drained", long: 16 << 10, after: 17 * time.Millisecond, want: true},
		{name: "backlog of both", short: 50_000, long: 50_000, after: 90 * time.Millisecond, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p link.Pacer
			p.SetRate(rate)
			p.RecordSent(start, tt.short)
			p.RecordSent(start, tt.long)
			assert.Equal(t, p.Delay(start.Add(tt.after)) <= 0, tt.want)
		})
	}
}

func TestIdleLinkSavesUpNoCredit(t *testing.T) {
	var p link.Pacer
	p.SetRate(rate)
	p.RecordSent(start, 1)
	later := start.Add(time.Hour)
	p.RecordSent(later, 100_000)
	assert.Assert(t, p.Delay(later) > 90*time.Millisecond)
}

func TestOrderOfTransfers(t *testing.T) {
	tests := []struct {
		name string
		// sizes are enqueued one per millisecond.
		sizes []int64
		want  []int
	}{
		{name: "equal sizes in order of arrival", sizes: []int64{90_000, 90_000, 90_000}, want: []int{0, 1, 2}},
		{name: "small before large", sizes: []int64{500_000, 20_000, 90_000}, want: []int{1, 2, 0}},
		{name: "large before small that arrived much later", sizes: []int64{30_000, 20_000, 29_500}, want: []int{1, 0, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p link.Pacer
			p.SetRate(rate)
			transfers := make([]*link.Transfer, len(tt.sizes))
			for i, size := range tt.sizes {
				transfers[i] = p.Reserve(0)
				p.Enqueue(start.Add(time.Duration(i)*time.Millisecond), transfers[i], size)
			}
			for _, i := range tt.want {
				assert.Assert(t, p.IsNext(transfers[i]))
				p.Remove(transfers[i])
			}
			assert.Equal(t, p.ExpectedWait(), time.Duration(0))
		})
	}
}

func TestFitsWithin(t *testing.T) {
	tests := []struct {
		name     string
		reserved int64
		bytes    int64
		within   time.Duration
		want     bool
	}{
		{name: "no other message pending", bytes: 1 << 30, within: time.Millisecond, want: true},
		{name: "in time", reserved: 85_000, bytes: 85_000, within: 201 * time.Millisecond, want: true},
		{name: "too late", reserved: 85_000, bytes: 85_000, within: 199 * time.Millisecond, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p link.Pacer
			p.SetRate(rate)
			p.Reserve(tt.reserved)
			assert.Equal(t, p.FitsWithin(tt.bytes, tt.within), tt.want)
		})
	}
}

func TestExpectedWaitFollowsTransfers(t *testing.T) {
	var p link.Pacer
	p.SetRate(rate)
	transfer := p.Reserve(85_000)
	assert.Equal(t, p.ExpectedWait(), 100*time.Millisecond)
	p.Enqueue(start, transfer, 170_000)
	assert.Equal(t, p.ExpectedWait(), 200*time.Millisecond)
	p.RecordProgress(transfer, 85_000)
	assert.Equal(t, p.ExpectedWait(), 100*time.Millisecond)
	p.Remove(transfer)
	assert.Equal(t, p.ExpectedWait(), time.Duration(0))
}
