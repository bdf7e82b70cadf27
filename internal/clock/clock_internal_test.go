package clock

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// scriptedClocks returns readings that advance by step with each call.
type scriptedClocks struct {
	now, suspended, step time.Duration
	// pauses contains the pauses before the calls; missing is a clock that does not exist.
	pauses  []time.Duration
	missing int32
}

func (s *scriptedClocks) read(id int32) (time.Duration, error) {
	if id == s.missing {
		return 0, errors.New("no such clock")
	}
	s.now += s.step
	if len(s.pauses) > 0 {
		s.now += s.pauses[0]
		s.pauses = s.pauses[1:]
	}
	if id == unix.CLOCK_BOOTTIME {
		return s.now + s.suspended, nil
	}
	return s.now, nil
}

// TestSuspended guards against a process that was frozen between the readings of the two
// clocks, which looks like a suspension, and against systems without one of the clocks.
func TestSuspended(t *testing.T) {
	const none = -1
	tests := []struct {
		name   string
		clocks scriptedClocks
		// want is the result up to the steps of the readings.
		want time.Duration
	}{
		{name: "never suspended", clocks: scriptedClocks{missing: none}},
		{name: "suspended", clocks: scriptedClocks{suspended: time.Hour, missing: none}, want: time.Hour},
		{name: "frozen between the readings", clocks: scriptedClocks{suspended: time.Hour, missing: none, pauses: []time.Duration{0, time.Minute, 0, 0, 0, 0}}, want: time.Hour},
		{name: "no boot time", clocks: scriptedClocks{suspended: time.Hour, missing: unix.CLOCK_BOOTTIME}},
		{name: "no monotonic clock", clocks: scriptedClocks{suspended: time.Hour, missing: unix.CLOCK_MONOTONIC}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.clocks.step = time.Microsecond
			got := Boot{read: tt.clocks.read}.Suspended()
			assert.Assert(t, got >= tt.want && got <= tt.want+maxReadGap, "%v", got)
		})
	}
}
