package once

import (
	"container/list"
	"time"
)

// DefaultCacheBytes is the bound of a ResponseCache whose MaxBytes is zero.
const DefaultCacheBytes = 4 << 20

// ResponseCache caches the first responses of keys, bounded in bytes. It evicts
// the oldest entries first. The zero ResponseCache is ready to use. One
// ResponseCache may serve several key tables.
type ResponseCache[R any] struct {
	// MaxBytes bounds the total size of the cached responses; zero means
	// DefaultCacheBytes.
	MaxBytes int

	// elements holds the elements of oldestFirst, by key.
	elements map[KeyHash]*list.Element
	// oldestFirst lists values of type *cachedEntry[R], oldest first.
	oldestFirst list.List
	// bytes is the total size of the cached responses, at most MaxBytes.
	bytes int
}

// cachedEntry is the cached response of one key.
type cachedEntry[R any] struct {
	key      KeyHash
	response R
	size     int
	expires  time.Time
}

// Put caches a response of the given size until it expires or is evicted. It
// returns false if the response is larger than the whole cache.
func (c *ResponseCache[R]) Put(key KeyHash, response R, size int, expires time.Time) (kept bool) {
	limit := c.MaxBytes
	if limit == 0 {
		limit = DefaultCacheBytes
	}
	c.Delete(key)
	if size > limit {
		return false
	}
	for c.bytes+size > limit {
		c.remove(c.oldestFirst.Front())
	}
	if c.elements == nil {
		c.elements = make(map[KeyHash]*list.Element)
	}
	cached := &cachedEntry[R]{key: key, response: response, size: size, expires: expires}
	c.elements[key] = c.oldestFirst.PushBack(cached)
	c.bytes += size
	return true
}

// Get returns the cached response of the key, if there is one.
func (c *ResponseCache[R]) Get(now time.Time, key KeyHash) (response R, ok bool) {
	response, _, ok = c.lookup(now, key)
	return response, ok
}

// lookup returns the cached response of the key and its size, if there is one.
func (c *ResponseCache[R]) lookup(now time.Time, key KeyHash) (response R, size int, ok bool) {
	element, ok := c.elements[key]
	if !ok {
		return response, 0, false
	}
	cached, _ := element.Value.(*cachedEntry[R])
	if !now.Before(cached.expires) {
		c.remove(element)
		return response, 0, false
	}
	return cached.response, cached.size, true
}

// Delete removes the response of the key.
func (c *ResponseCache[R]) Delete(key KeyHash) {
	if element, ok := c.elements[key]; ok {
		c.remove(element)
	}
}

// EvictExpired removes expired responses, oldest first, up to the first that has
// not expired.
func (c *ResponseCache[R]) EvictExpired(now time.Time) {
	for e := c.oldestFirst.Front(); e != nil; e = c.oldestFirst.Front() {
		if cached, _ := e.Value.(*cachedEntry[R]); now.Before(cached.expires) {
			return
		}
		c.remove(e)
	}
}

// Bytes returns the total size of the cached responses.
func (c *ResponseCache[R]) Bytes() int {
	return c.bytes
}

// Len returns the number of cached responses.
func (c *ResponseCache[R]) Len() int {
	return c.oldestFirst.Len()
}

func (c *ResponseCache[R]) remove(element *list.Element) {
	cached, _ := c.oldestFirst.Remove(element).(*cachedEntry[R])
	delete(c.elements, cached.key)
	c.bytes -= cached.size
}
