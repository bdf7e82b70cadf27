package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"arbutusstep.example/arbutusstep/internal/flood"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Result is what the demo measured.
type Result struct {
	Deployment string
	Nodes      int
	// Convergence is the time from a change's submission until it was in force
	// at every node.
	Convergence time.Duration
	// ControlBytesPerSecond is what a node sends for control, on average.
	ControlBytesPerSecond float64
	// RefusedFaults is the count of faults named when the bad change was refused.
	RefusedFaults int
	// Priorities holds the calls by priority, the most urgent first.
	Priorities []PriorityResult
	// RunTwice counts keyed requests that ran more than once.
	RunTwice int
	// Violations describes each guarantee that did not hold.
	Violations []string
}

// PriorityResult is what calls of one priority got.
type PriorityResult struct {
	Priority mesh.Priority
	Calls    int
	Answered int
	NotRun   int
	Unknown  int
	Failed   int
	P50      time.Duration
	P99      time.Duration
}

func (r *Result) broke(promise string) {
	r.Violations = append(r.Violations, promise)
}

func (r *Result) addPriority(priority mesh.Priority, t *flood.Stats) {
	p := PriorityResult{
		Priority: priority, Calls: t.Total(), Answered: t.Count(flood.Answered),
		NotRun: t.Count(flood.NotRun), Unknown: t.Count(flood.Unknown),
		Failed: t.Count(flood.Lost) + t.Count(flood.Foreign),
		P50:    t.Latency(50), P99: t.Latency(99),
	}
	r.Priorities = append(r.Priorities, p)
	if p.Failed > 0 {
		r.broke(fmt.Sprintf("%d %s calls ended without a word from the mesh", p.Failed, priority))
	}
	if p.Unknown > 0 {
		r.broke(fmt.Sprintf("%d %s calls ended unknown though nothing was killed", p.Unknown, priority))
	}
}

// headLines is the count of lines before the first priority.
const headLines = 8

// WriteTable writes the result for a person.
func (r *Result) WriteTable(w io.Writer) (err error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := make([]string, 0, headLines+len(r.Priorities)+len(r.Violations))
	lines = append(lines,
		fmt.Sprintf("deployment\t%s\t", r.Deployment),
		fmt.Sprintf("nodes\t%d\t", r.Nodes),
		fmt.Sprintf("convergence\t%s\t", r.Convergence.Round(time.Millisecond)),
		fmt.Sprintf("control bytes a node\t%.0f B/s\t", r.ControlBytesPerSecond),
		fmt.Sprintf("faults named in the refusal\t%d\t", r.RefusedFaults),
		fmt.Sprintf("run twice\t%d\t", r.RunTwice),
		"",
		"priority\tcalls\tanswered\tnot run\tunknown\tfailed\tp50\tp99\t",
	)
	for _, p := range r.Priorities {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t",
			p.Priority, p.Calls, p.Answered, p.NotRun, p.Unknown, p.Failed, p.P50, p.P99))
	}
	for _, b := range r.Violations {
		lines = append(lines, "broken: "+b)
	}
	for _, l := range lines {
		if _, err = fmt.Fprintln(table, l); err != nil {
			return err
		}
	}
	return table.Flush()
}

// WriteJSON writes the result as one JSON object.
func (r *Result) WriteJSON(w io.Writer) (err error) {
	type row struct {
		Priority mesh.Priority `json:"priority"`
		Calls    int           `json:"calls"`
		Answered int           `json:"answered"`
		NotRun   int           `json:"notRun"`
		Unknown  int           `json:"unknown"`
		Failed   int           `json:"failed"`
		P50      string        `json:"p50"`
		P99      string        `json:"p99"`
	}
	rows := make([]row, 0, len(r.Priorities))
	for _, p := range r.Priorities {
		rows = append(rows, row{
			Priority: p.Priority, Calls: p.Calls, Answered: p.Answered, NotRun: p.NotRun,
			Unknown: p.Unknown, Failed: p.Failed, P50: p.P50.String(), P99: p.P99.String(),
		})
	}
	return json.NewEncoder(w).Encode(struct {
		Deployment            string   `json:"deployment"`
		Nodes                 int      `json:"nodes"`
		Convergence           string   `json:"convergence"`
		ControlBytesPerSecond float64  `json:"controlBytesPerSecond"`
		RefusedFaults         int      `json:"refusedFaults"`
		RunTwice              int      `json:"runTwice"`
		Priorities            []row    `json:"priorities"`
		Broken                []string `json:"broken"`
	}{
		Deployment: r.Deployment, Nodes: r.Nodes, Convergence: r.Convergence.String(),
		ControlBytesPerSecond: r.ControlBytesPerSecond, RefusedFaults: r.RefusedFaults,
		RunTwice: r.RunTwice, Priorities: rows, Broken: append([]string{}, r.Violations...),
	})
}
