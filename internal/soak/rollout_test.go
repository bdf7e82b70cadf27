package soak_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/objapi"
)

const (
	rolloutDuration = 12 * time.Second
	// rollbackTime is how long after the end of a rollout the version that lost may get
	// requests.
	rollbackTime = 2 * time.Second
	// exposurePercent and exposureSlack limit the requests to a bad version.
	exposurePercent, exposureSlack = 10, 50
)

// decodeRollout returns the spec and the status that are stored as the value of a rollout.
func decodeRollout(value []byte) (object objectJSON) {
	_ = json.Unmarshal(value, &object)
	return object
}

// updateStatus replaces the status of a rollout.
func (p *platform) updateStatus(w http.ResponseWriter, r *http.Request) {
	var body objectJSON
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current, err := p.client.Get(r.Context(), objectKey(r))
	if err != nil {
		writeResult(w, struct{}{}, err)
		return
	}
	next := decodeRollout(current.Value)
	next.Status = body.Status
	value, err := json.Marshal(next)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	updated, err := p.client.Update(r.Context(), objectKey(r), value, body.Metadata.Revision)
	writeResult(w, encodeObject(updated), err)
}

// rolloutStatus is the part of the status of a rollout that the test reads.
type rolloutStatus struct {
	State         string `json:"state"`
	TargetVersion string `json:"target_version"`
	Holder        string `json:"holder"`
	Reason        string `json:"reason"`
}

// rolloutStatus reads the status of the rollout of the service desk.
func (h *harness) rolloutStatus() (status rolloutStatus) {
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	if object, err := h.platform.client.Get(ctx, "rollouts/desk"); err == nil {
		_ = json.Unmarshal(decodeRollout(object.Value).Status, &status)
	}
	return status
}

// TestRollout guards against a bad version that is completed or gets too many requests, a
// good one that is not completed in time, and requests to the version that lost, while
// processes and the store fail.
func TestRollout(t *testing.T) {
	tests := []struct {
		name string
		// fault makes the new version bad; nil for a good one.
		fault func(inst *instance)
		// during is called 5 s after the order. It may be nil.
		during func(h *harness)
		want   string
	}{
		{name: "good", want: "completed"},
		{name: "fails", fault: cutResponses, want: "rolled_back"},
		{name: "slow", fault: func(inst *instance) { inst.slowdown = 8 }, want: "rolled_back"},
		{name: "holder killed", want: "completed", during: killHolder},
		{name: "all proxies killed, fails", fault: cutResponses, want: "rolled_back", during: killAll},
		{name: "store down, fails", fault: cutResponses, want: "rolled_back", during: func(h *harness) {
			h.recordFault(nil, "store", 4*time.Second)
			_ = h.platform.objects.SetFaults(objapi.Faults{Outage: objapi.OutageRefuse})
			time.Sleep(3 * time.Second)
			_ = h.platform.objects.SetFaults(objapi.Faults{})
		}},
	}
	binary := build(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, binary, 1, false)
			assert.Assert(t, h.waitSettled(settleTimeout), "the mesh did not start")
			stop := h.startCallers()
			_, err := h.platform.client.Create(h.ctx, "rollouts/desk", fmt.Appendf(nil, `{"spec":{"service":"desk","target_version":"v2","duration":"%s"}}`, rolloutDuration))
			assert.NilError(t, err)
			ordered := time.Now()
			beside := h.startBeside(tt.fault)
			time.Sleep(5 * time.Second)
			if tt.during != nil {
				tt.during(h)
			}
			status, endedAt := h.waitRollout(ordered.Add(settleTimeout))
			assert.Equal(t, status.State, tt.want, "%+v", status)
			if tt.want == "completed" {
				for _, n := range h.nodes {
					if layout[indexOf(h.nodes, n)].service == "desk" {
						n.upstream.end()
					}
				}
			}
			time.Sleep(rollbackTime + 2*time.Second)
			stop()
			h.checkExposure(ordered, endedAt, tt.fault != nil, beside)
			assert.Equal(t, h.rolloutStatus().State, tt.want)
			for _, text := range h.recorder.check() {
				t.Error(text)
			}
			t.Logf("%s after %s: %s", status.State, endedAt.Sub(ordered).Round(10*time.Millisecond), status.Reason)
		})
	}
}

// startCallers starts to send requests and returns a function that stops them.
func (h *harness) startCallers() (stop func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	var callers sync.WaitGroup
	for i, n := range h.nodes {
		for j := range callersPerNode {
			c := &caller{name: fmt.Sprintf("c%d-%d", i, j), node: n, recorder: h.recorder, random: rand.New(rand.NewPCG(1, uint64(i*callersPerNode+j)))}
			callers.Go(func() { c.run(ctx) })
		}
	}
	return func() {
		cancel()
		callers.Wait()
		time.Sleep(requestTimeout)
	}
}

// startBeside starts upstreams of version v2 beside those of the service desk.
func (h *harness) startBeside(fault func(inst *instance)) (list []*upstream) {
	for i, n := range h.nodes {
		if layout[i].service != "desk" {
			continue
		}
		u := &upstream{node: n, recorder: h.recorder, address: strings.Replace(n.upstream.address, ":9000", ":9001", 1), version: "v2"}
		u.start(h.t, "desk")
		h.t.Cleanup(u.end)
		if fault != nil {
			h.recordFault(n, "bad version", time.Minute)
			u.current().update(fault)
		}
		list = append(list, u)
	}
	return list
}

func cutResponses(inst *instance) { inst.cutPercent = 50 }

// killAll kills all proxies, and starts them again after a while.
func killAll(h *harness) {
	for _, n := range h.nodes {
		h.recordFault(n, "kill", 3*time.Second)
		n.kill()
	}
	time.Sleep(time.Second)
	for _, n := range h.nodes {
		n.start()
	}
}

// killHolder kills the proxy that decides, and starts it again after a while.
func killHolder(h *harness) {
	for _, n := range h.nodes {
		if n.host == h.rolloutStatus().Holder {
			h.recordFault(n, "kill", 3*time.Second)
			n.kill()
			time.Sleep(2 * time.Second)
			n.start()
			return
		}
	}
	h.t.Error(errors.New("no node holds the lease"))
}

// waitRollout waits for the end of the rollout.
func (h *harness) waitRollout(deadline time.Time) (status rolloutStatus, endedAt time.Time) {
	for time.Now().Before(deadline) {
		if status = h.rolloutStatus(); status.State == "completed" || status.State == "rolled_back" {
			return status, time.Now()
		}
		time.Sleep(statusInterval / 2)
	}
	return status, time.Now()
}

// checkExposure checks the requests that ran at the upstreams of each version.
func (h *harness) checkExposure(ordered, endedAt time.Time, bad bool, beside []*upstream) {
	h.recorder.mutex.Lock()
	defer h.recorder.mutex.Unlock()
	tried, total := 0, 0
	for _, req := range h.recorder.requests {
		for _, e := range req.executions {
			if e.service != "desk" || e.at.Before(ordered) {
				continue
			}
			isNew := strings.Contains(e.instance, "v2-")
			if e.at.Before(ordered.Add(rolloutDuration)) {
				total++
				if isNew {
					tried++
				}
			}
			if isNew == bad && e.at.After(endedAt.Add(rollbackTime)) {
				h.t.Errorf("%s ran at %s %s after the end", req.id, e.instance, e.at.Sub(endedAt))
			}
		}
	}
	if bad && tried*100 > total*exposurePercent+exposureSlack*100 || tried == 0 {
		h.t.Errorf("%d of %d requests went to the new version", tried, total)
	}
	h.t.Logf("%d of %d requests went to the %d upstreams of the new version", tried, total, len(beside))
}
