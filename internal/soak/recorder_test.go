package soak_test

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// kind is the kind of a request, as its route declares it: whether it is safe to
// repeat, and whether its response is long.
type kind string

const (
	safe     kind = "safe"
	unsafe   kind = "unsafe"
	download kind = "download"
)

// requestRecord is what the caller and the upstreams observed of one request.
type requestRecord struct {
	id   string
	kind kind
	node string
	// keyed is true if it had the key of keyVersion.
	keyed      bool
	keyVersion uint64
	// began is a time before its first byte was written, sent is when its last byte was written, and ended when its response was read
	// or its connection failed.
	began, sent, ended time.Time
	// status is zero if there was no complete response.
	status     int
	executions []execution
}

// execution is one start of a request at an upstream.
type execution struct {
	instance, service string
	at                time.Time
}

// interval is a time interval with the name of what happened in it.
type interval struct {
	name     string
	from, to time.Time
}

// recorder collects requests, faults and violated guarantees.
type recorder struct {
	mutex      sync.Mutex
	requests   map[string]*requestRecord
	violations []string
	// unplannedFaults and plannedStops hold those injected so far.
	unplannedFaults, plannedStops []interval
}

func newRecorder() *recorder {
	return &recorder{requests: make(map[string]*requestRecord)}
}

func (r *recorder) violation(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// request returns the record of a request and creates it if needed; the mutex is
// held.
func (r *recorder) request(id string) *requestRecord {
	req := r.requests[id]
	if req == nil {
		req = &requestRecord{id: id}
		r.requests[id] = req
	}
	return req
}

func (r *recorder) recordExecution(id string, executed execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	req := r.request(id)
	req.executions = append(req.executions, executed)
}

func (r *recorder) recordEnd(ended requestRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	req := r.request(ended.id)
	req.kind, req.node, req.began, req.sent, req.ended, req.status = ended.kind, ended.node, ended.began, ended.sent, ended.ended, ended.status
	req.keyed, req.keyVersion = ended.keyed, ended.keyVersion
}

// recordFault records an unplanned fault from now on.
func (r *recorder) recordFault(name string, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.unplannedFaults = append(r.unplannedFaults, interval{name: name, from: now, to: now.Add(duration)})
}

func (r *recorder) recordStop(node string, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.plannedStops = append(r.plannedStops, interval{name: node, from: now, to: now.Add(duration)})
}

// undisturbed reports whether no unplanned fault overlaps that time; the mutex is
// held.
func (r *recorder) undisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(r.unplannedFaults, func(fault interval) bool { return fault.from.Before(to) && fault.to.After(from) })
}

// check returns the violations recorded so far and those that show only once all
// requests have ended.
func (r *recorder) check() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	violations := slices.Clone(r.violations)
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for id, req := range r.requests {
		switch {
		case req.kind == "":
			add("%s ran at %s, but no caller sent it", id, req.executions[0].instance)
		case req.kind == unsafe && len(req.executions) > 1:
			add("%s ran %d times: %v", id, len(req.executions), req.executions)
		case req.kind == unsafe && len(req.executions) > 0 && guaranteesNotRun(req.status):
			add("%s was refused with %d, but ran: %v", id, req.status, req.executions)
		case req.status == 0 && r.cutByStop(req):
			add("%s was cut by the planned stop of %s, sent %s, ended %s, runs %v", id, req.node, req.sent.Format("05.000"), req.ended.Format("05.000"), req.executions)
		}
	}
	slices.Sort(violations)
	return violations
}

// guaranteesNotRun reports whether the status guarantees that the request did not
// run and never will.
func guaranteesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// cutByStop reports whether a planned stop of the node is the only cause why a
// request has no response. The node must have read the request: it reached an
// upstream, or the connection stayed open for longer than readWithin.
func (r *recorder) cutByStop(req *requestRecord) bool {
	stopped := slices.ContainsFunc(r.plannedStops, func(stop interval) bool {
		return stop.name == req.node && req.ended.After(stop.from) && req.ended.Before(stop.to)
	})
	elapsed := req.ended.Sub(req.sent)
	return stopped && elapsed < requestTimeout*7/10 && r.undisturbed(req.sent.Add(-graceAfterFault), req.ended) && (len(req.executions) > 0 || elapsed > readWithin)
}

// successes counts the requests sent in that time, and those of them with a 2xx
// response.
func (r *recorder) successes(from, to time.Time) (succeeded, sent int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, req := range r.requests {
		if req.sent.Before(from) || req.sent.After(to) {
			continue
		}
		sent++
		if req.status >= 200 && req.status < 300 {
			succeeded++
		}
	}
	return succeeded, sent
}
