package serve

import "sync/atomic"

// Counters counts calls by outcome.
type Counters struct {
	Answered atomic.Uint64
	Replayed atomic.Uint64
	NotRun   atomic.Uint64
	Unknown  atomic.Uint64
	// Truncated counts the responses whose body was truncated.
	Truncated atomic.Uint64
	// Silent counts the calls that were given up because the upstream answered others, and
	// Reset those whose connection it closed before the first byte of a response.
	Silent, Reset atomic.Uint64
}

// Counters returns the live counters.
func (h *Handler) Counters() *Counters {
	return &h.counters
}
