package forms

import (
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Burn is a report on the service-level objectives of services.
type Burn struct {
	At time.Time `json:"at"`
	// Rows are sorted by severity, the worst first.
	Rows []BurnRow `json:"rows"`
	// Latencies holds the priorities that had responses, the most urgent first.
	Latencies []LatencyDistribution `json:"latencies"`
}

// BurnRow reports on one service and priority.
type BurnRow struct {
	Customer  mesh.Customer `json:"customer"`
	Service   mesh.Service  `json:"service"`
	Priority  mesh.Priority `json:"priority"`
	Objective Objective     `json:"objective"`
	// ShortWindow covers the last 5 minutes, LongWindow the last hour.
	ShortWindow Count `json:"short"`
	LongWindow  Count `json:"long"`
	// Attainment is the percentage of good requests in the last hour.
	Attainment float64 `json:"attainment"`
	// BudgetLeft is the percentage of the error budget that is left; negative if
	// the objective is missed.
	BudgetLeft float64 `json:"budgetLeft"`
	// ShortBurnRate and LongBurnRate are relative to the rate that uses up exactly
	// the whole error budget.
	ShortBurnRate float64 `json:"shortBurn"`
	LongBurnRate  float64 `json:"longBurn"`
}

// Objective is the service-level objective of a service for one priority.
type Objective struct {
	// Latency is a Go duration.
	Latency string  `json:"latency"`
	Percent float64 `json:"percent"`
}

// Count counts requests.
type Count struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// LatencyDistribution is the distribution of the latencies of one priority.
type LatencyDistribution struct {
	Priority mesh.Priority `json:"priority"`
	// P50 and P99 are Go durations.
	P50 string `json:"p50"`
	P99 string `json:"p99"`
	// Buckets are sorted by latency. Reports of several nodes are merged by them.
	Buckets []LatencyBucket `json:"bars"`
}

// LatencyBucket counts the responses in one range of latencies.
type LatencyBucket struct {
	// UpperBound is a Go duration.
	UpperBound string `json:"upTo"`
	Count      int64  `json:"count"`
}

// FromBurn converts a report to its JSON body.
func FromBurn(report burn.Report) (body Burn) {
	body = Burn{At: report.At, Rows: []BurnRow{}, Latencies: []LatencyDistribution{}}
	for _, r := range report.Rows {
		body.Rows = append(body.Rows, BurnRow{
			Customer: r.Service.Customer, Service: r.Service.Service, Priority: r.Priority,
			Objective:   Objective{Latency: r.Objective.Latency.String(), Percent: r.Objective.Percent},
			ShortWindow: Count(r.ShortWindow), LongWindow: Count(r.LongWindow),
			Attainment: r.Attainment(), BudgetLeft: r.BudgetLeft(), ShortBurnRate: r.ShortBurnRate(), LongBurnRate: r.LongBurnRate(),
		})
	}
	for _, p := range mesh.Priorities() {
		if len(report.Latencies[p]) == 0 {
			continue
		}
		distribution := LatencyDistribution{
			Priority: p, P50: report.Percentile(p, 50).String(), P99: report.Percentile(p, 99).String(),
		}
		for _, b := range report.Latencies[p] {
			distribution.Buckets = append(distribution.Buckets, LatencyBucket{UpperBound: b.UpperBound.String(), Count: b.Count})
		}
		body.Latencies = append(body.Latencies, distribution)
	}
	return body
}

// Report converts the JSON body to a report.
func (b Burn) Report() (report burn.Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("burn report: %w", err)
		}
	}()
	report.At = b.At
	for _, r := range b.Rows {
		row := burn.Row{
			Service:  mesh.ServiceID{Customer: r.Customer, Service: r.Service},
			Priority: r.Priority, ShortWindow: burn.Count(r.ShortWindow), LongWindow: burn.Count(r.LongWindow),
		}
		row.Objective.Percent = r.Objective.Percent
		if row.Objective.Latency, err = time.ParseDuration(r.Objective.Latency); err != nil {
			return report, err
		}
		report.Rows = append(report.Rows, row)
	}
	for _, l := range b.Latencies {
		for _, v := range l.Buckets {
			bucket := burn.LatencyBucket{Count: v.Count}
			if bucket.UpperBound, err = time.ParseDuration(v.UpperBound); err != nil {
				return report, err
			}
			report.Latencies[l.Priority] = append(report.Latencies[l.Priority], bucket)
		}
	}
	return report, nil
}
