package silent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// at returns the time n milliseconds after start.
func at(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// trained returns a tracker with 18 slots whose classes "a" and "b" usually respond in 20
// to 40 ms, and the time after the last sample in milliseconds.
func trained() (t *Tracker, now int) {
	t = &Tracker{}
	t.Reset(18, time.Time{})
	for i := range 2 * minSamples {
		for _, class := range []string{"a", "b"} {
			exchange(t, class, now, 20+i%3*10)
		}
		now += 40
	}
	return t, now
}

// exchange makes one request that is answered after the given milliseconds.
func exchange(t *Tracker, class string, sent, took int) {
	r := &Request{Class: class, Repeatable: true}
	t.Begin(at(sent), r)
	t.Answered(at(sent+took), r)
	t.End(at(sent+took), r, Complete)
}

// TestOnlySilentRequestsAreGivenUp guards against a slow upstream, a slow route or a pause
// that is mistaken for silence, and against silence that lasts until the deadline. A
// request of class "a" is sent, and others after it.
func TestOnlySilentRequestsAreGivenUp(t *testing.T) {
	type other struct {
		class      string
		sent, took int
	}
	steady := func(class string, took int) (others []other) {
		for sent := 5; sent < 2000; sent += 25 {
			others = append(others, other{class, sent, took})
		}
		return others
	}
	// A pause ends all that is in flight within the usual time after it.
	var paused []other
	for sent := 5; sent < 900; sent += 25 {
		paused = append(paused, other{"a", sent, 900 + sent%30 - sent})
	}
	tests := []struct {
		name   string
		others []other
		// request has what decides besides.
		request Request
		// answeredAfter is when the request itself is answered; zero means never.
		answeredAfter int
		// from and to are the milliseconds between which it is given up; zero means never.
		from, to int
	}{
		{name: "others are served", others: steady("a", 30), request: Request{Repeatable: true}, from: 80, to: 250},
		{name: "must not be repeated", others: steady("a", 30)},
		{name: "no others", request: Request{Repeatable: true}},
		{name: "upstream is slow tenfold", others: steady("a", 300), request: Request{Repeatable: true}, answeredAfter: 320},
		{name: "silent while the upstream is slow tenfold", others: steady("a", 300), request: Request{Repeatable: true}, from: 600, to: 1600},
		{name: "route is slow by itself", others: steady("b", 30), request: Request{Repeatable: true}},
		{name: "pause of the upstream", others: paused, request: Request{Repeatable: true}, answeredAfter: 930},
		{name: "no time for another attempt", others: steady("a", 30), request: Request{Repeatable: true, Deadline: at(0).Add(100 * time.Millisecond)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, now := trained()
			r := tt.request
			r.Class = "a"
			if !r.Deadline.IsZero() {
				r.Deadline = r.Deadline.Add(time.Duration(now) * time.Millisecond)
			}
			tracker.Begin(at(now), &r)
			others := make([]*Request, len(tt.others))
			givenUp := 0
			_, check := tracker.Check(at(now), &r)
			for ms := 0; ms < 2000 && givenUp == 0 && (tt.answeredAfter == 0 || ms < tt.answeredAfter); ms++ {
				for i, o := range tt.others {
					if o.sent == ms {
						others[i] = &Request{Class: o.class}
						tracker.Begin(at(now+ms), others[i])
					}
					if o.sent+o.took == ms {
						tracker.Answered(at(now+ms), others[i])
						tracker.End(at(now+ms), others[i], Complete)
					}
				}
				for !check.IsZero() && !at(now+ms).Before(check) && givenUp == 0 {
					var giveUp bool
					if giveUp, check = tracker.Check(at(now+ms), &r); giveUp {
						givenUp = ms
					}
				}
			}
			assert.Assert(t, givenUp >= tt.from && givenUp <= tt.to, "given up after %d ms", givenUp)
		})
	}
}

// TestHeldSlots guards against more requests at the upstream than it accepts, because
// requests that nobody waits for were forgotten, and against slots that stay held.
func TestHeldSlots(t *testing.T) {
	tests := []struct {
		name string
		run  func(tracker *Tracker, now int)
		// held is the number of slots held at once, and after is when none is held.
		held  int
		after time.Duration
	}{
		{name: "complete", run: func(tr *Tracker, now int) { exchange(tr, "a", now, 0) }},
		{name: "canceled", run: func(tr *Tracker, now int) { leave(tr, "a", now, 3) }, held: 3, after: 40 * time.Millisecond},
		{name: "canceled in an unknown class", run: func(tr *Tracker, now int) { leave(tr, "new", now, 1) }, held: 1, after: defaultLinger},
		{name: "more canceled than slots", run: func(tr *Tracker, now int) { leave(tr, "a", now, 30) }, held: 18, after: 40 * time.Millisecond},
		{name: "health check", run: func(tr *Tracker, now int) {
			tr.BeginCheck()
			tr.EndCheck(at(now), false)
		}, held: 1, after: defaultLinger},
		{name: "answered health check", run: func(tr *Tracker, now int) {
			tr.BeginCheck()
			tr.EndCheck(at(now), true)
		}},
		{name: "earlier process", run: func(tr *Tracker, now int) { tr.Reset(18, at(now).Add(time.Second)) }, held: 18, after: time.Second},
		{name: "canceled before the upstream was replaced", run: func(tr *Tracker, now int) {
			r := &Request{Class: "a"}
			tr.Begin(at(now), r)
			tr.Reset(18, time.Time{})
			tr.End(at(now), r, Left)
		}},
		{name: "reset of a lightly used upstream", run: func(tr *Tracker, now int) { end(tr, now, 5, Reset) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, now := trained()
			tt.run(tracker, now)
			held, next := tracker.Held(at(now))
			assert.Equal(t, held, tt.held)
			assert.Equal(t, next.IsZero(), tt.held == 0)
			held, next = tracker.Held(at(now).Add(tt.after + time.Millisecond))
			assert.Equal(t, held, 0)
			assert.Assert(t, next.IsZero())
		})
	}
}

// leave begins so many requests and leaves them at once.
func leave(t *Tracker, class string, now, count int) {
	for range count {
		r := &Request{Class: class}
		t.Begin(at(now), r)
		t.End(at(now), r, Left)
	}
}

// end begins so many requests and ends the last one in the given way. Before that, it is
// passed by others if it is silent.
func end(t *Tracker, now, count int, way End) {
	r := &Request{}
	for range count {
		r = &Request{Class: "a"}
		t.Begin(at(now), r)
	}
	if way == Silent {
		for range minPassed {
			exchange(t, "a", now+1, 1)
		}
		for sent := now; r.passedBy.IsZero(); sent += 10 {
			t.Check(at(sent), r)
			now = sent
		}
	}
	t.End(at(now), r, way)
}

// TestUpstreamGetsFewerRequestsUntilItAnswers guards against an upstream that goes on to
// get as many requests as before it was silent, and against one that stays limited.
func TestUpstreamGetsFewerRequestsUntilItAnswers(t *testing.T) {
	tests := []struct {
		name     string
		inFlight int
		way      End
		// limit is the limit at once, and soon that after half a second of answers.
		limit, soon int
	}{
		{name: "silent at full load", inFlight: 18, way: Silent, limit: 12, soon: 17},
		{name: "silent at low load", inFlight: 2, way: Silent, limit: 1, soon: 1},
		{name: "silent alone", inFlight: 1, way: Silent, limit: 1, soon: 1},
		{name: "reset at full load", inFlight: 18, way: Reset, limit: 12, soon: 17},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, now := trained()
			end(tracker, now, tt.inFlight, tt.way)
			assert.Equal(t, tracker.Limit(), tt.limit)
			// Those that were sent together with it say nothing more.
			tracker.reduce(at(now), &Request{Class: "a", sent: at(now - 1), inFlight: 1})
			assert.Equal(t, tracker.Limit(), tt.limit)
			for i := range 12 {
				exchange(tracker, "a", now+300+40*i, 30)
			}
			assert.Equal(t, tracker.Limit(), tt.soon)
			for i := range 200 {
				exchange(tracker, "a", now+800+40*i, 30)
			}
			assert.Assert(t, !tracker.Limited())
		})
	}
}

// TestLateAnswerRestoresTheLimit guards against a slow upstream that gets fewer requests
// than it can run, and against a silent one that gets all again because another request
// was late.
func TestLateAnswerRestoresTheLimit(t *testing.T) {
	tests := []struct {
		name     string
		answered int
		limited  bool
	}{
		{name: "the request that was passed first", answered: 0},
		{name: "another one", answered: 1, limited: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, now := trained()
			var requests [2]Request
			for i := range requests {
				requests[i].Class = "a"
				tracker.Begin(at(now), &requests[i])
			}
			for range minPassed {
				exchange(tracker, "a", now+1, 30)
			}
			for i := range requests {
				tracker.Check(at(now+100), &requests[i])
			}
			assert.Assert(t, tracker.Limited())
			tracker.Answered(at(now+110), &requests[tt.answered])
			assert.Equal(t, tracker.Limited(), tt.limited)
		})
	}
}

// TestInheritedSlotsAreReleasedByEvidence guards against a restarted process that sends as
// much as its slots allow while the requests of its predecessor run, and against one that
// waits although the upstream is free.
func TestInheritedSlotsAreReleasedByEvidence(t *testing.T) {
	tests := []struct {
		name       string
		took       int
		heldBefore int
	}{
		{name: "answered at once", took: 20, heldBefore: 0},
		{name: "queued", took: 90, heldBefore: 18},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := &Tracker{}
			tracker.Reset(18, at(0).Add(2*time.Second))
			for round := range 18 {
				var requests []*Request
				held, _ := tracker.Held(at(round * 100))
				for range max(18-held, 1) {
					r := &Request{Class: "a", Typical: 30 * time.Millisecond}
					tracker.Begin(at(round*100), r)
					requests = append(requests, r)
				}
				for _, r := range requests {
					tracker.Answered(at(round*100+tt.took), r)
					tracker.End(at(round*100+tt.took), r, Complete)
				}
			}
			held, _ := tracker.Held(at(1900))
			assert.Assert(t, held <= tt.heldBefore && (held > 0) == (tt.heldBefore > 0), "%d held", held)
			held, _ = tracker.Held(at(2000))
			assert.Equal(t, held, 0)
		})
	}
}

// BenchmarkRequest measures what one request costs that is checked twice.
func BenchmarkRequest(b *testing.B) {
	tracker, now := trained()
	b.ReportAllocs()
	for b.Loop() {
		r := Request{Class: "a", Repeatable: true}
		tracker.Begin(at(now), &r)
		tracker.Check(at(now+100), &r)
		tracker.Check(at(now+200), &r)
		tracker.Answered(at(now+30), &r)
		tracker.Held(at(now + 30))
		tracker.End(at(now+30), &r, Complete)
		tracker.Held(at(now + 30))
	}
}
