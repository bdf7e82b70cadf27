package soak_test

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// kind is what may be done with a request.
type kind string

const (
	safe     kind = "safe"
	unsafe   kind = "unsafe"
	download kind = "download"
)

// story is what callers and upstreams saw of one request.
type story struct {
	id   string
	kind kind
	node string
	// sent is when its last byte was written, and ended when it was answered or
	// its connection ended.
	sent, ended time.Time
	// status is zero when there was no answer.
	status int
	runs   []run
}

// run is one start of work at an upstream.
type run struct {
	instance, service string
	at                time.Time
}

// span is a stretch of time with a name.
type span struct {
	name     string
	from, to time.Time
}

// ledger collects what was seen, and what broke a promise.
type ledger struct {
	mutex    sync.Mutex
	stories  map[string]*story
	breaches []string
	// unplanned and stops are the faults and the planned stops so far.
	unplanned, stops []span
}

func newLedger() *ledger {
	return &ledger{stories: make(map[string]*story)}
}

func (l *ledger) breach(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.breaches = append(l.breaches, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// get returns the story of a request; the mutex is held.
func (l *ledger) get(id string) *story {
	s := l.stories[id]
	if s == nil {
		s = &story{id: id}
		l.stories[id] = s
	}
	return s
}

func (l *ledger) ran(id string, r run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.get(id)
	s.runs = append(s.runs, r)
}

func (l *ledger) ended(told story) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.get(told.id)
	s.kind, s.node, s.sent, s.ended, s.status = told.kind, told.node, told.sent, told.ended, told.status
}

// fault notes a fault that nobody planned, from now until the time returned by end.
func (l *ledger) fault(name string, lasts time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.unplanned = append(l.unplanned, span{name: name, from: now, to: now.Add(lasts)})
}

func (l *ledger) stop(node string, lasts time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.stops = append(l.stops, span{name: node, from: now, to: now.Add(lasts)})
}

// calm reports whether nothing unplanned happened in that time; the mutex is held.
func (l *ledger) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(l.unplanned, func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// judge adds the breaches that show once everything is known.
func (l *ledger) judge() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := slices.Clone(l.breaches)
	note := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for id, s := range l.stories {
		switch {
		case s.kind == "":
			note("%s ran at %s and no caller sent it", id, s.runs[0].instance)
		case s.kind == unsafe && len(s.runs) > 1:
			note("%s ran %d times: %v", id, len(s.runs), s.runs)
		case s.kind == unsafe && len(s.runs) > 0 && promises(s.status):
			note("%s was refused with %d and ran: %v", id, s.status, s.runs)
		case s.status == 0 && l.cutByStop(s):
			note("%s was cut by the planned stop of %s, sent %s, ended %s, runs %v", id, s.node, s.sent.Format("05.000"), s.ended.Format("05.000"), s.runs)
		}
	}
	slices.Sort(found)
	return found
}

// promises reports whether the status says that the request never runs.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// cutByStop reports whether a request without an answer was lost to nothing but
// a planned stop of its node: it was passed on, or read in full some time before.
func (l *ledger) cutByStop(s *story) bool {
	stopped := slices.ContainsFunc(l.stops, func(stop span) bool {
		return stop.name == s.node && s.ended.After(stop.from) && s.ended.Before(stop.to)
	})
	took := s.ended.Sub(s.sent)
	return stopped && took < timeLimit*7/10 && l.calm(s.sent.Add(-contact), s.ended) && (len(s.runs) > 0 || took > lossSlack)
}

// served counts the requests that were sent in that time and those answered well.
func (l *ledger) served(from, to time.Time) (good, all int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, s := range l.stories {
		if s.sent.Before(from) || s.sent.After(to) {
			continue
		}
		all++
		if s.status >= 200 && s.status < 300 {
			good++
		}
	}
	return good, all
}
