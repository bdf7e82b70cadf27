package steer_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// accountPlan returns a version with two accounts, and a rule for requests with and
// without keys.
func accountPlan(t *testing.T) *plan.Plan {
	t.Helper()
	return planWithAccounts(t,
		&plan.Account{Name: "anna", Keys: []string{"key-a1", "key-a2"}, Priority: 0}, &plan.Account{Name: "ben", Keys: []string{"key-b"}, Priority: 1})
}

// planWithAccounts returns a version that lists the accounts, which may be none.
func planWithAccounts(t *testing.T, accounts ...*plan.Account) *plan.Plan {
	t.Helper()
	rule := func(prefix string, anonymous bool) *plan.Rule {
		return &plan.Rule{
			Name: prefix, Host: "a.example", Prefix: prefix, Rank: 1, Timeout: time.Second, MaxAttempts: 1, AllowAnonymous: anonymous,
			Services: []plan.WeightedService{{Service: "orders", Weight: 1}},
		}
	}
	built, err := plan.NewWithAccounts(5, plan.Limits{}, []plan.Service{{Name: "orders"}}, []*plan.Rule{rule("/keyed/", false), rule("/open/", true)}, accounts)
	assert.NilError(t, err)
	return built
}

// TestRequestsAreIdentifiedByTheirKey guards against requests that run without a known
// key, against keys and forged account names that reach an upstream, and against refusals
// by a proxy whose version may be old.
func TestRequestsAreIdentifiedByTheirKey(t *testing.T) {
	tests := []struct {
		name string
		path string
		keys []string
		// noAccounts is true if the version lists no account any more.
		noAccounts bool
		// age is the time since the version was confirmed.
		age          time.Duration
		wantStatus   int
		wantReason   string
		wantAccount  string
		wantPriority mesh.Priority
	}{
		{name: "known key", path: "/keyed/1", keys: []string{"key-b"}, wantStatus: 200, wantAccount: "ben", wantPriority: mesh.Normal},
		{name: "second key of an urgent account", path: "/keyed/1", keys: []string{"key-a2"}, wantStatus: 200, wantAccount: "anna", wantPriority: mesh.Urgent},
		{name: "no key", path: "/keyed/1", wantStatus: 401, wantReason: steer.ReasonNoKey},
		{name: "empty key", path: "/keyed/1", keys: []string{""}, wantStatus: 401, wantReason: steer.ReasonUnknownKey},
		{name: "unknown key", path: "/keyed/1", keys: []string{"key-c"}, wantStatus: 401, wantReason: steer.ReasonUnknownKey},
		{name: "two keys", path: "/keyed/1", keys: []string{"key-b", "key-a1"}, wantStatus: 401, wantReason: steer.ReasonUnknownKey},
		{name: "two keys in one header", path: "/keyed/1", keys: []string{"key-b, key-a1"}, wantStatus: 401, wantReason: steer.ReasonUnknownKey},
		{name: "unknown key and an old version", path: "/keyed/1", keys: []string{"key-c"}, age: time.Minute, wantStatus: 503, wantReason: steer.ReasonVersionUnconfirmed},
		{name: "no key and an old version", path: "/keyed/1", age: time.Minute, wantStatus: 503, wantReason: steer.ReasonVersionUnconfirmed},
		{name: "anonymous request", path: "/open/1", wantStatus: 200, wantPriority: mesh.Normal},
		{name: "known key where none is required", path: "/open/1", keys: []string{"key-b"}, wantStatus: 200, wantAccount: "ben", wantPriority: mesh.Normal},
		{name: "unknown key where none is required", path: "/open/1", keys: []string{"key-c"}, wantStatus: 200, wantPriority: mesh.Normal},
		{name: "key taken away with the last account", path: "/keyed/1", keys: []string{"key-b"}, noAccounts: true, wantStatus: 401, wantReason: steer.ReasonUnknownKey},
		{name: "no key after the last account", path: "/keyed/1", noAccounts: true, wantStatus: 401, wantReason: steer.ReasonNoKey},
		{name: "last account, old version", path: "/keyed/1", keys: []string{"key-b"}, noAccounts: true, age: time.Minute, wantStatus: 503, wantReason: steer.ReasonVersionUnconfirmed},
		{name: "key taken away where none is required", path: "/open/1", keys: []string{"key-b"}, noAccounts: true, wantStatus: 200, wantPriority: mesh.High},
		{name: "unknown path with an unknown key", path: "/other/1", keys: []string{"key-c"}, wantStatus: 404, wantReason: steer.ReasonNoRule},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := &scriptedCaller{results: []callResult{{status: http.StatusOK}}}
			r, recorded := newRouter(t, plan.Idempotent, 1, caller)
			source := r.Snapshots.(fixedSnapshot)
			source.age, source.snapshot.Plan = tt.age, accountPlan(t)
			if tt.noAccounts {
				source.snapshot.Plan = planWithAccounts(t)
			}
			r.Snapshots = source
			headers := http.Header{"Key": tt.keys, "Account": {"forged"}}
			request := &front.Request{Method: "GET", Host: "a.example", Path: tt.path, Target: tt.path, Arrived: time.Now(), HeaderValue: headers.Get, HeaderValues: headers.Values}
			for name, values := range headers {
				for _, v := range values {
					request.Headers = append(request.Headers, &wire.Header{Name: name, Value: v})
				}
			}
			response := r.Handle(t.Context(), request)
			assert.Equal(t, response.Status, tt.wantStatus)
			assert.Equal(t, recorded.last.Reason, tt.wantReason)
			assert.Equal(t, string(recorded.last.Account), tt.wantAccount)
			if tt.wantStatus != http.StatusOK {
				assert.Equal(t, len(caller.calls), 0)
				return
			}
			sent := make(http.Header)
			for _, h := range caller.calls[0].GetHeaders() {
				sent.Add(h.GetName(), h.GetValue())
			}
			assert.Equal(t, sent.Get("Key"), "")
			assert.Equal(t, sent.Get("Account"), tt.wantAccount)
			assert.Assert(t, len(sent.Values("Account")) <= 1)
			assert.Equal(t, caller.calls[0].GetAccount(), tt.wantAccount)
			assert.Equal(t, mesh.Priority(caller.calls[0].GetPriority()), tt.wantPriority)
		})
	}
}

// keyGuard admits keys if it is true.
type keyGuard bool

func (k keyGuard) AdmitsKeys(time.Time) bool { return bool(k) }

// TestKeysThatMayBeRevokedAreRefused guards against requests that run with a key which a
// newer version may have revoked, and against refusals of requests that have none.
func TestKeysThatMayBeRevokedAreRefused(t *testing.T) {
	tests := []struct {
		name, path string
		keys       []string
		guard      steer.KeyGuard
		wantStatus int
		wantReason string
	}{
		{name: "no limit", path: "/keyed/1", keys: []string{"key-b"}, wantStatus: 200},
		{name: "recent version", path: "/keyed/1", keys: []string{"key-b"}, guard: keyGuard(true), wantStatus: 200},
		{name: "old version", path: "/keyed/1", keys: []string{"key-b"}, guard: keyGuard(false), wantStatus: 503, wantReason: steer.ReasonVersionUnverified},
		{name: "old version, key not required", path: "/open/1", keys: []string{"key-b"}, guard: keyGuard(false), wantStatus: 503, wantReason: steer.ReasonVersionUnverified},
		{name: "old version, unknown key not required", path: "/open/1", keys: []string{"key-c"}, guard: keyGuard(false), wantStatus: 200},
		{name: "old version, anonymous", path: "/open/1", guard: keyGuard(false), wantStatus: 200},
		{name: "old version, no key", path: "/keyed/1", guard: keyGuard(false), wantStatus: 401, wantReason: steer.ReasonNoKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := &scriptedCaller{results: []callResult{{status: http.StatusOK}}}
			r, recorded := newRouter(t, plan.Idempotent, 1, caller)
			source := r.Snapshots.(fixedSnapshot)
			source.snapshot.Plan = accountPlan(t)
			r.Snapshots, r.KeyGuard = source, tt.guard
			headers := http.Header{"Key": tt.keys}
			response := r.Handle(t.Context(), &front.Request{
				Method: "GET", Host: "a.example", Path: tt.path, Target: tt.path, Arrived: time.Now(), HeaderValue: headers.Get, HeaderValues: headers.Values,
			})
			assert.Equal(t, response.Status, tt.wantStatus)
			assert.Equal(t, recorded.last.Reason, tt.wantReason)
			assert.Equal(t, len(caller.calls) > 0, tt.wantStatus == http.StatusOK)
			assert.Equal(t, recorded.last.RetryAfter > 0, tt.wantStatus == http.StatusServiceUnavailable)
		})
	}
}

// changingSource provides version 5 until the keys were checked, and version 6 without the
// keys afterwards.
type changingSource struct {
	fixedSnapshot
	next    *plan.Plan
	checked bool
}

func (c *changingSource) AdmitsKeys(time.Time) bool {
	c.checked = true
	return true
}

func (c *changingSource) Snapshot() cells.ProxySnapshot {
	snapshot := c.snapshot
	if c.checked {
		snapshot.Plan = c.next
	}
	return snapshot
}

// TestKeysAreCheckedBeforeTheSnapshotIsRead guards against a request that is admitted by the
// confirmation of a version which revokes its key, but runs by the version before it.
func TestKeysAreCheckedBeforeTheSnapshotIsRead(t *testing.T) {
	r, recorded := newRouter(t, plan.Idempotent, 1, &scriptedCaller{})
	source := &changingSource{fixedSnapshot: r.Snapshots.(fixedSnapshot)}
	source.snapshot.Plan = accountPlan(t)
	var err error
	source.next, err = plan.New(6, plan.Limits{}, []plan.Service{{Name: "orders"}}, []*plan.Rule{{
		Name: "keyed", Host: "a.example", Prefix: "/keyed/", Rank: 1, Timeout: time.Second, MaxAttempts: 1,
		Services: []plan.WeightedService{{Service: "orders", Weight: 1}},
	}}, &plan.Account{Name: "anna", Keys: []string{"key-a1"}})
	assert.NilError(t, err)
	r.Snapshots, r.KeyGuard = source, source
	headers := http.Header{"Key": {"key-b"}}
	response := r.Handle(t.Context(), &front.Request{
		Method: "GET", Host: "a.example", Path: "/keyed/1", Target: "/keyed/1", Arrived: time.Now(), HeaderValue: headers.Get, HeaderValues: headers.Values,
	})
	assert.Equal(t, response.Status, http.StatusUnauthorized)
	assert.Equal(t, recorded.last.Reason, steer.ReasonUnknownKey)
}

// TestHeadersWithoutAccounts guards the meshes whose versions have no accounts, where the
// headers that identify accounts are headers like any other, and against keys that reach
// upstreams where a version with accounts is not known yet.
func TestHeadersWithoutAccounts(t *testing.T) {
	tests := []struct {
		name  string
		guard steer.KeyGuard
		want  []string
	}{
		{name: "keys are not revoked", want: []string{"Key", "Account", "origin"}},
		{name: "keys are revoked", guard: keyGuard(true), want: []string{"origin"}},
		{name: "keys are revoked, old version", guard: keyGuard(false), want: []string{"origin"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := &scriptedCaller{results: []callResult{{status: http.StatusOK}}}
			r, _ := newRouter(t, plan.Idempotent, 1, caller)
			r.KeyGuard = tt.guard
			request := &front.Request{Method: "GET", Host: "a.example", Path: "/o/1", Target: "/o/1", Arrived: time.Now(), HeaderValue: http.Header{}.Get}
			request.Headers = []*wire.Header{{Name: "Key", Value: "x"}, {Name: "Account", Value: "y"}}
			assert.Equal(t, r.Handle(t.Context(), request).Status, http.StatusOK)
			names := make([]string, 0, len(caller.calls[0].GetHeaders()))
			for _, h := range caller.calls[0].GetHeaders() {
				names = append(names, h.GetName())
			}
			assert.DeepEqual(t, names, tt.want)
		})
	}
}

// TestAccountWithTooManyPendingRequestsIsRefused guards against an account that holds all
// requests that a proxy can have in progress, and against a refusal of other accounts.
func TestAccountWithTooManyPendingRequestsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &scriptedCaller{results: []callResult{{status: http.StatusOK, delay: 500 * time.Millisecond}}}
		r, _ := newRouter(t, plan.Idempotent, 1, caller)
		source := r.Snapshots.(fixedSnapshot)
		source.snapshot.Plan = accountPlan(t)
		r.Snapshots = source
		r.Recorder = discardedRecords{}
		r.Intake.Limit = 20
		var mutex sync.Mutex
		statuses := map[string][]int{}
		var requests sync.WaitGroup
		for i := range 20 {
			key := "key-a1"
			if i >= 18 {
				key = "key-b"
			}
			requests.Go(func() {
				response := r.Handle(t.Context(), getRequest("/keyed/1", key))
				mutex.Lock()
				defer mutex.Unlock()
				statuses[key] = append(statuses[key], response.Status)
			})
			synctest.Wait()
		}
		requests.Wait()
		refused := slices.Index(statuses["key-a1"], http.StatusServiceUnavailable) >= 0
		assert.Assert(t, refused)
		assert.DeepEqual(t, statuses["key-b"], []int{http.StatusOK, http.StatusOK})
		assert.Equal(t, r.Handle(t.Context(), getRequest("/keyed/1", "key-a1")).Status, http.StatusOK)
	})
}

type discardedRecords struct{}

func (discardedRecords) Record(steer.RequestRecord) {}
