package fleet

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/member"
)

// Report is what an upstream says of itself in one call.
type Report struct {
	Upstream
	// Deregister ends the lifetime, whatever its sequence.
	Deregister bool
}

// ReportResult says what became of a word.
type ReportResult uint8

// The verdicts.
const (
	// Stale words say nothing new.
	Stale ReportResult = iota
	// Renewed means that the word says what was known.
	Renewed
	// Changed means that the upstream's record is another now.
	Changed
)

var verdictNames = [...]string{"stale", "renewed", "changed"}

// String returns the name used in logs.
func (v ReportResult) String() string {
	return verdictNames[v]
}

// secondWord is how long after the first word of an upstream that was there
// before this process another one lets it count; late words come together.
const secondWord = 500 * time.Millisecond

// UpstreamTracker keeps what is known of the upstream beside a node, in the order of its
// own lifetimes and words, whenever they arrive. The zero UpstreamTracker knows none.
type UpstreamTracker struct {
	// ProcessStart is when this process began. A lifetime that began before may have said
	// to an earlier process that it leaves. The zero ProcessStart is before all of them.
	ProcessStart time.Time
	// known is the last word that stood; its State never goes back within a lifetime.
	known Upstream
	// renewed is when a word last stood.
	renewed time.Time
	// silent is true after the lifetime's words stopped for too long.
	silent bool
	// doubted is true while the upstream counts as lost only since nothing shows that
	// it still serves; before is its state as it was recorded or said.
	doubted bool
	before  member.State
	// trusted is true once the lifetime was shown to serve, and spoke is when its
	// first word to this process came.
	trusted bool
	spoke   time.Time
}

// Upstream returns what is known of the upstream.
func (g *UpstreamTracker) Upstream() Upstream {
	return g.known
}

// Restore takes in what an earlier process of this node had recorded. It binds
// until the upstream speaks again, and admits no work by itself: one that served
// is doubted until then, or until it is found.
func (g *UpstreamTracker) Restore(recorded Upstream) {
	if recorded.Instance == "" || later(g.known, recorded) {
		return
	}
	before, served := recorded.State, recorded.State.Takes()
	if served {
		recorded.State = member.Lost
	}
	if recorded.Instance == g.known.Instance && recorded.StartedAt.Equal(g.known.StartedAt) && g.known.State == member.Lost {
		return
	}
	g.known = recorded
	g.silent = true
	g.doubted, g.before = served, before
}

// Unconfirmed returns the upstream that serves by its record or a word that may be
// late; ok is false when there is none.
func (g *UpstreamTracker) Unconfirmed() (upstream Upstream, ok bool) {
	return g.known, g.doubted
}

// Confirm takes in that the lifetime answered that it serves. If it is the one that
// is doubted, it counts as it was recorded.
func (g *UpstreamTracker) Confirm(now time.Time, instance string) (changed bool) {
	if !g.doubted || g.known.Instance != instance {
		return false
	}
	g.known.State = g.before
	g.renewed, g.silent, g.doubted, g.trusted = now, false, false, true
	return true
}

// later reports whether a is of a later lifetime than b, or a later word of the same.
func later(a, b Upstream) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.Instance == b.Instance && a.Sequence >= b.Sequence
}

// HandleReport takes in a word. A lifetime that drains takes no new work again, and one
// that left is never back.
func (g *UpstreamTracker) HandleReport(now time.Time, word Report) (verdict ReportResult) {
	same := word.Instance == g.known.Instance && (word.StartedAt.Equal(g.known.StartedAt) || word.StartedAt.IsZero())
	if !same {
		return g.hearOther(now, word)
	}
	if word.Deregister {
		return g.end(now)
	}
	if word.Sequence <= g.known.Sequence || g.known.State == member.Left {
		return Stale
	}
	next := word.Upstream
	if next.StartedAt.IsZero() {
		next.StartedAt = g.known.StartedAt
	}
	if g.known.State == member.Draining {
		next.State = member.Draining
	}
	g.renewed, g.silent = now, false
	return g.replace(g.weigh(now, next))
}

// hearOther takes in a word of another lifetime.
func (g *UpstreamTracker) hearOther(now time.Time, word Report) ReportResult {
	if word.Deregister || word.StartedAt.Before(g.known.StartedAt) {
		return Stale
	}
	if word.StartedAt.Equal(g.known.StartedAt) && g.known.Instance != "" && g.known.State != member.Left && !g.silent {
		return Stale
	}
	g.renewed, g.silent = now, false
	g.trusted, g.spoke = false, time.Time{}
	return g.replace(g.weigh(now, word.Upstream))
}

// weigh returns what a word counts for. A late word of a lifetime that was there
// before this process could hide that it leaves: such a lifetime counts once it
// was found, or has spoken again a while later.
func (g *UpstreamTracker) weigh(now time.Time, next Upstream) Upstream {
	again := !g.spoke.IsZero() && now.Sub(g.spoke) >= secondWord
	if g.spoke.IsZero() {
		g.spoke = now
	}
	g.doubted = next.State.Takes() && !g.trusted && !again && !g.ProcessStart.IsZero() && !next.StartedAt.After(g.ProcessStart)
	if !g.doubted {
		g.trusted = g.trusted || next.State.Takes()
		return next
	}
	g.before, next.State = next.State, member.Lost
	return next
}

// replace puts the next record in force and tells whether it says something new.
func (g *UpstreamTracker) replace(next Upstream) ReportResult {
	old := g.known
	g.known = next
	old.Sequence, old.ColdRemaining = next.Sequence, next.ColdRemaining
	if old.StartedAt.Equal(next.StartedAt) {
		old.StartedAt = next.StartedAt
	}
	if old == next {
		return Renewed
	}
	return Changed
}

func (g *UpstreamTracker) end(now time.Time) ReportResult {
	if g.known.State == member.Left {
		return Renewed
	}
	g.known.State = member.Left
	g.renewed, g.doubted = now, false
	return Changed
}

// Expire calls the upstream lost when no word of it stood for so long; its next
// word brings it back.
func (g *UpstreamTracker) Expire(now time.Time, after time.Duration) (changed bool) {
	due := g.ExpiresAt(after)
	if due.IsZero() || now.Before(due) {
		return false
	}
	g.silent = true
	if g.known.State == member.Draining {
		g.known.State = member.Left
		return true
	}
	g.known.State = member.Lost
	return true
}

// ExpiresAt returns when the upstream expires; zero when it can't.
func (g *UpstreamTracker) ExpiresAt(after time.Duration) time.Time {
	if g.known.Instance == "" || g.silent || !g.known.State.Live() {
		return time.Time{}
	}
	return g.renewed.Add(after)
}

// MarkUnreachable calls the upstream lost until its next word, since connections to
// it fail.
func (g *UpstreamTracker) MarkUnreachable() (changed bool) {
	if g.known.Instance == "" || !g.known.State.Live() {
		return false
	}
	g.silent = true
	if g.known.State != member.Draining {
		g.known.State = member.Lost
		return true
	}
	return false
}
