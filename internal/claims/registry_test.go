package claims

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/once"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// fakeObjects is an in-memory implementation of Objects.
type fakeObjects struct {
	mutex    sync.Mutex
	objects  map[string]store.Object
	revision uint64
	// down makes all calls fail without effect.
	down bool
	// lose is the number of writes that take effect although their result is lost.
	lose int
}

func (f *fakeObjects) Get(_ context.Context, key string) (object store.Object, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return object, store.ErrUnavailable
	}
	object, ok := f.objects[key]
	if !ok {
		return object, store.ErrNotFound
	}
	return object, nil
}

func (f *fakeObjects) Create(ctx context.Context, key string, value []byte) (object store.Object, err error) {
	return f.Update(ctx, key, value, 0)
}

func (f *fakeObjects) Update(_ context.Context, key string, value []byte, version uint64) (object store.Object, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.down:
		return object, store.ErrUnavailable
	case f.objects[key].Version != version:
		return object, store.ErrConflict
	}
	f.revision++
	object = store.Object{Key: key, Value: value, Version: f.revision}
	if f.objects == nil {
		f.objects = make(map[string]store.Object)
	}
	f.objects[key] = object
	if f.lose > 0 {
		f.lose--
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return object, nil
}

func callWithKey(attempt string, keyStore tree.IdempotencyStore) *peer.Call {
	return &peer.Call{Head: &wire.CallHead{
		Customer: "trauerhaus", Service: "notices", Key: "order-1", Attempt: attempt,
		KeyWindowMicros: time.Minute.Microseconds(), KeyStore: uint32(keyStore),
	}}
}

var completeResponse = serve.Response{Head: &wire.ReplyHead{Status: 201}, Body: []byte("done"), Complete: true}

// step is one event for a key at one of two registries.
type step struct {
	registry int
	// do is claim, complete, release, lose, down, up or later.
	do   string
	want serve.Action
	// rejected is true if the claim must fail.
	rejected bool
}

func TestKeysRunAtMostOnce(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{name: "repeated call gets the first response", steps: []step{
			{do: "claim", want: serve.Run}, {do: "complete"}, {do: "claim", want: serve.Replay},
		}},
		{name: "repeated call at another owner is in doubt", steps: []step{
			{do: "claim", want: serve.Run}, {do: "complete"}, {registry: 1, do: "claim", want: serve.InDoubt},
		}},
		{name: "repeated call is in doubt if it ends while the first one runs", steps: []step{
			{do: "claim", want: serve.Run}, {do: "claim", want: serve.InDoubt},
		}},
		{name: "call that was not sent releases its key", steps: []step{
			{do: "claim", want: serve.Run}, {do: "release"}, {do: "claim", want: serve.Run},
		}},
		{name: "claim is read back if the result of its write was lost", steps: []step{
			{do: "lose"}, {do: "claim", want: serve.Run}, {registry: 1, do: "claim", want: serve.InDoubt},
		}},
		{name: "no call runs while the platform is down", steps: []step{
			{do: "down"}, {do: "claim", rejected: true}, {do: "up"}, {do: "claim", want: serve.Run},
		}},
		{name: "key expires after its window", steps: []step{
			{do: "claim", want: serve.Run}, {do: "complete"}, {do: "later"}, {do: "claim", want: serve.Run},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := &fakeObjects{}
				registries := []*Registry{{Objects: objects, Host: "a"}, {Objects: objects, Host: "b"}}
				for i, s := range tt.steps {
					runStep(t, i, s, objects, registries[s.registry])
				}
				for _, r := range registries {
					r.Close()
				}
			})
		})
	}
}

func runStep(t *testing.T, i int, s step, objects *fakeObjects, registry *Registry) {
	call := callWithKey("attempt-"+string(rune('a'+i)), tree.PlatformStore)
	switch s.do {
	case "claim":
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		result, err := registry.Claim(ctx, call)
		if s.rejected {
			assert.Assert(t, errors.Is(err, errNotClaimed), "step %d: %v", i, err)
			return
		}
		assert.NilError(t, err, "step %d", i)
		assert.Equal(t, result.Action, s.want, "step %d", i)
	case "complete":
		registry.Complete(callWithKey("attempt-"+string(rune('a'+i-1)), tree.PlatformStore), completeResponse)
	case "release":
		registry.Release(callWithKey("attempt-"+string(rune('a'+i-1)), tree.PlatformStore))
	case "lose":
		objects.lose = 1
	case "down", "up":
		objects.down = s.do == "down"
	case "later":
		time.Sleep(2 * time.Minute)
	}
}

func TestMemoryKeysAreInDoubtAfterOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &Registry{Host: "a"}
		id := mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
		registry.SetHosts(time.Now(), id, []mesh.HostID{"a"})
		claim := func(attempt string) serve.Action {
			result, err := registry.Claim(t.Context(), callWithKey(attempt, tree.MemoryStore))
			assert.NilError(t, err)
			return result.Action
		}
		assert.Equal(t, claim("first"), serve.InDoubt)
		time.Sleep(time.Minute)
		assert.Equal(t, claim("second"), serve.Run)
		registry.Close()
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(once.Claims{Entries: []once.Claim{{Remaining: time.Second}}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		claims, err := decode(data)
		if err != nil {
			return
		}
		again, err := decode(encode(claims))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, claims)
	})
}
