package proxy

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/clock"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// keyGuard admits requests with keys while the confirmation of the version in force is
// recent enough.
type keyGuard struct {
	cells *cells.Proxy
	clock clock.Boot
	// maxAge is the largest age of the confirmation.
	maxAge time.Duration
}

// AdmitsKeys implements steer.KeyGuard.
func (k keyGuard) AdmitsKeys(now time.Time) bool {
	age, found := k.verifiedAge(now)
	return found && age <= k.maxAge
}

// verifiedAge returns the age of the confirmation. It returns false if there was none.
func (k keyGuard) verifiedAge(now time.Time) (age time.Duration, found bool) {
	verified := k.cells.Freshness.Load().Verified()
	return verify.Moment{Time: now, Suspended: k.clock.Suspended()}.Sub(verified), !verified.IsZero()
}

// updateVerifiedAge updates the gauge of the age of the confirmation. Until there is one,
// that is the age of the process.
func (p *Proxy) updateVerifiedAge(now time.Time) {
	if p.settings.Load().Revocation == 0 {
		return
	}
	age, found := keyGuard{cells: &p.cells}.verifiedAge(now)
	if !found {
		age = now.Sub(p.startedAt)
	}
	p.metrics.Scope.Gauge("version_verified_age_seconds").Update(age.Seconds())
}
