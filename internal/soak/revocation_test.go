package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/faulty"
)

const (
	// revocationTime is how long after the store acknowledged a version without a key a
	// request with the key may still be sent and run.
	revocationTime = 5 * time.Second
	// keyedPercent is the share of requests with a key, and maxKeyAge the number of versions
	// after the newest one by which a key may be old. Requests with revoked keys fail, so
	// they are few.
	keyedPercent = 6
	maxKeyAge    = 4
)

// keyOf returns the key of a version. It is also valid in the next version.
func keyOf(version uint64) string { return fmt.Sprintf("secret-%d", version) }

// accountDocument returns the list of accounts of a version.
func accountDocument(version uint64) string {
	return fmt.Sprintf(`"tenants":[{"name":"caller","api_keys":[%q,%q]}]`, keyOf(version), keyOf(version-1))
}

// randomKeyVersion returns the version of a key that a caller uses, which may be revoked.
func (h *harness) randomKeyVersion(random *rand.Rand) uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	newest := h.versions[len(h.versions)-1].version
	return newest - min(newest, random.Uint64N(maxKeyAge+1))
}

// revokedAt returns when the store acknowledged a version without the key of the version.
func (h *harness) revokedAt(keyVersion uint64) (at time.Time, revoked bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, v := range h.versions {
		if v.version > keyVersion+1 && (!revoked || v.at.Before(at)) {
			at, revoked = v.at, true
		}
	}
	return at, revoked
}

// isolationTime is long enough for keys that are revoked at its beginning.
const isolationTime = revocationTime + 3*time.Second

// isolateNode cuts a node off from the store, and all nodes from each other, while versions
// revoke the keys that it knows.
func isolateNode(h *harness, n *node, _ time.Duration, _ *rand.Rand) {
	h.recordFault(nil, "isolation", isolationTime)
	links := make([]*faulty.Link, 0, 1+len(h.nodes))
	links = append(links, n.storeLink)
	for _, other := range h.nodes {
		links = append(links, other.nodeLink)
	}
	stall := func(stalled bool) {
		for _, l := range links {
			l.Stall(faulty.ToTarget, stalled)
			l.Stall(faulty.FromTarget, stalled)
		}
	}
	stall(true)
	h.submitChange()
	h.submitChange()
	time.Sleep(isolationTime)
	stall(false)
}

// checkRevokedKeys returns the requests that ran although their keys had been revoked when
// they were sent.
func (h *harness) checkRevokedKeys() (violations []string) {
	h.recorder.mutex.Lock()
	defer h.recorder.mutex.Unlock()
	for id, req := range h.recorder.requests {
		at, revoked := h.revokedAt(req.keyVersion)
		if req.keyed && revoked && len(req.executions) > 0 && req.began.Sub(at) > revocationTime {
			violations = append(violations, fmt.Sprintf("%s was sent to %s %v after %s was revoked, but ran: %v", id, req.node, req.began.Sub(at), keyOf(req.keyVersion), req.executions))
		}
	}
	return violations
}
