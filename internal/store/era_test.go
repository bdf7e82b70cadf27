package store_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// restoredStore returns a store whose object "k" has version 2 again, after it was restored
// to version 1, and a client that read the object in era 0.
func restoredStore(t *testing.T) (server *objapi.Server, client *store.Client, held store.Object) {
	server, client = start(t, store.Options{})
	created, err := client.Create(t.Context(), "k", []byte("a"))
	assert.NilError(t, err)
	copied := server.TakeCopy()
	held, err = client.Update(t.Context(), "k", []byte("b"), created.Version)
	assert.NilError(t, err)
	assert.NilError(t, server.Restore(t.Context(), copied, 0))
	other := store.New(store.Options{Address: server.Addr(), RateLimiter: unlimited()})
	defer other.Close()
	object, err := other.Update(t.Context(), "k", []byte("c"), created.Version)
	assert.NilError(t, err)
	assert.Equal(t, object.Time(), mesh.StoreTime{Era: 1, Revision: held.Version})
	return server, client, held
}

// TestCallsThatRestOnAnEarlierEraFail guards against a write under a version, or a watch from
// a revision, that a restored store has given out again.
func TestCallsThatRestOnAnEarlierEraFail(t *testing.T) {
	update := func(ctx context.Context, c *store.Client, held store.Object) error {
		_, err := c.Update(ctx, "k", []byte("d"), held.Version)
		return err
	}
	tests := []struct {
		name string
		do   func(ctx context.Context, c *store.Client, held store.Object) error
		// known is true if the client knows the new era before the call.
		known bool
		want  error
		sent  uint64
	}{
		{name: "write that is not sent", do: update, known: true, want: store.ErrNewEra},
		{name: "deletion that is not sent", known: true, want: store.ErrNewEra, do: func(ctx context.Context, c *store.Client, held store.Object) error {
			return c.Delete(ctx, "k", held.Version)
		}},
		{name: "write whose version was given out again", do: update, want: store.ErrOutcomeUnknown, sent: 1},
		{name: "write of another version", want: store.ErrNewEra, sent: 1, do: func(ctx context.Context, c *store.Client, held store.Object) error {
			_, err := c.Update(ctx, "k", []byte("d"), held.Version+5)
			return err
		}},
		{name: "watch from a revision that exists again", want: store.ErrNewEra, sent: 1, do: func(ctx context.Context, c *store.Client, held store.Object) error {
			_, _, err := c.Watch(ctx, "k", held.Version-1)
			return err
		}},
		{name: "watch from a lost revision", want: store.ErrNewEra, sent: 1, do: func(ctx context.Context, c *store.Client, held store.Object) error {
			_, _, err := c.Watch(ctx, "k", held.Version+5)
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, client, held := restoredStore(t)
			if tt.known {
				_, err := client.Get(t.Context(), "k")
				assert.NilError(t, err)
			}
			calls := client.Calls()
			err := tt.do(store.WithEra(t.Context(), held.Era), client, held)
			assert.ErrorIs(t, err, tt.want)
			assert.ErrorIs(t, err, store.ErrNewEra)
			assert.Equal(t, client.Calls()-calls, tt.sent)
		})
	}
}

// TestObjectsHaveTheirEra guards the fence of an object, which is its version and era.
func TestObjectsHaveTheirEra(t *testing.T) {
	_, client, held := restoredStore(t)
	objects, revision, err := client.List(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, client.Era(), uint64(1))
	assert.Equal(t, objects[0].Time(), mesh.StoreTime{Era: 1, Revision: revision})
	assert.Assert(t, objects[0].Time().After(held.Time()))
	events, _, err := client.Watch(t.Context(), "k", 0)
	assert.NilError(t, err)
	assert.Equal(t, events[len(events)-1].Era, uint64(1))
	_, err = client.Create(t.Context(), "k", nil)
	var conflict *store.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Current.Era, uint64(1))
}

// TestLateResponseOfEarlierEraIsDropped guards against a response that was on its way while
// the store was restored, and that arrives after one of the new era.
func TestLateResponseOfEarlierEraIsDropped(t *testing.T) {
	tests := []struct {
		name string
		do   func(ctx context.Context, c *store.Client) error
		want error
	}{
		{name: "read", want: store.ErrNewEra, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Get(ctx, "k")
			return err
		}},
		{name: "write", want: store.ErrOutcomeUnknown, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Create(ctx, "k", nil)
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			era := 2
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(objapi.EraHeader, strconv.Itoa(era))
				_, _ = w.Write([]byte(`{"key":"k","version":9}`))
			}))
			defer server.Close()
			client := store.New(store.Options{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), RateLimiter: unlimited()})
			defer client.Close()
			found, err := client.Get(t.Context(), "k")
			assert.NilError(t, err)
			assert.Equal(t, found.Era, uint64(2))
			era = 1
			assert.ErrorIs(t, tt.do(t.Context(), client), tt.want)
			assert.Equal(t, client.Era(), uint64(2))
		})
	}
}
