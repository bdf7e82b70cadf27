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

// fakeObjects is the platform as keepers see it.
type fakeObjects struct {
	mutex    sync.Mutex
	objects  map[string]store.Object
	revision uint64
	// down is true while nothing is answered.
	down bool
	// lose is how many writes take effect and get no answer.
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

func keyedCall(attempt string, keyStore tree.IdempotencyStore) *peer.Call {
	return &peer.Call{Head: &wire.CallHead{
		Customer: "trauerhaus", Service: "notices", Key: "order-1", Attempt: attempt,
		KeyWindowMicros: time.Minute.Microseconds(), KeyStore: uint32(keyStore),
	}}
}

var wholeAnswer = serve.Answer{Head: &wire.ReplyHead{Status: 201}, Body: []byte("done"), Whole: true}

// step is one thing that happens to a key at one of two keepers.
type step struct {
	keeper int
	// do is claim, answer, release, lose, down, up or later.
	do   string
	want serve.Action
	// refused is true when the claim must fail as not run.
	refused bool
}

func TestKeysRunAtMostOnce(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{name: "a repeat gets the first answer", steps: []step{
			{do: "claim", want: serve.Run}, {do: "answer"}, {do: "claim", want: serve.Replay},
		}},
		{name: "a repeat at another owner is in doubt", steps: []step{
			{do: "claim", want: serve.Run}, {do: "answer"}, {keeper: 1, do: "claim", want: serve.InDoubt},
		}},
		{name: "a repeat while the first runs is in doubt at its end", steps: []step{
			{do: "claim", want: serve.Run}, {do: "claim", want: serve.InDoubt},
		}},
		{name: "a call that was not handed over gives its key back", steps: []step{
			{do: "claim", want: serve.Run}, {do: "release"}, {do: "claim", want: serve.Run},
		}},
		{name: "an answer of the platform that got lost is read back", steps: []step{
			{do: "lose"}, {do: "claim", want: serve.Run}, {keeper: 1, do: "claim", want: serve.InDoubt},
		}},
		{name: "nothing runs while the platform is down", steps: []step{
			{do: "down"}, {do: "claim", refused: true}, {do: "up"}, {do: "claim", want: serve.Run},
		}},
		{name: "an owner forgets a key after its window", steps: []step{
			{do: "claim", want: serve.Run}, {do: "answer"}, {do: "later"}, {do: "claim", want: serve.Run},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := &fakeObjects{}
				keepers := []*Keeper{{Objects: objects, Host: "a"}, {Objects: objects, Host: "b"}}
				for i, s := range tt.steps {
					take(t, i, s, objects, keepers[s.keeper])
				}
				for _, k := range keepers {
					k.Close()
				}
			})
		})
	}
}

func take(t *testing.T, i int, s step, objects *fakeObjects, keeper *Keeper) {
	call := keyedCall("attempt-"+string(rune('a'+i)), tree.PlatformStore)
	switch s.do {
	case "claim":
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		verdict, err := keeper.Claim(ctx, call)
		if s.refused {
			assert.Assert(t, errors.Is(err, errWaiting), "step %d: %v", i, err)
			return
		}
		assert.NilError(t, err, "step %d", i)
		assert.Equal(t, verdict.Action, s.want, "step %d", i)
	case "answer":
		keeper.Answered(keyedCall("attempt-"+string(rune('a'+i-1)), tree.PlatformStore), wholeAnswer)
	case "release":
		keeper.Released(keyedCall("attempt-"+string(rune('a'+i-1)), tree.PlatformStore))
	case "lose":
		objects.lose = 1
	case "down", "up":
		objects.down = s.do == "down"
	case "later":
		time.Sleep(2 * time.Minute)
	}
}

func TestMemoryKeysAreInDoubtAfterAChangeOfOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := &Keeper{Host: "a"}
		id := mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
		keeper.Owners(time.Now(), id, []mesh.HostID{"a"})
		claim := func(attempt string) serve.Action {
			verdict, err := keeper.Claim(t.Context(), keyedCall(attempt, tree.MemoryStore))
			assert.NilError(t, err)
			return verdict.Action
		}
		assert.Equal(t, claim("first"), serve.InDoubt)
		time.Sleep(time.Minute)
		assert.Equal(t, claim("second"), serve.Run)
		keeper.Close()
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
