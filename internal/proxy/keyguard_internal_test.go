package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// TestKeysAreAdmittedUntilTheLimit guards against requests with keys that are served without
// a confirmation, or with one that is too old.
func TestKeysAreAdmittedUntilTheLimit(t *testing.T) {
	tests := []struct {
		name string
		// age is the age of the confirmation; negative for none.
		age  time.Duration
		want bool
	}{
		{name: "no confirmation", age: -1},
		{name: "recent", age: time.Second, want: true},
		{name: "at the limit", age: 4 * time.Second, want: true},
		{name: "too old", age: 4*time.Second + time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var proxy cells.Proxy
				guard := keyGuard{cells: &proxy, maxAge: verify.MaxAge(5 * time.Second)}
				if tt.age >= 0 {
					// The clock that counts suspensions is the machine's. Its readings differ
					// by some microseconds.
					proxy.Freshness.Set(cells.Freshness{VerifiedAt: time.Now(), SuspendedBefore: guard.clock.Suspended() + 500*time.Microsecond})
					time.Sleep(tt.age)
				}
				assert.Equal(t, guard.AdmitsKeys(time.Now()), tt.want)
			})
		})
	}
}

// BenchmarkAdmitsKeys measures what the check costs each request.
func BenchmarkAdmitsKeys(b *testing.B) {
	var proxy cells.Proxy
	guard := keyGuard{cells: &proxy, maxAge: time.Hour}
	proxy.Freshness.Set(cells.Freshness{VerifiedAt: time.Now(), SuspendedBefore: guard.clock.Suspended()})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !guard.AdmitsKeys(time.Now()) {
				b.Error("refused")
			}
		}
	})
}
