// Package store is a client for the platform's object API. It applies rate
// limits and timeouts and classifies errors. A Codec encodes requests and
// decodes responses; KeyValueCodec implements the API in docs/PLATFORM.md.
//
// The package uses net/http instead of hertz because a call of hertz's client
// cannot be cancelled in flight: HostClient.Do checks the context only between
// attempts, and an attempt, which writes the request and reads the response,
// takes no context. A long poll must end as soon as its caller cancels it.
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
	// MaxValueSize is the maximum size of an object's value.
	MaxValueSize = 1 << 20
	// MaxKeyLength is the maximum length of an object's key.
	MaxKeyLength = 512

	maxResponseSize = 8 << 20
)

// Object is a versioned key-value pair.
type Object struct {
	// Key is unique in the store.
	Key string
	// Value is at most MaxValueSize bytes.
	Value []byte
	// Version is the store-wide revision of the last write to the object. If that can't
	// be decoded, it is the revision of the response.
	Version uint64
	// Era is the era of the store in which the object was read or written. Versions of
	// different eras can't be compared.
	Era uint64
	// Malformed is why a part of the object could not be decoded; nil if it was. Value
	// is then empty. If even the name is unknown, Key is the prefix of the list or watch.
	Malformed error
}

// Event describes a write to an object. Events may be delayed, duplicated or
// reordered: of two events with the same key, the one with the higher version
// is newer.
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

// Options configures a Client.
type Options struct {
	// Address is the address of the object API until SetAddress.
	Address netip.AddrPort
	// Host identifies the calling host to the platform, in the User-Agent header.
	Host mesh.HostID
	// Timeout limits the time in which nothing of the response to a call other than a
	// watch arrives; zero means DefaultTimeout.
	Timeout time.Duration
	// WatchWait is how long the server may hold a watch open when there are no
	// events; zero means DefaultWatchWait.
	WatchWait time.Duration
	// WatchGrace is added to WatchWait to give the client-side timeout of a
	// watch; zero means DefaultWatchGrace.
	WatchGrace time.Duration
	// RateLimiter limits the rate of calls. It may be shared between clients;
	// nil means a new one with the default rates.
	RateLimiter *RateLimiter
	// Dialer opens connections; nil means plain TCP by sock.Transport.
	Dialer Dialer
	// Codec encodes requests and decodes responses; nil means KeyValueCodec.
	Codec Codec
}

// Client is a client for the object API. It is safe for concurrent use.
type Client struct {
	// options has its defaults applied.
	options   Options
	transport *http.Transport
	// endpoint is the address in use.
	endpoint atomic.Pointer[endpoint]
	calls    atomic.Uint64
	// era is the highest era that a response had.
	era atomic.Uint64
}

// New returns a client without opening a connection.
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
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return options.Dialer.Dial(ctx, parsed)
	}
	c := &Client{
		options: options,
		transport: &http.Transport{
			DialContext: dial, MaxIdleConns: 4, MaxIdleConnsPerHost: 4,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		},
	}
	c.endpoint.Store(newEndpoint(options.Address))
	return c
}

// Calls returns the number of requests started since New. A watch counts as
// one, and so does each page of a list. Calls that failed while waiting for the
// rate limiter are not counted.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Close closes idle connections. Calls in progress are not interrupted.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}
