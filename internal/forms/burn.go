package forms

import (
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Burn reports how services stand against their objectives.
type Burn struct {
	At time.Time `json:"at"`
	// Rows are sorted with the worst first.
	Rows []BurnRow `json:"rows"`
	// Latencies holds the priorities that had answers, the most urgent first.
	Latencies []Latencies `json:"latencies"`
}

// BurnRow reports one service and priority.
type BurnRow struct {
	Customer  mesh.Customer `json:"customer"`
	Service   mesh.Service  `json:"service"`
	Priority  mesh.Priority `json:"priority"`
	Objective Objective     `json:"objective"`
	// Short counts the last 5 minutes, Long the last hour.
	Short Count `json:"short"`
	Long  Count `json:"long"`
	// Attainment is the percent of good requests of the last hour.
	Attainment float64 `json:"attainment"`
	// BudgetLeft is in percent, below 0 once the objective is missed.
	BudgetLeft float64 `json:"budgetLeft"`
	// ShortBurn and LongBurn are burn rates; 1 uses up the budget exactly.
	ShortBurn float64 `json:"shortBurn"`
	LongBurn  float64 `json:"longBurn"`
}

// Objective is what a service promises for one priority.
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

// Latencies is the distribution of one priority's answers.
type Latencies struct {
	Priority mesh.Priority `json:"priority"`
	// P50 and P99 are Go durations.
	P50 string `json:"p50"`
	P99 string `json:"p99"`
	// Bars rise by latency; reports of several nodes are added up from them.
	Bars []Bar `json:"bars"`
}

// Bar counts the answers of one span of latencies.
type Bar struct {
	// UpTo is a Go duration.
	UpTo  string `json:"upTo"`
	Count int64  `json:"count"`
}

// FromBurn returns the form of a report.
func FromBurn(report burn.Report) (body Burn) {
	body = Burn{At: report.At, Rows: []BurnRow{}, Latencies: []Latencies{}}
	for _, r := range report.Rows {
		body.Rows = append(body.Rows, BurnRow{
			Customer: r.Service.Customer, Service: r.Service.Service, Priority: r.Priority,
			Objective: Objective{Latency: r.Objective.Latency.String(), Percent: r.Objective.Percent},
			Short:     Count(r.ShortWindow), Long: Count(r.LongWindow),
			Attainment: r.Attainment(), BudgetLeft: r.BudgetLeft(), ShortBurn: r.ShortBurnRate(), LongBurn: r.LongBurnRate(),
		})
	}
	for _, p := range mesh.Priorities() {
		if len(report.Latencies[p]) == 0 {
			continue
		}
		one := Latencies{
			Priority: p, P50: report.Percentile(p, 50).String(), P99: report.Percentile(p, 99).String(),
		}
		for _, b := range report.Latencies[p] {
			one.Bars = append(one.Bars, Bar{UpTo: b.UpperBound.String(), Count: b.Count})
		}
		body.Latencies = append(body.Latencies, one)
	}
	return body
}

// Report returns the report of the form.
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
			Priority: r.Priority, ShortWindow: burn.Count(r.Short), LongWindow: burn.Count(r.Long),
		}
		row.Objective.Percent = r.Objective.Percent
		if row.Objective.Latency, err = time.ParseDuration(r.Objective.Latency); err != nil {
			return report, err
		}
		report.Rows = append(report.Rows, row)
	}
	for _, l := range b.Latencies {
		for _, v := range l.Bars {
			bar := burn.LatencyBucket{Count: v.Count}
			if bar.UpperBound, err = time.ParseDuration(v.UpTo); err != nil {
				return report, err
			}
			report.Latencies[l.Priority] = append(report.Latencies[l.Priority], bar)
		}
	}
	return report, nil
}
