package sizing

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFitLineIsLeastSquares(t *testing.T) {
	tests := []struct {
		name   string
		points []point
		want   line
	}{
		{name: "no points"},
		{name: "one size has no slope", points: []point{{size: 5, value: 7}}, want: line{intercept: 7}},
		{name: "exact line", points: []point{{10, 25}, {50, 105}, {150, 305}}, want: line{intercept: 5, slope: 2}},
		{name: "even noise", points: []point{{0, 1}, {0, -1}, {10, 11}, {10, 9}}, want: line{slope: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := fitLine(tt.points)
			assert.Assert(t, got.intercept-tt.want.intercept < 1e-9 && tt.want.intercept-got.intercept < 1e-9, "%v", got)
			assert.Assert(t, got.slope-tt.want.slope < 1e-9 && tt.want.slope-got.slope < 1e-9, "%v", got)
		})
	}
}

func TestQuantileIsNearestRank(t *testing.T) {
	hundred := make([]time.Duration, 0, 100)
	for i := range 100 {
		hundred = append(hundred, time.Duration(100-i))
	}
	tests := []struct {
		name  string
		all   []time.Duration
		share float64
		want  time.Duration
	}{
		{name: "none", share: 0.5},
		{name: "one", all: []time.Duration{3}, share: 0.01, want: 3},
		{name: "median", all: hundred, share: 0.5, want: 50},
		{name: "p99", all: hundred, share: 0.99, want: 99},
		{name: "longest", all: hundred, share: 1, want: 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, quantile(tt.all, tt.share), tt.want)
		})
	}
}

func TestParseUsageReadsProcStat(t *testing.T) {
	const page = 4096
	stat := "12 (arbutus) step) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 100 2000000 7 18446744073709551615"
	u, err := parseUsage([]byte(stat))
	assert.NilError(t, err)
	assert.Equal(t, u, usage{cpu: 2 * time.Second, resident: 7 * page})
	assert.Equal(t, parseAnonymous([]byte("VmRSS:\t 29880 kB\nRssAnon:\t    9264 kB\nRssFile:\t 20616 kB\n")), int64(9264<<10))
	for _, malformed := range []string{"", "12 (x) S 1", "12 (x S 1 2 3", stat[:60]} {
		_, err = parseUsage([]byte(malformed))
		assert.ErrorIs(t, err, errStat)
	}
}

func TestParseSocketsReadsOutputOfSS(t *testing.T) {
	text := `ESTAB 0 0 127.0.0.1:40000 127.0.0.1:21002 users:(("arbutusstep",pid=7,fd=9)) cubic bytes_sent:100 bytes_acked:90 bytes_received:20 segs_out:9
ESTAB 0 0 [::ffff:127.0.0.1]:21002 [::ffff:127.0.0.1]:40000 users:(("arbutusstep",pid=8,fd=3)) cubic bytes_sent:20
LISTEN 0 0 127.0.0.1:21002 0.0.0.0:* users:(("arbutusstep",pid=8,fd=3))
ESTAB 0 0 127.0.0.1:1 127.0.0.1:2 cubic bytes_sent:5
`
	got := parseSockets([]byte(text))
	want := []socket{
		{pid: 7, remote: netip.MustParseAddrPort("127.0.0.1:21002"), bytes: 120},
		{pid: 8, remote: netip.MustParseAddrPort("127.0.0.1:40000"), bytes: 20},
	}
	assert.Equal(t, len(got), len(want))
	for i := range want {
		assert.Equal(t, got[i], want[i])
	}
}

func TestSumMetricsAddsSeveralNames(t *testing.T) {
	text := []byte("a_sent{host=\"x\"} 12\na_sent_more{host=\"x\"} 100\na_received 3.5\nb 7\n")
	assert.Equal(t, sumMetrics(text, "a_sent", "a_received"), 15.5)
}
