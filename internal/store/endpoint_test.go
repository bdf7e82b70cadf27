package store_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/store"
)

// TestClientUsesNewAddress guards against calls to an address that the settings do not name any
// more, on kept connections or in a watch that nobody answers.
func TestClientUsesNewAddress(t *testing.T) {
	first, client := start(t, store.Options{})
	second := new(objapi.Server)
	assert.NilError(t, second.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	t.Cleanup(func() { assert.NilError(t, second.Stop(context.Background())) })
	_, err := client.Create(t.Context(), "a/first", []byte("x"))
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, _, watchErr := client.Watch(t.Context(), "a/", 1)
		ended <- watchErr
	}()
	waitForWatches(t, first, 1)
	client.SetAddress(second.Addr())
	select {
	case err = <-ended:
		assert.Assert(t, errors.Is(err, store.ErrUnavailable), "%v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("the watch goes on at the former address")
	}
	_, err = client.Create(t.Context(), "a/second", []byte("x"))
	assert.NilError(t, err)
	objects, _, err := client.List(t.Context(), "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
	assert.Equal(t, objects[0].Key, "a/second")
	client.SetAddress(second.Addr())
	_, err = client.Get(t.Context(), "a/second")
	assert.NilError(t, err)
}
