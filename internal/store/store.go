// Package store is the client of the platform's object API: its budget of
// calls, its timeouts and what its failures mean. How calls are written is a
// Codec; that of docs/PLATFORM.md is KeyValueCodec.
//
// It uses net/http in place of hertz, because a call of hertz's client cannot
// be cancelled in flight: its HostClient.Do looks at the context only between
// attempts, and the attempt itself, which writes the request and reads the
// answer, takes no context. A long poll has to end as soon as its caller does.
package store

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/sock"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Defaults of Options.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultWatchWait  = 20 * time.Second
	DefaultWatchGrace = 3 * time.Second
)

// Limits of the object API, in bytes.
const (
	// MaxValueSize bounds the value of one object.
	MaxValueSize = 1 << 20
	// MaxKeyLength bounds the key of one object.
	MaxKeyLength = 512

	maxAnswerSize = 8 << 20
)

// Object is one stored value.
type Object struct {
	// Key is unique in the store.
	Key string
	// Value is at most MaxValueSize long.
	Value []byte
	// Version is the store-wide revision of the last write to the object.
	Version uint64
}

// Event tells one write. Events may come late, twice or out of order: of two
// events with the same key, the one with the higher version is the later.
type Event struct {
	Object
	// Deleted is true when the write removed the object; Value is then empty
	// and Version is the revision of the deletion.
	Deleted bool
}

// Dialer opens connections to the platform.
type Dialer interface {
	Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error)
}

// Options says where the platform is and how to use it.
type Options struct {
	// Address of the object API.
	Address netip.AddrPort
	// Host names the calling host to the platform.
	Host mesh.HostID
	// Timeout bounds a call other than a watch; zero means DefaultTimeout.
	Timeout time.Duration
	// WatchWait is how long the server may hold a watch without events; zero means
	// DefaultWatchWait.
	WatchWait time.Duration
	// WatchGrace is how much longer than WatchWait a watch waits for its answer before
	// it counts as dead; zero means DefaultWatchGrace.
	WatchGrace time.Duration
	// RateLimiter bounds the rate of calls. It may be shared between clients; nil
	// means one with the default rates.
	RateLimiter *RateLimiter
	// Dialer opens connections; nil means plain TCP.
	Dialer Dialer
	// Codec is how calls are written; nil means KeyValueCodec.
	Codec Codec
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	// options has its defaults filled in.
	options   Options
	transport *http.Transport
	calls     atomic.Uint64
}

// New returns a client. It opens no connection.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.WatchWait == 0 {
		options.WatchWait = DefaultWatchWait
	}
	if options.WatchGrace == 0 {
		options.WatchGrace = DefaultWatchGrace
	}
	if options.RateLimiter == nil {
		options.RateLimiter = new(RateLimiter)
	}
	if options.Dialer == nil {
		options.Dialer = sock.Transport{}
	}
	if options.Codec == nil {
		options.Codec = KeyValueCodec{}
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return options.Dialer.Dial(ctx, options.Address)
	}
	return &Client{
		options: options,
		transport: &http.Transport{
			DialContext: dial, MaxIdleConns: 4, MaxIdleConnsPerHost: 4,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		},
	}
}

// Calls returns how many calls were begun since New, a watch and each page of
// a list being one. Calls that the budget held back to the end don't count.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Close closes idle connections. Calls underway go on.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}
