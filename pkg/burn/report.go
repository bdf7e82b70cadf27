package burn

import (
	"cmp"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Row reports one service and priority.
type Row struct {
	// Service is who made the promise.
	Service mesh.ServiceID
	// Priority is what the promise is for.
	Priority mesh.Priority
	// Objective is what was promised.
	Objective Objective
	// ShortWindow counts the samples of the last 5 minutes.
	ShortWindow Count
	// LongWindow counts the samples of the last hour.
	LongWindow Count
}

// LatencyBucket counts the answers of one span of latencies.
type LatencyBucket struct {
	// UpperBound is the highest latency of the span.
	UpperBound time.Duration
	// Count is above zero.
	Count int64
}

// Report tells how services stand against their objectives.
type Report struct {
	// At is when the report was made; for a merged one, the latest of them.
	At time.Time
	// Rows are sorted with the worst first.
	Rows []Row
	// Latencies holds the latencies of answers by priority, in rising order.
	Latencies [mesh.NumPriorities][]LatencyBucket
}

// Report returns the present state.
func (r *Recorder) Report(now time.Time) (report Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report.At = now
	for id, s := range r.services {
		for p, series := range s.series {
			if series == nil {
				continue
			}
			row := Row{
				Service: id, Priority: mesh.Priority(p), Objective: r.objective(id, mesh.Priority(p)),
				ShortWindow: sum(series.short[:], now, shortBucket),
				LongWindow:  sum(series.long[:], now, longBucket),
			}
			if row.LongWindow.Total > 0 {
				report.Rows = append(report.Rows, row)
			}
		}
	}
	for p, l := range r.latencies {
		if l != nil {
			l.rotate(now)
			report.Latencies[p] = l.bars()
		}
	}
	report.sort()
	return report
}

// bars returns the distribution over all kept windows.
func (l *latencies) bars() (bars []LatencyBucket) {
	for _, b := range l.windows.Merge().Distribution() {
		if b.Count > 0 {
			bars = append(bars, LatencyBucket{UpperBound: time.Duration(b.To) * time.Microsecond, Count: b.Count})
		}
	}
	return bars
}

// Merge returns one report over the reports of several nodes.
func Merge(reports ...Report) (merged Report) {
	type key struct {
		service  mesh.ServiceID
		priority mesh.Priority
	}
	at := make(map[key]int)
	for _, r := range reports {
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, row := range r.Rows {
			k := key{service: row.Service, priority: row.Priority}
			i, known := at[k]
			if !known {
				at[k] = len(merged.Rows)
				merged.Rows = append(merged.Rows, row)
				continue
			}
			merged.Rows[i] = merged.Rows[i].plus(row)
		}
		for p, bars := range r.Latencies {
			merged.Latencies[p] = mergeBars(merged.Latencies[p], bars)
		}
	}
	merged.sort()
	return merged
}

// plus adds the counts of another node; of two objectives the stricter one counts.
func (r Row) plus(s Row) Row {
	r.ShortWindow = r.ShortWindow.plus(s.ShortWindow)
	r.LongWindow = r.LongWindow.plus(s.LongWindow)
	r.Objective.Percent = max(r.Objective.Percent, s.Objective.Percent)
	r.Objective.Latency = min(r.Objective.Latency, s.Objective.Latency)
	return r
}

func mergeBars(a, b []LatencyBucket) (merged []LatencyBucket) {
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

// sort puts the worst row first: the one whose budget burns fastest over both windows.
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

// severity is the burn rate that holds over both windows, so that neither an
// old fault that has ended nor a single bad moment comes first.
func (r Row) severity() float64 {
	return min(r.ShortBurnRate(), r.LongBurnRate())
}

// Attainment returns the percent of good requests over the long window, 100 without any.
func (r Row) Attainment() float64 {
	if r.LongWindow.Total == 0 {
		return 100
	}
	return 100 * float64(r.LongWindow.Good) / float64(r.LongWindow.Total)
}

// BudgetLeft returns the percent of the long window's error budget that is not
// used up; it is below 0 once the objective is missed.
func (r Row) BudgetLeft() float64 {
	return 100 * (1 - r.LongBurnRate())
}

// ShortBurnRate returns the burn rate over the short window: 1 uses up the budget
// exactly within the objective's period.
func (r Row) ShortBurnRate() float64 {
	return r.burn(r.ShortWindow)
}

// LongBurnRate returns the burn rate over the long window.
func (r Row) LongBurnRate() float64 {
	return r.burn(r.LongWindow)
}

func (r Row) burn(c Count) float64 {
	if c.Total == 0 {
		return 0
	}
	percentBad := 100 * float64(c.Total-c.Good) / float64(c.Total)
	return percentBad / (100 - r.Objective.Percent)
}

// Percentile returns the latency that the given percent of a priority's answers
// did not exceed, zero without answers.
func (r Report) Percentile(priority mesh.Priority, percent float64) time.Duration {
	var total int64
	for _, b := range r.Latencies[priority] {
		total += b.Count
	}
	var below int64
	for _, b := range r.Latencies[priority] {
		below += b.Count
		if float64(below) >= percent/100*float64(total) {
			return b.UpperBound
		}
	}
	return 0
}
