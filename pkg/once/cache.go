package once

import (
	"container/list"
	"time"
)

// DefaultCacheBytes bounds a Memory whose Limit is zero.
const DefaultCacheBytes = 4 << 20

// ResponseCache holds the first answers of keys, bounded in bytes; the oldest go first.
// The zero ResponseCache is ready to use. One ResponseCache may serve several ledgers.
type ResponseCache[A any] struct {
	// MaxBytes bounds the bytes held; zero means DefaultMemoryBytes.
	MaxBytes int

	// answers holds the elements of order, by key.
	answers map[KeyHash]*list.Element
	// order lists *remembered[A], the oldest first.
	order list.List
	// bytes is the sum of the sizes held, at most Limit.
	bytes int
}

// remembered is one answer.
type remembered[A any] struct {
	key     KeyHash
	answer  A
	size    int
	expires time.Time
}

// Put holds an answer of that size until it expires or must make room. It
// returns false when the answer is larger than the whole memory.
func (m *ResponseCache[A]) Put(key KeyHash, answer A, size int, expires time.Time) (kept bool) {
	limit := m.MaxBytes
	if limit == 0 {
		limit = DefaultCacheBytes
	}
	m.Delete(key)
	if size > limit {
		return false
	}
	for m.bytes+size > limit {
		m.remove(m.order.Front())
	}
	if m.answers == nil {
		m.answers = make(map[KeyHash]*list.Element)
	}
	held := &remembered[A]{key: key, answer: answer, size: size, expires: expires}
	m.answers[key] = m.order.PushBack(held)
	m.bytes += size
	return true
}

// Get returns the answer of the key while it is held.
func (m *ResponseCache[A]) Get(now time.Time, key KeyHash) (answer A, ok bool) {
	answer, _, ok = m.find(now, key)
	return answer, ok
}

// find returns the answer of the key and its size while it is held.
func (m *ResponseCache[A]) find(now time.Time, key KeyHash) (answer A, size int, ok bool) {
	element, ok := m.answers[key]
	if !ok {
		return answer, 0, false
	}
	held, _ := element.Value.(*remembered[A])
	if !now.Before(held.expires) {
		m.remove(element)
		return answer, 0, false
	}
	return held.answer, held.size, true
}

// Delete forgets the answer of the key.
func (m *ResponseCache[A]) Delete(key KeyHash) {
	if element, ok := m.answers[key]; ok {
		m.remove(element)
	}
}

// EvictExpired forgets the oldest answers as far as they are expired.
func (m *ResponseCache[A]) EvictExpired(now time.Time) {
	for e := m.order.Front(); e != nil; e = m.order.Front() {
		if held, _ := e.Value.(*remembered[A]); now.Before(held.expires) {
			return
		}
		m.remove(e)
	}
}

// Bytes returns the sum of the sizes held.
func (m *ResponseCache[A]) Bytes() int {
	return m.bytes
}

// Len returns how many answers are held.
func (m *ResponseCache[A]) Len() int {
	return m.order.Len()
}

func (m *ResponseCache[A]) remove(element *list.Element) {
	held, _ := m.order.Remove(element).(*remembered[A])
	delete(m.answers, held.key)
	m.bytes -= held.size
}
