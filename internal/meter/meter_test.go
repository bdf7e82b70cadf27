package meter

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWriteSortsMetrics(t *testing.T) {
	m := New(map[string]string{"host": "a"})
	tests := []struct {
		name   string
		record func()
		want   string
	}{
		{name: "gauge", record: func() { m.Scope.Gauge("slots").Update(9) }, want: `arbutusstep_slots{host="a"} 9`},
		{name: "counter", record: func() { m.Scope.Counter("calls").Inc(2) }, want: `arbutusstep_calls{host="a"} 2`},
		{name: "timer", record: func() { m.Scope.Timer("wait").Record(time.Second) }, want: `arbutusstep_wait_seconds{host="a"} 1`},
	}
	for _, tt := range tests {
		tt.record()
	}
	assert.NilError(t, m.Close())
	var text strings.Builder
	assert.NilError(t, m.Write(&text))
	last := -1
	for _, name := range []string{"calls", "slots", "wait"} {
		at := strings.Index(text.String(), "arbutusstep_"+name)
		assert.Assert(t, at > last, "%s in %q", name, text.String())
		last = at
	}
	for _, tt := range tests {
		assert.Assert(t, strings.Contains(text.String(), tt.want), "%s in %q", tt.name, text.String())
	}
}
