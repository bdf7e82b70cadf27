// Package burn measures how fast services use up the error budgets of their
// service-level objectives.
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// maxServices bounds the memory; samples of further services count for OtherServices.
	maxServices = 256
	// maxLatency bounds the latencies that histograms tell apart.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of a latency.
	latencyDigits = 2
	// latencyWindow is the time after which a histogram is set aside; the one
	// before it is kept, so that a report covers up to twice the time.
	latencyWindow = 5 * time.Minute
	// latencyWindows is the number of histograms kept for each priority.
	latencyWindows = 2
)

// DefaultObjective stands for services that have none.
var DefaultObjective = Objective{Latency: time.Second, Percent: 99}

// OtherServices stands for the services that a full recorder can't tell apart.
var OtherServices = mesh.ServiceID{Service: "other"}

// Objective is what a service promises for one priority.
type Objective struct {
	// Latency is the time within which an answer counts as good.
	Latency time.Duration
	// Percent is the share of requests that must be good, below 100.
	Percent float64
}

// Objectives holds the objective of each priority; the zero value of one means
// DefaultObjective.
type Objectives [mesh.NumPriorities]Objective

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that the whole answer was delivered.
	Answered Outcome = iota
	// Refused means that the request was not run.
	Refused
	// Failed means that the request ended in any other way.
	Failed
)

// Sample is one finished request.
type Sample struct {
	// Outcome is how the request ended.
	Outcome Outcome
	// Latency is the time from the caller's request to the end.
	Latency time.Duration
}

// Recorder counts requests against objectives. It is safe for concurrent use.
// The zero Recorder is ready to use.
type Recorder struct {
	mutex sync.Mutex
	// objectives is guarded by mutex; the map is never changed, only replaced.
	objectives map[mesh.ServiceID]Objectives
	// services has at most maxServices entries besides OtherServices; guarded by mutex.
	services map[mesh.ServiceID]*service
	// latencies of a priority are nil before its first answer; guarded by mutex.
	latencies [mesh.NumPriorities]*latencies
}

// service holds what is counted for one service.
type service struct {
	// series of a priority is nil before its first sample.
	series [mesh.NumPriorities]*series
	// used is when the last sample came.
	used time.Time
}

// SetObjectives replaces the objectives; the map must not be changed after.
func (r *Recorder) SetObjectives(objectives map[mesh.ServiceID]Objectives) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.objectives = objectives
}

// Record counts one finished request.
func (r *Recorder) Record(now time.Time, id mesh.ServiceID, priority mesh.Priority, sample Sample) {
	priority = min(priority, mesh.NumPriorities-1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	objective := r.objective(id, priority)
	good := sample.Outcome == Answered && sample.Latency <= objective.Latency
	s := r.service(now, id)
	s.used = now
	if s.series[priority] == nil {
		s.series[priority] = &series{}
	}
	s.series[priority].add(now, good)
	if sample.Outcome == Answered {
		r.observe(now, priority, sample.Latency)
	}
}

func (r *Recorder) objective(id mesh.ServiceID, priority mesh.Priority) (objective Objective) {
	objective = r.objectives[id][priority]
	if objective.Percent <= 0 || objective.Percent >= 100 {
		objective.Percent = DefaultObjective.Percent
	}
	if objective.Latency <= 0 {
		objective.Latency = DefaultObjective.Latency
	}
	return objective
}

// service returns the counts of the service, or of OtherServices when there are too many.
func (r *Recorder) service(now time.Time, id mesh.ServiceID) (s *service) {
	s = r.services[id]
	if s != nil {
		return s
	}
	if r.services == nil {
		r.services = make(map[mesh.ServiceID]*service)
	}
	if len(r.services) >= maxServices && id != OtherServices {
		if !r.dropIdle(now) {
			return r.service(now, OtherServices)
		}
	}
	s = &service{}
	r.services[id] = s
	return s
}

// dropIdle forgets the services that have no sample in the long window.
func (r *Recorder) dropIdle(now time.Time) (dropped bool) {
	for id, s := range r.services {
		if now.Sub(s.used) > longBuckets*longBucket {
			delete(r.services, id)
			dropped = true
		}
	}
	return dropped
}

// latencies holds the histograms of one priority.
type latencies struct {
	windows *hdrhistogram.WindowedHistogram
	// started is when the present window began.
	started time.Time
}

func (r *Recorder) observe(now time.Time, priority mesh.Priority, latency time.Duration) {
	l := r.latencies[priority]
	if l == nil {
		l = &latencies{
			windows: hdrhistogram.NewWindowed(latencyWindows, 1, maxLatency.Microseconds(), latencyDigits),
			started: now,
		}
		r.latencies[priority] = l
	}
	l.rotate(now)
	latency = min(max(latency, time.Microsecond), maxLatency)
	// The value is within the histogram's bounds, so there is no error to report.
	_ = l.windows.Current.RecordValue(latency.Microseconds())
}

// rotate sets aside the windows that have passed.
func (l *latencies) rotate(now time.Time) {
	passed := int(now.Sub(l.started) / latencyWindow)
	if passed <= 0 {
		return
	}
	for range min(passed, latencyWindows) {
		l.windows.Rotate()
	}
	l.started = l.started.Add(time.Duration(passed) * latencyWindow)
}
