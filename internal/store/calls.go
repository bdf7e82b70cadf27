package store

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Get returns the object stored under the key.
func (c *Client) Get(ctx context.Context, key string) (found Object, err error) {
	defer annotate(&err, "get", key)
	if err = validateKey(key); err != nil {
		return found, err
	}
	return c.doObject(ctx, key, c.options.Codec.Get(key))
}

// List returns the objects whose key starts with the prefix, sorted by key,
// and the revision from which to watch. The objects reflect every write up to
// that revision, and possibly some later writes; a watch from the revision
// returns all later writes.
func (c *Client) List(ctx context.Context, prefix string) (objects []Object, revision uint64, err error) {
	defer annotate(&err, "list", prefix)
	after := ""
	for {
		var page Page
		op := operation{Request: c.options.Codec.List(prefix, after)}
		err = c.do(ctx, op, func(data []byte, era uint64) (err error) {
			page, err = c.options.Codec.DecodePage(prefix, data)
			for i := range page.Objects {
				page.Objects[i].Era = era
			}
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		previous := after
		for _, o := range page.Objects {
			if o.Key <= after && o.Malformed == nil {
				return nil, 0, fmt.Errorf("%w: key %q out of order", ErrUnavailable, o.Key)
			}
			after = max(after, o.Key)
			objects = append(objects, o)
		}
		after = max(after, page.Last)
		if !page.More {
			return objects, revision, nil
		}
		if after == previous {
			return nil, 0, fmt.Errorf("%w: page after %q contains no key", ErrUnavailable, after)
		}
	}
}

// Create stores a new object. It fails with ErrConflict when the key exists.
func (c *Client) Create(ctx context.Context, key string, value []byte) (created Object, err error) {
	defer annotate(&err, "create", key)
	if err = validateWrite(key, value); err != nil {
		return created, err
	}
	req, err := c.options.Codec.Create(key, value)
	if err != nil {
		return created, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c.doObject(ctx, key, req)
}

// Update replaces the object's value. It fails with ErrConflict unless the
// object has the given version. See WithEra for a version that was read before the store
// may have been restored.
func (c *Client) Update(ctx context.Context, key string, value []byte, version uint64) (updated Object, err error) {
	defer annotate(&err, "update", key)
	if err = validateWrite(key, value); err != nil {
		return updated, err
	}
	req, err := c.options.Codec.Update(key, value, version)
	if err != nil {
		return updated, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c.doObject(ctx, key, req)
}

// UpdateStatus replaces the object's status. It fails with ErrConflict unless the object
// has the given version.
func (c *Client) UpdateStatus(ctx context.Context, key string, status []byte, version uint64) (updated Object, err error) {
	defer annotate(&err, "update status of", key)
	if err = validateWrite(key, status); err != nil {
		return updated, err
	}
	req, err := c.options.Codec.UpdateStatus(key, status, version)
	if err != nil {
		return updated, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c.doObject(ctx, key, req)
}

// Delete removes the object. It fails with ErrConflict unless the object has
// the given version.
func (c *Client) Delete(ctx context.Context, key string, version uint64) (err error) {
	defer annotate(&err, "delete", key)
	if err = validateKey(key); err != nil {
		return err
	}
	op := operation{Request: c.options.Codec.Delete(key, version), key: key}
	// The response contains at most the deleted object, so it is not decoded.
	return c.do(ctx, op, func([]byte, uint64) error { return nil })
}

// Watch waits for writes after the revision from to objects whose key starts
// with the prefix, and returns their events. It returns no events when there
// are none within Options.WatchWait. The next watch starts from next. Watch
// fails with ErrUnavailable when no response arrives within WatchWait plus
// WatchGrace.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) (events []Event, next uint64, err error) {
	defer annotate(&err, "watch", prefix)
	op := operation{
		Request: c.options.Codec.Watch(prefix, from, c.options.WatchWait),
		timeout: c.options.WatchWait + c.options.WatchGrace,
	}
	err = c.do(ctx, op, func(data []byte, era uint64) (err error) {
		events, next, err = c.options.Codec.DecodeEvents(prefix, data)
		for i := range events {
			events[i].Era = era
		}
		return err
	})
	if err != nil {
		return nil, from, err
	}
	return events, next, nil
}

// doObject sends a request that returns one object.
func (c *Client) doObject(ctx context.Context, key string, req Request) (found Object, err error) {
	err = c.do(ctx, operation{Request: req, key: key}, func(data []byte, era uint64) (err error) {
		found, err = c.options.Codec.DecodeObject(key, data)
		found.Era = era
		return err
	})
	return found, err
}

// operation is a request together with how to send it and report its errors.
type operation struct {
	Request
	// key is set for requests about one object.
	key string
	// timeout overrides Options.Timeout; zero means no override.
	timeout time.Duration
}

func (o operation) isWrite() bool {
	return o.Method != http.MethodGet
}

// lostResponseError returns the sentinel for a request that was sent but whose
// response is missing or unusable. A write may have taken effect.
func (o operation) lostResponseError() error {
	if o.isWrite() {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}
