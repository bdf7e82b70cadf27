// Package burn measures how fast services use up the error budgets of their
// service-level objectives (SLOs).
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// maxServices bounds the memory. The samples of further services are counted for
	// OtherServices.
	maxServices = 256
	// maxLatency is the highest latency that the histograms record; higher ones are
	// recorded as maxLatency.
	maxLatency = time.Minute
	// latencyDigits is the number of significant decimal digits of a recorded
	// latency.
	latencyDigits = 2
	// histogramPeriod is the time after which a new histogram is started. The
	// previous one is kept, so that a report covers between one and two periods.
	histogramPeriod = 5 * time.Minute
	// histogramPeriods is the number of histograms kept for each priority.
	histogramPeriods = 2
)

// DefaultObjective applies to services without an objective.
var DefaultObjective = Objective{Latency: time.Second, Percent: 99}

// OtherServices is where samples are counted once a recorder has reached its
// maximum number of services.
var OtherServices = mesh.ServiceID{Service: "other"}

// Objective is the service-level objective of a service for one priority.
type Objective struct {
	// Latency is the longest latency of a good request.
	Latency time.Duration
	// Percent is the percentage of requests that must be good, below 100.
	Percent float64
}

// Objectives holds the objective of each priority. A zero objective means
// DefaultObjective.
type Objectives [mesh.NumPriorities]Objective

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that the complete response was delivered.
	Answered Outcome = iota
	// Refused means that the request was not run.
	Refused
	// Failed means that the request ended in any other way.
	Failed
)

// Sample is the result of one request.
type Sample struct {
	// Outcome is how the request ended.
	Outcome Outcome
	// Latency is the time from the arrival of the request to its end.
	Latency time.Duration
}

// Recorder counts good and bad requests of each service and priority. It is safe
// for concurrent use. The zero Recorder is ready to use.
type Recorder struct {
	mutex sync.Mutex
	// objectives is replaced as a whole, never modified; guarded by mutex.
	objectives map[mesh.ServiceID]Objectives
	// services has at most maxServices entries besides OtherServices; guarded by
	// mutex.
	services map[mesh.ServiceID]*serviceCounts
	// latencies of a priority are nil until the first response; guarded by mutex.
	latencies [mesh.NumPriorities]*latencyHistogram
}

// serviceCounts holds the counts of one service.
type serviceCounts struct {
	// byPriority is nil for priorities without samples.
	byPriority [mesh.NumPriorities]*series
	// lastSample is when the last sample was recorded.
	lastSample time.Time
}

// SetObjectives replaces the objectives. The map must not be modified afterwards.
func (r *Recorder) SetObjectives(objectives map[mesh.ServiceID]Objectives) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.objectives = objectives
}

// Record records the result of one request.
func (r *Recorder) Record(now time.Time, id mesh.ServiceID, priority mesh.Priority, sample Sample) {
	priority = min(priority, mesh.NumPriorities-1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	objective := r.objective(id, priority)
	good := sample.Outcome == Answered && sample.Latency <= objective.Latency
	s := r.service(now, id)
	s.lastSample = now
	if s.byPriority[priority] == nil {
		s.byPriority[priority] = &series{}
	}
	s.byPriority[priority].record(now, good)
	if sample.Outcome == Answered {
		r.observeLatency(now, priority, sample.Latency)
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

// service returns the counts of the service, or of OtherServices if there are too
// many services.
func (r *Recorder) service(now time.Time, id mesh.ServiceID) (s *serviceCounts) {
	s = r.services[id]
	if s != nil {
		return s
	}
	if r.services == nil {
		r.services = make(map[mesh.ServiceID]*serviceCounts)
	}
	if len(r.services) >= maxServices && id != OtherServices {
		if !r.evictIdle(now) {
			return r.service(now, OtherServices)
		}
	}
	s = &serviceCounts{}
	r.services[id] = s
	return s
}

// evictIdle removes the services without samples in the long window.
func (r *Recorder) evictIdle(now time.Time) (evicted bool) {
	for id, s := range r.services {
		if now.Sub(s.lastSample) > longBuckets*longBucketLength {
			delete(r.services, id)
			evicted = true
		}
	}
	return evicted
}

// latencyHistogram holds the recent latencies of one priority.
type latencyHistogram struct {
	periods *hdrhistogram.WindowedHistogram
	// periodStart is when the current period began.
	periodStart time.Time
}

func (r *Recorder) observeLatency(now time.Time, priority mesh.Priority, latency time.Duration) {
	l := r.latencies[priority]
	if l == nil {
		l = &latencyHistogram{
			periods:     hdrhistogram.NewWindowed(histogramPeriods, 1, maxLatency.Microseconds(), latencyDigits),
			periodStart: now,
		}
		r.latencies[priority] = l
	}
	l.rotate(now)
	latency = min(max(latency, time.Microsecond), maxLatency)
	// The value is within the bounds of the histogram, so RecordValue can't fail.
	_ = l.periods.Current.RecordValue(latency.Microseconds())
}

// rotate starts a new histogram for each period that has passed.
func (l *latencyHistogram) rotate(now time.Time) {
	passed := int(now.Sub(l.periodStart) / histogramPeriod)
	if passed <= 0 {
		return
	}
	for range min(passed, histogramPeriods) {
		l.periods.Rotate()
	}
	l.periodStart = l.periodStart.Add(time.Duration(passed) * histogramPeriod)
}
