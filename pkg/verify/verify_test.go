package verify_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/verify"
)

// at returns the moment some seconds of running and of suspension after a fixed one.
func at(running, suspended time.Duration) verify.Moment {
	return verify.Moment{Time: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(running * time.Second), Suspended: suspended * time.Second}
}

// TestHeartbeatsConfirm guards against confirmations that are dated too late, which would
// let a revoked key be used.
func TestHeartbeatsConfirm(t *testing.T) {
	tests := []struct {
		name      string
		now       verify.Moment
		heartbeat verify.Heartbeat
		// wantAge is the age of the confirmation at now; zero for none.
		wantAge time.Duration
	}{
		{name: "valid", now: at(100, 0), heartbeat: verify.Heartbeat{Version: 7, Verified: true, Age: time.Second, ProbeSentAt: 98 * time.Second}, wantAge: 3 * time.Second},
		{name: "older version", now: at(100, 0), heartbeat: verify.Heartbeat{Version: 6, Verified: true, Age: time.Second, ProbeSentAt: 98 * time.Second}, wantAge: 3 * time.Second},
		{name: "newer version", now: at(100, 0), heartbeat: verify.Heartbeat{Version: 8, Verified: true, Age: time.Second, ProbeSentAt: 98 * time.Second}},
		{name: "suspended since the probe", now: at(100, 40), heartbeat: verify.Heartbeat{Version: 7, Verified: true, Age: time.Second, ProbeSentAt: 98 * time.Second}, wantAge: 43 * time.Second},
		{name: "suspended before the probe", now: at(100, 40), heartbeat: verify.Heartbeat{Version: 7, Verified: true, Age: time.Second, ProbeSentAt: 138 * time.Second}, wantAge: 3 * time.Second},
		{name: "no confirmation", now: at(100, 0), heartbeat: verify.Heartbeat{Version: 7, ProbeSentAt: 98 * time.Second}},
		{name: "no probe received", now: at(100, 0), heartbeat: verify.Heartbeat{Version: 7, Verified: true, Age: time.Second}},
		{name: "probe of the future", now: at(100, 0), heartbeat: verify.Heartbeat{Version: 7, Verified: true, Age: time.Second, ProbeSentAt: 101 * time.Second}},
		{name: "negative age", now: at(100, 0), heartbeat: verify.Heartbeat{Version: 7, Verified: true, Age: -time.Second, ProbeSentAt: 98 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := verify.Tracker{Started: at(0, 0)}
			tracker.AddHeartbeat(tt.now, tt.heartbeat, 7)
			age, found := tracker.Age(tt.now)
			assert.Equal(t, found, tt.wantAge > 0)
			if found {
				assert.Equal(t, age, tt.wantAge)
			}
		})
	}
}

// TestLatestConfirmationCounts guards against a confirmation that replaces a later one, and
// against an age that does not grow while the process is frozen or the machine suspended.
func TestLatestConfirmationCounts(t *testing.T) {
	tracker := verify.Tracker{Started: at(0, 0)}
	tracker.AddCall(at(10, 0), verify.Moment{})
	_, found := tracker.Age(at(10, 0))
	assert.Assert(t, !found)
	tracker.AddCall(at(10, 0), at(9, 0))
	tracker.AddCall(at(11, 0), at(5, 0))
	// The call began before the machine was suspended for a minute.
	tracker.AddCall(at(12, 60), at(10, 0))
	tracker.AddCall(at(12, 60), at(13, 60))
	tests := []struct {
		name    string
		now     verify.Moment
		wantAge time.Duration
	}{
		{name: "at once", now: at(12, 60), wantAge: 62 * time.Second},
		{name: "frozen", now: at(72, 60), wantAge: 122 * time.Second},
		{name: "suspended again", now: at(12, 90), wantAge: 92 * time.Second},
		{name: "clock cannot be read", now: at(13, 0), wantAge: 63 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			age, _ := tracker.Age(tt.now)
			assert.Equal(t, age, tt.wantAge)
		})
	}
}

func TestWatchWait(t *testing.T) {
	tests := []struct {
		name                     string
		revocation, wait, maxAge time.Duration
	}{
		{name: "off", wait: 1200 * time.Millisecond},
		{name: "usual", revocation: 5 * time.Second, wait: 500 * time.Millisecond, maxAge: 4 * time.Second},
		{name: "short", revocation: time.Second, wait: 200 * time.Millisecond, maxAge: 800 * time.Millisecond},
		{name: "long", revocation: time.Minute, wait: 1200 * time.Millisecond, maxAge: 48 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, verify.WatchWait(tt.revocation, 1200*time.Millisecond), tt.wait)
			assert.Equal(t, verify.MaxAge(tt.revocation), tt.maxAge)
		})
	}
}
