package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// loopback is a listen address with a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// unlimited returns a rate limiter that does not delay the calls of a test.
func unlimited() *store.RateLimiter {
	return &store.RateLimiter{Rate: 1e6, Burst: 1e6}
}

func start(t *testing.T, options store.Options) (*objapi.Server, *store.Client) {
	t.Helper()
	server := &objapi.Server{Seed: 1}
	assert.NilError(t, server.Start(loopback))
	options.Address = server.Addr()
	if options.RateLimiter == nil {
		options.RateLimiter = unlimited()
	}
	client := store.New(options)
	t.Cleanup(func() {
		client.Close()
		assert.NilError(t, server.Stop(context.Background()))
	})
	return server, client
}

func TestWritesAreConditional(t *testing.T) {
	tests := []struct {
		name string
		do   func(ctx context.Context, c *store.Client) error
		want error
		// current is the stored version that a conflict reports.
		current uint64
	}{
		{name: "get of a missing key", want: store.ErrNotFound, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Get(ctx, "none")
			return err
		}},
		{name: "create of an existing key", want: store.ErrConflict, current: 2, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Create(ctx, "a/b", []byte("z"))
			return err
		}},
		{name: "update of a stale version", want: store.ErrConflict, current: 2, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Update(ctx, "a/b", []byte("z"), 1)
			return err
		}},
		{name: "update of a missing key", want: store.ErrNotFound, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Update(ctx, "none", nil, 1)
			return err
		}},
		{name: "delete of a stale version", want: store.ErrConflict, current: 2, do: func(ctx context.Context, c *store.Client) error {
			return c.Delete(ctx, "a/b", 1)
		}},
		{name: "delete of the current version", do: func(ctx context.Context, c *store.Client) error {
			return c.Delete(ctx, "a/b", 2)
		}},
		{name: "key with a parent segment", want: store.ErrInvalid, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Get(ctx, "a/../b")
			return err
		}},
		{name: "key rejected by the server", want: store.ErrInvalid, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Get(ctx, "a b?c")
			return err
		}},
		{name: "value over the limit", want: store.ErrInvalid, do: func(ctx context.Context, c *store.Client) error {
			_, err := c.Create(ctx, "big", make([]byte, store.MaxValueSize+1))
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, c := start(t, store.Options{})
			_, err := c.Create(t.Context(), "a/b", []byte("x"))
			assert.NilError(t, err)
			o, err := c.Update(t.Context(), "a/b", []byte("y"), 1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, uint64(2))
			err = tt.do(t.Context(), c)
			assert.ErrorIs(t, err, tt.want)
			var conflict *store.ConflictError
			assert.Equal(t, errors.As(err, &conflict), errors.Is(tt.want, store.ErrConflict))
			if conflict != nil {
				assert.DeepEqual(t, conflict.Current, store.Object{Key: "a/b", Value: []byte("y"), Version: tt.current})
			}
		})
	}
}

func TestListReturnsAllPagesInOrder(t *testing.T) {
	server, c := start(t, store.Options{})
	value := bytes.Repeat([]byte{7}, store.MaxValueSize)
	for _, k := range []string{"p/3", "p/1", "q", "p/2"} {
		_, err := c.Create(t.Context(), k, value)
		assert.NilError(t, err)
	}
	objects, revision, err := c.List(t.Context(), "p/")
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(4))
	assert.Equal(t, len(objects), 3)
	for i, o := range objects {
		assert.Equal(t, o.Key, fmt.Sprintf("p/%d", i+1))
		assert.Assert(t, bytes.Equal(o.Value, value))
	}
	assert.Assert(t, server.Stats().List.Total > 1)
	assert.Equal(t, c.Calls(), server.Stats().Reads.Total+server.Stats().Writes.Total)
}

func TestWatchReturnsEventsAfterRevision(t *testing.T) {
	server, c := start(t, store.Options{})
	type result struct {
		events []store.Event
		next   uint64
		err    error
	}
	results := make(chan result)
	go func() {
		var r result
		r.events, r.next, r.err = c.Watch(t.Context(), "a/", 0)
		results <- r
	}()
	waitForWatches(t, server, 1)
	_, err := c.Create(t.Context(), "other", nil)
	assert.NilError(t, err)
	_, err = c.Create(t.Context(), "a/1", []byte("x"))
	assert.NilError(t, err)
	r := <-results
	assert.NilError(t, r.err)
	want := []store.Event{{Object: store.Object{Key: "a/1", Value: []byte("x"), Version: 2}}}
	assert.DeepEqual(t, r.events, want)
	assert.NilError(t, c.Delete(t.Context(), "a/1", 2))
	events, next, err := c.Watch(t.Context(), "a/", r.next)
	assert.NilError(t, err)
	assert.Equal(t, next, uint64(3))
	assert.Equal(t, len(events), 1)
	assert.Assert(t, events[0].Deleted)
	server.Compact()
	_, _, err = c.Watch(t.Context(), "a/", 1)
	assert.ErrorIs(t, err, store.ErrGone)
	var gone *store.GoneError
	assert.Assert(t, errors.As(err, &gone))
	assert.Equal(t, gone.Revision, uint64(3))
}

func TestWatchWithoutEventsAdvancesRevision(t *testing.T) {
	_, c := start(t, store.Options{WatchWait: time.Millisecond})
	_, err := c.Create(t.Context(), "other", nil)
	assert.NilError(t, err)
	events, next, err := c.Watch(t.Context(), "a/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)
	assert.Equal(t, next, uint64(1))
}

func TestOutagesReturnTheRightError(t *testing.T) {
	create := func(ctx context.Context, c *store.Client) error {
		_, err := c.Create(ctx, "k", []byte("v"))
		return err
	}
	get := func(ctx context.Context, c *store.Client) error {
		_, err := c.Get(ctx, "k")
		return err
	}
	watch := func(ctx context.Context, c *store.Client) error {
		_, _, err := c.Watch(ctx, "", 0)
		return err
	}
	// A slow write must be sent before it times out, so this timeout is long.
	longTimeout := store.Options{Timeout: time.Second}
	shortTimeout := store.Options{Timeout: 50 * time.Millisecond, WatchWait: time.Millisecond, WatchGrace: 50 * time.Millisecond}
	tests := []struct {
		name    string
		faults  objapi.Faults
		options store.Options
		stop    bool
		do      func(ctx context.Context, c *store.Client) error
		want    error
		// stored is the number of objects that the write left in the store.
		stored int
	}{
		{name: "503 on a write", faults: objapi.Faults{Outage: objapi.OutageRefuse}, do: create, want: store.ErrUnavailable},
		{name: "dropped write", faults: objapi.Faults{Outage: objapi.OutageDrop}, do: create, want: store.ErrOutcomeUnknown},
		{name: "dropped read", faults: objapi.Faults{Outage: objapi.OutageDrop}, do: get, want: store.ErrUnavailable},
		{name: "lost response", faults: objapi.Faults{LoseResponses: 1}, do: create, want: store.ErrOutcomeUnknown, stored: 1},
		{name: "refused connection", stop: true, do: create, want: store.ErrUnavailable},
		{name: "slow write", faults: objapi.Faults{Latency: time.Hour}, options: longTimeout, do: create, want: store.ErrOutcomeUnknown},
		{name: "slow read", faults: objapi.Faults{Latency: time.Hour}, options: shortTimeout, do: get, want: store.ErrUnavailable},
		{name: "stalled watch", faults: objapi.Faults{FreezeWatches: true}, options: shortTimeout, do: watch, want: store.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, c := start(t, tt.options)
			assert.NilError(t, server.SetFaults(tt.faults))
			if tt.stop {
				assert.NilError(t, server.Stop(t.Context()))
			}
			assert.ErrorIs(t, tt.do(t.Context(), c), tt.want)
			assert.Equal(t, server.Stats().Objects, tt.stored)
		})
	}
}

func TestRateLimitedCallIsUnavailable(t *testing.T) {
	server, c := start(t, store.Options{})
	assert.NilError(t, server.SetFaults(objapi.Faults{WritesPerSecond: 1}))
	var err error
	for i := range 50 {
		if _, err = c.Create(t.Context(), fmt.Sprint("k", i), nil); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, server.Stats().RateLimited, uint64(1))
}

func TestCancelEndsWatch(t *testing.T) {
	server, c := start(t, store.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		_, _, err := c.Watch(ctx, "", 0)
		assert.Check(t, errors.Is(err, context.Canceled))
	})
	waitForWatches(t, server, 1)
	cancel()
	group.Wait()
	waitForWatches(t, server, 0)
}

// A call that times out must not leave a stalled connection to be reused by the
// next call.
func TestClientRecoversFromStalledConnection(t *testing.T) {
	server := new(objapi.Server)
	assert.NilError(t, server.Start(loopback))
	defer func() { assert.NilError(t, server.Stop(context.Background())) }()
	link := &faulty.Link{Target: server.Addr()}
	assert.NilError(t, link.Start())
	defer link.Stop()
	c := store.New(store.Options{Address: link.Addr(), RateLimiter: unlimited(), Timeout: time.Second})
	defer c.Close()
	_, err := c.Create(t.Context(), "k", nil)
	assert.NilError(t, err)
	link.StallOpenConnections()
	_, err = c.Create(t.Context(), "l", nil)
	assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
	_, err = c.Create(t.Context(), "l", nil)
	assert.NilError(t, err)
}

func TestInvalidResponses(t *testing.T) {
	tests := []struct {
		name     string
		response string
		want     error
	}{
		{name: "response about another key", response: httpResponse("200 OK", `{"key":"other","version":1}`), want: store.ErrOutcomeUnknown},
		{name: "response that is not JSON", response: httpResponse("200 OK", `{`), want: store.ErrOutcomeUnknown},
		{name: "truncated response", response: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", want: store.ErrOutcomeUnknown},
		{name: "server error", response: httpResponse("500 Internal Server Error", ""), want: store.ErrOutcomeUnknown},
		{name: "response over the size limit", response: "HTTP/1.1 200 OK\r\n\r\n" + string(bytes.Repeat([]byte{' '}, 9<<20)), want: store.ErrOutcomeUnknown},
		{name: "conflict without the object", response: httpResponse("409 Conflict", ""), want: store.ErrConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", loopback.String())
			assert.NilError(t, err)
			var group sync.WaitGroup
			group.Go(func() { serveOnce(t, l, tt.response) })
			c := store.New(store.Options{Address: l.Addr().(*net.TCPAddr).AddrPort(), RateLimiter: unlimited()})
			_, err = c.Create(t.Context(), "k", nil)
			assert.ErrorIs(t, err, tt.want)
			c.Close()
			group.Wait()
		})
	}
}

func httpResponse(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// serveOnce reads one request and writes the response unchanged.
func serveOnce(t *testing.T, l net.Listener, response string) {
	defer l.Close()
	conn, err := l.Accept()
	assert.Check(t, err)
	defer conn.Close()
	buffer := make([]byte, http.DefaultMaxHeaderBytes)
	_, err = conn.Read(buffer)
	assert.Check(t, err)
	_, _ = conn.Write([]byte(response))
}

func waitForWatches(t *testing.T, server *objapi.Server, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := server.Stats().WaitingWatches; got != want {
			return poll.Continue("%d open watches, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// scriptedCodec returns the pages in order.
type scriptedCodec struct {
	store.KeyValueCodec
	pages []store.Page
	next  int
}

func (c *scriptedCodec) DecodePage(string, []byte) (page store.Page, err error) {
	page = c.pages[min(c.next, len(c.pages)-1)]
	c.next++
	return page, nil
}

func TestListPassesOverOddObjects(t *testing.T) {
	odd := errors.New("odd")
	tests := []struct {
		name  string
		pages []store.Page
		keys  []string
		want  error
	}{
		{name: "no name between two others", pages: []store.Page{{Objects: []store.Object{{Key: "a/b"}, {Key: "a/", Malformed: odd}, {Key: "a/c"}}}}, keys: []string{"a/b", "a/", "a/c"}},
		{
			name:  "no name at the end of a page",
			pages: []store.Page{{Objects: []store.Object{{Key: "a/b"}, {Key: "a/", Malformed: odd}}, More: true}, {Objects: []store.Object{{Key: "a/c"}}}},
			keys:  []string{"a/b", "a/", "a/c"},
		},
		{name: "pages without any name", pages: []store.Page{{Objects: []store.Object{{Key: "", Malformed: odd}}, More: true}}, want: store.ErrUnavailable},
		{
			name:  "page of objects that are being deleted",
			pages: []store.Page{{Last: "a/b", More: true}, {Objects: []store.Object{{Key: "a/c"}}}}, keys: []string{"a/c"},
		},
		{name: "page without objects and more to come", pages: []store.Page{{More: true}}, want: store.ErrUnavailable},
		{name: "keys out of order", pages: []store.Page{{Objects: []store.Object{{Key: "a/c"}, {Key: "a/b"}}}}, want: store.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, client := start(t, store.Options{Codec: &scriptedCodec{pages: tt.pages}})
			objects, _, err := client.List(t.Context(), "a/")
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
			var keys []string
			for _, o := range objects {
				keys = append(keys, o.Key)
			}
			assert.DeepEqual(t, keys, tt.keys)
		})
	}
}
