package store

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Get returns the object.
func (c *Client) Get(ctx context.Context, key string) (found Object, err error) {
	defer annotate(&err, "get", key)
	if err = checkKey(key); err != nil {
		return found, err
	}
	return c.single(ctx, key, c.options.Codec.Get(key))
}

// List returns the objects whose key starts with the prefix, ordered by key,
// and a revision to watch from: every write up to it is in the objects. Of
// later writes some may be in the objects, and the watch tells them all again.
func (c *Client) List(ctx context.Context, prefix string) (objects []Object, revision uint64, err error) {
	defer annotate(&err, "list", prefix)
	after := ""
	for {
		var page Page
		r := operation{Request: c.options.Codec.List(prefix, after)}
		err = c.call(ctx, r, func(data []byte) (err error) {
			page, err = c.options.Codec.DecodePage(prefix, data)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		for _, o := range page.Objects {
			if o.Key <= after {
				return nil, 0, fmt.Errorf("%w: key %q out of order", ErrUnavailable, o.Key)
			}
			after = o.Key
			objects = append(objects, o)
		}
		if !page.More || len(page.Objects) == 0 {
			return objects, revision, nil
		}
	}
}

// Create stores a new object, or fails with ErrConflict when the key is taken.
func (c *Client) Create(ctx context.Context, key string, value []byte) (created Object, err error) {
	defer annotate(&err, "create", key)
	if err = checkWrite(key, value); err != nil {
		return created, err
	}
	call, err := c.options.Codec.Create(key, value)
	if err != nil {
		return created, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c.single(ctx, key, call)
}

// Update replaces the object of that version, or fails with ErrConflict when
// it has another one.
func (c *Client) Update(ctx context.Context, key string, value []byte, version uint64) (updated Object, err error) {
	defer annotate(&err, "update", key)
	if err = checkWrite(key, value); err != nil {
		return updated, err
	}
	call, err := c.options.Codec.Update(key, value, version)
	if err != nil {
		return updated, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c.single(ctx, key, call)
}

// Delete removes the object of that version, or fails with ErrConflict when it
// has another one.
func (c *Client) Delete(ctx context.Context, key string, version uint64) (err error) {
	defer annotate(&err, "delete", key)
	if err = checkKey(key); err != nil {
		return err
	}
	r := operation{Request: c.options.Codec.Delete(key, version), key: key}
	// The answer tells the object that is gone, if anything.
	return c.call(ctx, r, func([]byte) error { return nil })
}

// Watch returns the events under the prefix after the revision from, as soon
// as there are any, or none after the server's wait. The next watch goes on
// from next. It fails with ErrUnavailable when no answer comes within the
// server's wait and the grace.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) (events []Event, next uint64, err error) {
	defer annotate(&err, "watch", prefix)
	r := operation{
		Request: c.options.Codec.Watch(prefix, from, c.options.WatchWait),
		timeout: c.options.WatchWait + c.options.WatchGrace,
	}
	err = c.call(ctx, r, func(data []byte) (err error) {
		events, next, err = c.options.Codec.DecodeEvents(prefix, data)
		return err
	})
	if err != nil {
		return nil, from, err
	}
	return events, next, nil
}

// single makes a call about one object.
func (c *Client) single(ctx context.Context, key string, call Request) (found Object, err error) {
	err = c.call(ctx, operation{Request: call, key: key}, func(data []byte) (err error) {
		found, err = c.options.Codec.DecodeObject(key, data)
		return err
	})
	return found, err
}

// operation is one call on its way.
type operation struct {
	Request
	// key is that of a call about one object.
	key string
	// timeout is zero for the client's default.
	timeout time.Duration
}

func (r operation) write() bool {
	return r.Method != http.MethodGet
}

// noAnswer is the error of a call that was sent and whose answer is missing or
// of no use.
func (r operation) noAnswer() error {
	if r.write() {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}
