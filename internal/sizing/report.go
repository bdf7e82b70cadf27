package sizing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// ErrUnknownPart means that there is no measurement of that name.
var ErrUnknownPart = errors.New("unknown part")

// Options says what to measure and how long.
type Options struct {
	// Binary is the built program.
	Binary string
	// Directory is where settings and logs of the processes go.
	Directory string
	// Parts names the measurements; empty for all.
	Parts []string
	// IdleTime is how long idle processes are watched.
	IdleTime time.Duration
	// Changes is how many changes of configuration are made at each size.
	Changes int
	// Output gets the report.
	Output io.Writer
}

// Report gathers readings.
type Report struct {
	options Options
	rows    []row
}

// row is one reading.
type row struct {
	part  string
	what  string
	value float64
	unit  string
}

// part is one measurement.
type part struct {
	name    string
	measure func(r *Report, ctx context.Context) error
}

func parts() []part {
	return []part{
		{name: "memory", measure: func(r *Report, _ context.Context) error { return r.measureMemory() }},
		{name: "fleet11", measure: fleetPart("fleet11", shape{nodes: 11, zones: 4, regions: 2, relays: 2, services: 2})},
		{name: "fleet50", measure: fleetPart("fleet50", shape{nodes: 50, zones: 4, regions: 2, relays: 3, services: 10})},
		{name: "fleet200", measure: fleetPart("fleet200", shape{nodes: 200, zones: 15, regions: 5, relays: 3, services: 40})},
		{name: "tree870", measure: fleetPart("tree870", shape{nodes: 21, zones: 5, regions: fullRegions, relays: 3, services: fullServices})},
		{name: "children", measure: (*Report).measureChildren},
	}
}

// Run measures and writes the report, also of what was measured before an error.
func Run(ctx context.Context, options Options) (err error) {
	r := &Report{options: options}
	for _, name := range options.Parts {
		if !slices.ContainsFunc(parts(), func(p part) bool { return p.name == name }) {
			return fmt.Errorf("%q: %w", name, ErrUnknownPart)
		}
	}
	for _, p := range parts() {
		if len(options.Parts) > 0 && !slices.Contains(options.Parts, p.name) {
			continue
		}
		first := len(r.rows)
		partErr := p.measure(r, ctx)
		err = errors.Join(err, partErr, r.write(r.rows[first:]))
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
	}
	return err
}

func (r *Report) add(part, what string, value float64, unit string) {
	r.rows = append(r.rows, row{part: part, what: what, value: value, unit: unit})
}

// addTime adds a duration in milliseconds.
func (r *Report) addTime(part, what string, value time.Duration) {
	r.add(part, what, float64(value)/float64(time.Millisecond), "ms")
}

func (r *Report) write(rows []row) (err error) {
	table := tabwriter.NewWriter(r.options.Output, 0, 0, 2, ' ', 0)
	for _, v := range rows {
		number := strings.TrimSuffix(fmt.Sprintf("%.3f", v.value), ".000")
		if _, err = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", v.part, v.what, number, v.unit); err != nil {
			return err
		}
	}
	return table.Flush()
}
