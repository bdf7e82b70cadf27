package tokens

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// localPercent is the part of the rate, in percent, that all nodes together run while
	// no owner answers.
	localPercent = 5
	// localValidity is how long a local token may be used. Local tokens thus never add up
	// while no requests arrive: if each of 87 nodes kept one, they would be more than the
	// limits of most accounts.
	localValidity = 5 * time.Second
)

// localBuckets decides on requests while no owner answers. Each node gets one token of an
// account at a time, at regular times that differ between the nodes. The zero localBuckets
// has no tokens.
type localBuckets struct {
	// since is the time from which no owner answered; zero if one did.
	since time.Time
	// used contains the number of the last token used of each account, counted from since.
	used map[mesh.Account]int64
}

// start records that no owner answers.
func (l *localBuckets) start(now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
}

// active reports whether no owner answered last.
func (l *localBuckets) active() bool { return !l.since.IsZero() }

// stop records that an owner answered.
func (l *localBuckets) stop() {
	l.since, l.used = time.Time{}, nil
}

// take takes a token of an account with that limit, of which the host gets the part that
// belongs to one of several nodes.
func (l *localBuckets) take(now time.Time, host mesh.HostID, account mesh.Account, limit Limit, nodes int) (taken bool) {
	if limit.Rate <= 0 {
		return true
	}
	if l.since.IsZero() {
		return false
	}
	interval := float64(max(nodes, 1)) * 100 / localPercent / limit.Rate * float64(time.Second)
	// The first token becomes valid within the first interval.
	age := float64(now.Sub(l.since)) - interval*phase(host, account)
	if age < 0 {
		return false
	}
	number := int64(age/interval) + 1
	validFor := age - float64(number-1)*interval
	if number <= l.used[account] || validFor >= float64(localValidity) {
		return false
	}
	if l.used == nil {
		l.used = make(map[mesh.Account]int64)
	}
	l.used[account] = number
	return true
}

// phase returns the part of an interval after which the first token is valid, within 0
// and 1.
func phase(host mesh.HostID, account mesh.Account) float64 {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String(string(host)+"/"+string(account))%resolution) / resolution
}
