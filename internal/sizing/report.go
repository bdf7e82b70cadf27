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

// ErrUnknownPart is returned for a name that is no measurement.
var ErrUnknownPart = errors.New("unknown part")

// Options configures the measurements.
type Options struct {
	// Binary is the path of the built program.
	Binary string
	// Directory is where the settings and logs of the processes are written.
	Directory string
	// Parts lists the names of the measurements to make; empty means all.
	Parts []string
	// IdleTime is how long idle processes are measured.
	IdleTime time.Duration
	// Changes is how many configuration changes are made at each size.
	Changes int
	// Output is where the report is written.
	Output io.Writer
}

// Report runs measurements and collects their results.
type Report struct {
	options Options
	rows    []row
}

// row is one result.
type row struct {
	part  string
	label string
	value float64
	unit  string
}

// part is a measurement that can be selected by name.
type part struct {
	name    string
	measure func(r *Report, ctx context.Context) error
}

func allParts() []part {
	return []part{
		{name: "memory", measure: func(r *Report, _ context.Context) error { return r.measureMemory() }},
		{name: "fleet11", measure: measureFleet("fleet11", fleetShape{nodes: 11, zones: 4, regions: 2, relays: 2, services: 2})},
		{name: "fleet50", measure: measureFleet("fleet50", fleetShape{nodes: 50, zones: 4, regions: 2, relays: 3, services: 10})},
		{name: "fleet200", measure: measureFleet("fleet200", fleetShape{nodes: 200, zones: 15, regions: 5, relays: 3, services: 40})},
		{name: "tree870", measure: measureFleet("tree870", fleetShape{nodes: 21, zones: 5, regions: plannedRegions, relays: 3, services: plannedServices})},
		{name: "children", measure: (*Report).measureChildren},
	}
}

// Run makes the measurements and writes the report. Results from before an error are
// written too.
func Run(ctx context.Context, options Options) (err error) {
	r := &Report{options: options}
	for _, name := range options.Parts {
		if !slices.ContainsFunc(allParts(), func(p part) bool { return p.name == name }) {
			return fmt.Errorf("%q: %w", name, ErrUnknownPart)
		}
	}
	for _, p := range allParts() {
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

func (r *Report) add(part, label string, value float64, unit string) {
	r.rows = append(r.rows, row{part: part, label: label, value: value, unit: unit})
}

// addTime adds a duration, which is reported in milliseconds.
func (r *Report) addTime(part, label string, value time.Duration) {
	r.add(part, label, float64(value)/float64(time.Millisecond), "ms")
}

func (r *Report) write(rows []row) (err error) {
	table := tabwriter.NewWriter(r.options.Output, 0, 0, 2, ' ', 0)
	for _, v := range rows {
		number := strings.TrimSuffix(fmt.Sprintf("%.3f", v.value), ".000")
		if _, err = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", v.part, v.label, number, v.unit); err != nil {
			return err
		}
	}
	return table.Flush()
}
