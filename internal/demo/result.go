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

// Result holds the measurements of a demo.
type Result struct {
	Deployment string
	Nodes      int
	// Convergence is the time from the submission of a change until it was in force
	// at every node.
	Convergence time.Duration
	// ControlBytesPerSecond is the average rate of control bytes that a node sends.
	ControlBytesPerSecond float64
	// RefusedFaults is the number of faults listed in the refusal of the invalid
	// change.
	RefusedFaults int
	// Priorities holds the results by priority, the most urgent first.
	Priorities []PriorityResult
	// RunTwice is the number of requests with a key that ran more than once.
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

func (r *Result) addViolation(violation string) {
	r.Violations = append(r.Violations, violation)
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
		r.addViolation(fmt.Sprintf("%d %s calls were lost or got a wrong response", p.Failed, priority))
	}
	if p.Unknown > 0 {
		r.addViolation(fmt.Sprintf("%d %s calls had an unknown outcome though nothing was killed", p.Unknown, priority))
	}
}

// headerLines is the number of lines before the first priority.
const headerLines = 8

// WriteTable writes the result as text in columns.
func (r *Result) WriteTable(w io.Writer) (err error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := make([]string, 0, headerLines+len(r.Priorities)+len(r.Violations))
	lines = append(lines,
		fmt.Sprintf("deployment\t%s\t", r.Deployment),
		fmt.Sprintf("nodes\t%d\t", r.Nodes),
		fmt.Sprintf("convergence\t%s\t", r.Convergence.Round(time.Millisecond)),
		fmt.Sprintf("control bytes a node\t%.0f B/s\t", r.ControlBytesPerSecond),
		fmt.Sprintf("faults listed in the refusal\t%d\t", r.RefusedFaults),
		fmt.Sprintf("run twice\t%d\t", r.RunTwice),
		"",
		"priority\tcalls\tanswered\tnot run\tunknown\tfailed\tp50\tp99\t",
	)
	for _, p := range r.Priorities {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t",
			p.Priority, p.Calls, p.Answered, p.NotRun, p.Unknown, p.Failed, p.P50, p.P99))
	}
	for _, violation := range r.Violations {
		lines = append(lines, "broken: "+violation)
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
