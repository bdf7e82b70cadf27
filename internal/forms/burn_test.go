package forms_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestBurnRoundTrip(t *testing.T) {
	report := burn.Report{
		At: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		Rows: []burn.Row{{
			Service: mesh.ServiceID{Customer: "a", Service: "b"}, Priority: mesh.High,
			Objective:   burn.Objective{Latency: time.Second, Percent: 99},
			ShortWindow: burn.Count{Good: 1, Total: 2}, LongWindow: burn.Count{Good: 98, Total: 100},
		}},
	}
	report.Latencies[mesh.High] = []burn.LatencyBucket{{UpperBound: time.Millisecond, Count: 3}, {UpperBound: time.Second, Count: 1}}
	tests := []struct {
		name   string
		report burn.Report
	}{
		{name: "empty"},
		{name: "with rows", report: report},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := json.Marshal(forms.FromBurn(tt.report))
			assert.NilError(t, err)
			var body forms.Burn
			assert.NilError(t, json.Unmarshal(data, &body))
			got, err := body.Report()
			assert.NilError(t, err)
			assert.DeepEqual(t, got, tt.report)
		})
	}
}

func TestReportRejectsMalformedDurations(t *testing.T) {
	tests := []struct {
		name string
		body forms.Burn
	}{
		{name: "objective", body: forms.Burn{Rows: []forms.BurnRow{{Objective: forms.Objective{Latency: "soon"}}}}},
		{name: "latency bucket", body: forms.Burn{Latencies: []forms.LatencyDistribution{{Buckets: []forms.LatencyBucket{{UpperBound: "soon"}}}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := tt.body.Report()
			assert.ErrorContains(t, err, "soon")
		})
	}
}
