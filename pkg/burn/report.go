package burn

import (
	"cmp"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Row reports on one service and priority.
type Row struct {
	// Service is the service that the objective belongs to.
	Service mesh.ServiceID
	// Priority is the priority that the objective applies to.
	Priority mesh.Priority
	// Objective is the service-level objective.
	Objective Objective
	// ShortWindow counts the samples of the last 5 minutes.
	ShortWindow Count
	// LongWindow counts the samples of the last hour.
	LongWindow Count
}

// LatencyBucket is one bucket of a latency histogram.
type LatencyBucket struct {
	// UpperBound is the highest latency in the bucket.
	UpperBound time.Duration
	// Count is the number of responses in the bucket, above 0.
	Count int64
}

// Report compares services with their objectives.
type Report struct {
	// At is when the report was made. A merged report has the latest time of its
	// parts.
	At time.Time
	// Rows are sorted by severity, the worst first.
	Rows []Row
	// Latencies holds the latencies of responses by priority, in ascending order.
	Latencies [mesh.NumPriorities][]LatencyBucket
}

// Report returns a report for the windows that end now.
func (r *Recorder) Report(now time.Time) (report Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report.At = now
	for id, s := range r.services {
		for p, series := range s.byPriority {
			if series == nil {
				continue
			}
			row := Row{
				Service: id, Priority: mesh.Priority(p), Objective: r.objective(id, mesh.Priority(p)),
				ShortWindow: sum(series.short[:], now, shortBucketLength),
				LongWindow:  sum(series.long[:], now, longBucketLength),
			}
			if row.LongWindow.Total > 0 {
				report.Rows = append(report.Rows, row)
			}
		}
	}
	for p, l := range r.latencies {
		if l != nil {
			l.rotate(now)
			report.Latencies[p] = l.buckets()
		}
	}
	report.sort()
	return report
}

// buckets returns the distribution over all kept periods.
func (l *latencyHistogram) buckets() (buckets []LatencyBucket) {
	for _, b := range l.periods.Merge().Distribution() {
		if b.Count > 0 {
			buckets = append(buckets, LatencyBucket{UpperBound: time.Duration(b.To) * time.Microsecond, Count: b.Count})
		}
	}
	return buckets
}

// Merge combines the reports of several nodes into one.
func Merge(reports ...Report) (merged Report) {
	type key struct {
		service  mesh.ServiceID
		priority mesh.Priority
	}
	indexes := make(map[key]int)
	for _, r := range reports {
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, row := range r.Rows {
			k := key{service: row.Service, priority: row.Priority}
			i, known := indexes[k]
			if !known {
				indexes[k] = len(merged.Rows)
				merged.Rows = append(merged.Rows, row)
				continue
			}
			merged.Rows[i] = merged.Rows[i].add(row)
		}
		for p, buckets := range r.Latencies {
			merged.Latencies[p] = mergeBuckets(merged.Latencies[p], buckets)
		}
	}
	merged.sort()
	return merged
}

// add adds the counts of another node. If the objectives differ, the stricter
// values apply.
func (r Row) add(other Row) Row {
	r.ShortWindow = r.ShortWindow.add(other.ShortWindow)
	r.LongWindow = r.LongWindow.add(other.LongWindow)
	r.Objective.Percent = max(r.Objective.Percent, other.Objective.Percent)
	r.Objective.Latency = min(r.Objective.Latency, other.Objective.Latency)
	return r
}

func mergeBuckets(a, b []LatencyBucket) (merged []LatencyBucket) {
	merged = slices.Concat(a, b)
	slices.SortFunc(merged, func(x, y LatencyBucket) int { return cmp.Compare(x.UpperBound, y.UpperBound) })
	kept := merged[:0]
	for _, m := range merged {
		if n := len(kept); n > 0 && kept[n-1].UpperBound == m.UpperBound {
			kept[n-1].Count += m.Count
			continue
		}
		kept = append(kept, m)
	}
	return kept
}

// sort sorts rows by severity, the worst first.
func (r *Report) sort() {
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(
			-cmp.Compare(a.severity(), b.severity()),
			-cmp.Compare(a.LongBurnRate(), b.LongBurnRate()),
			-cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Service.Customer, b.Service.Customer),
			cmp.Compare(a.Service.Service, b.Service.Service),
		)
	})
}

// severity is the lower of the burn rates of both windows. Neither a fault that is
// already over nor a brief spike gets a high severity.
func (r Row) severity() float64 {
	return min(r.ShortBurnRate(), r.LongBurnRate())
}

// Attainment returns the percentage of good requests in the long window, 100 if
// there are none.
func (r Row) Attainment() float64 {
	if r.LongWindow.Total == 0 {
		return 100
	}
	return 100 * float64(r.LongWindow.Good) / float64(r.LongWindow.Total)
}

// BudgetLeft returns the percentage of the error budget of the long window that is
// left. It is negative once the objective is missed.
func (r Row) BudgetLeft() float64 {
	return 100 * (1 - r.LongBurnRate())
}

// ShortBurnRate returns the burn rate over the short window. At a burn rate of 1,
// the error budget lasts exactly for the period of the objective.
func (r Row) ShortBurnRate() float64 {
	return r.burnRate(r.ShortWindow)
}

// LongBurnRate returns the burn rate over the long window.
func (r Row) LongBurnRate() float64 {
	return r.burnRate(r.LongWindow)
}

func (r Row) burnRate(count Count) float64 {
	if count.Total == 0 {
		return 0
	}
	percentBad := 100 * float64(count.Total-count.Good) / float64(count.Total)
	return percentBad / (100 - r.Objective.Percent)
}

// Percentile returns the latency that the given percentage of a priority's
// responses did not exceed, 0 if there are none.
func (r Report) Percentile(priority mesh.Priority, percent float64) time.Duration {
	var total int64
	for _, b := range r.Latencies[priority] {
		total += b.Count
	}
	var cumulative int64
	for _, b := range r.Latencies[priority] {
		cumulative += b.Count
		if float64(cumulative) >= percent/100*float64(total) {
			return b.UpperBound
		}
	}
	return 0
}
