package burn_test

import (
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func ExampleRecorder() {
	var (
		recorder burn.Recorder
		orders   = mesh.ServiceID{Customer: "kylvolehti", Service: "orders"}
		now      = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	)
	objective := burn.Objective{Latency: 200 * time.Millisecond, Percent: 90}
	recorder.SetObjectives(map[mesh.ServiceID]burn.Objectives{orders: {mesh.Urgent: objective}})
	for i := range 10 {
		latency := time.Duration(i) * 25 * time.Millisecond
		recorder.Record(now, orders, mesh.Urgent, burn.Sample{Latency: latency})
	}
	report := recorder.Report(now)
	row := report.Rows[0]
	fmt.Printf("%.0f%% good, burn %.1f, budget left %.0f%%\n", row.Attainment(), row.ShortBurnRate(), row.BudgetLeft())
	fmt.Println(report.Percentile(mesh.Urgent, 50).Round(10 * time.Millisecond))
	// Output:
	// 90% good, burn 1.0, budget left 0%
	// 100ms
}
