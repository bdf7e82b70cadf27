// Package meter keeps the values of tally metrics and writes them as text,
// one metric per line.
package meter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the interval at which tally reports its metrics.
const reportInterval = time.Second

// Meter is a tally scope and the values that it last reported.
type Meter struct {
	// Scope is the scope in which metrics are created.
	Scope    tally.Scope
	closer   io.Closer
	reporter *lastValues
}

// New returns a meter that adds the tags to every metric.
func New(tags map[string]string) *Meter {
	v := &lastValues{values: make(map[string]float64)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "arbutusstep", Tags: tags, Reporter: v, Separator: "_", OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{Scope: scope, closer: closer, reporter: v}
}

// Close stops the reporting.
func (m *Meter) Close() error {
	return m.closer.Close()
}

// Write writes every metric as one line, sorted by name.
func (m *Meter) Write(w io.Writer) (err error) {
	m.reporter.mutex.Lock()
	defer m.reporter.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(m.reporter.values)) {
		if _, err = fmt.Fprintf(w, "%s %v\n", key, m.reporter.values[key]); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

// lastValues is a tally reporter that keeps the sum of each counter and the last
// value of each other metric.
type lastValues struct {
	mutex sync.Mutex
	// values maps the name of each metric, with its tags, to its value; guarded by
	// mutex.
	values map[string]float64
}

// ReportCounter implements tally.StatsReporter.
func (v *lastValues) ReportCounter(name string, tags map[string]string, value int64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.values[seriesKey(name, tags)] += float64(value)
}

// ReportGauge implements tally.StatsReporter.
func (v *lastValues) ReportGauge(name string, tags map[string]string, value float64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.values[seriesKey(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter.
func (v *lastValues) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	v.ReportGauge(name+"_seconds", tags, interval.Seconds())
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (v *lastValues) ReportHistogramValueSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64,
) {
	v.ReportCounter(name, withUpperBound(tags, fmt.Sprint(upper)), samples)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (v *lastValues) ReportHistogramDurationSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64,
) {
	v.ReportCounter(name, withUpperBound(tags, upper.String()), samples)
}

// Capabilities implements tally.StatsReporter.
func (v *lastValues) Capabilities() tally.Capabilities {
	return v
}

// Reporting implements tally.Capabilities.
func (v *lastValues) Reporting() bool {
	return true
}

// Tagging implements tally.Capabilities.
func (v *lastValues) Tagging() bool {
	return true
}

// Flush implements tally.StatsReporter.
func (v *lastValues) Flush() {}

// withUpperBound adds the upper bound of a histogram bucket to a copy of the tags.
func withUpperBound(tags map[string]string, upper string) map[string]string {
	cloned := maps.Clone(tags)
	if cloned == nil {
		cloned = make(map[string]string, 1)
	}
	cloned["upTo"] = upper
	return cloned
}

// seriesKey returns the name of a metric with its sorted tags.
func seriesKey(name string, tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", k, v))
	}
	if len(pairs) == 0 {
		return name
	}
	slices.SortFunc(pairs, cmp.Compare[string])
	return name + "{" + strings.Join(pairs, ",") + "}"
}
