package soak_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// maxRestoreOutage bounds the time for which the store is unavailable before it comes
	// back from a copy.
	maxRestoreOutage = time.Second
	// recordsBackTime is how long after that the records of all nodes are in the store.
	recordsBackTime = 2 * time.Second
	// operatorDelay is how long after that its operator writes the newest document again.
	operatorDelay = 3 * time.Second
)

// restoreStore restores the store from a copy whose age is the duration. Its operator
// writes the newest document again after a while. That no older document is in force, that
// no revoked key is used, and that no request arrives at an upstream after it had drained
// is checked as always.
func restoreStore(h *harness, _ *node, duration time.Duration, random *rand.Rand) {
	h.mutex.Lock()
	restoring := h.restoring
	h.restoring = true
	h.mutex.Unlock()
	if restoring {
		return
	}
	outage := randomBelow(random, maxRestoreOutage)
	copied := h.platform.objects.TakeCopy()
	time.Sleep(duration)
	h.recordFault(nil, "storeRestored", outage+recordsBackTime+operatorDelay)
	if err := h.platform.objects.Restore(h.ctx, copied, outage); err != nil {
		panic(err)
	}
	time.Sleep(recordsBackTime + operatorDelay)
	h.rewriteDocument()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.restoring = false
}

// checkRestoration restores the store while there is no other fault, and checks that each
// node writes its record to it in time.
func (h *harness) checkRestoration() {
	copied := h.platform.objects.TakeCopy()
	h.submitChange()
	time.Sleep(applyTime)
	h.markStoreDisturbed(maxRestoreOutage + recordsBackTime)
	if err := h.platform.objects.Restore(h.ctx, copied, maxRestoreOutage); err != nil {
		panic(err)
	}
	restoredAt := time.Now()
	deadline := restoredAt.Add(recordsBackTime)
	var missing []string
	for {
		missing = h.missingRecords()
		if len(missing) == 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(statusInterval)
	}
	h.t.Logf("%d records missing %v after the store was restored", len(missing), time.Since(restoredAt).Round(statusInterval))
	if len(missing) > 0 && h.checkBounds {
		h.recorder.violation("no records of %v %v after the store was restored", missing, recordsBackTime)
	}
	h.rewriteDocument()
}

// missingRecords lists the hosts whose record in the store is missing or of an earlier era.
func (h *harness) missingRecords() (hosts []string) {
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	objects, _, err := h.platform.client.List(ctx, "arbutusstep-nodes/")
	if err != nil {
		return []string{err.Error()}
	}
	eras := make(map[string]uint64)
	for _, o := range objects {
		var record struct {
			StoreEra uint64 `json:"storeEra"`
		}
		if json.Unmarshal(o.Value, &record) == nil {
			eras[strings.TrimPrefix(o.Key, "arbutusstep-nodes/")] = record.StoreEra
		}
	}
	for _, n := range h.nodes {
		if eras[n.host] < h.platform.client.Era() {
			hosts = append(hosts, n.host)
		}
	}
	return hosts
}

// rewriteDocument writes the newest document again, unless a later one was written since.
func (h *harness) rewriteDocument() {
	h.operator.Lock()
	defer h.operator.Unlock()
	for range 20 {
		ctx, cancel := context.WithTimeout(h.ctx, 2*time.Second)
		current, err := h.platform.client.Get(ctx, "config/main")
		if err == nil {
			h.mutex.Lock()
			version := h.versions[len(h.versions)-1].version
			h.mutex.Unlock()
			_, err = h.platform.client.Update(ctx, "config/main", configDocument(version, movedService(version)), current.Version)
		}
		cancel()
		if err == nil || h.ctx.Err() != nil {
			return
		}
		time.Sleep(statusInterval)
	}
}

// movedService returns the service to which a version moves a rule.
func movedService(version uint64) string {
	if version%2 == 0 {
		return "prints"
	}
	return "desk"
}
