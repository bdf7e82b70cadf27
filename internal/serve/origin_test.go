package serve

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestRoutesThatOnlyUpstreamsCallAreDetected(t *testing.T) {
	tests := []struct {
		name string
		// remote and local are the numbers of calls sent through hosts of other services
		// and of the called service.
		remote, local int
		share         float64
		want          bool
	}{
		{name: "callers on all hosts", remote: 80, local: 20, share: 0.2, want: false},
		{name: "one local call is enough", remote: 400, local: 1, share: 0.2, want: false},
		{name: "too few calls", remote: 40, share: 0.2, want: false},
		{name: "only upstreams", remote: 60, share: 0.2, want: true},
		{name: "no hosts of the called service", remote: 1000, share: 0, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o originTracker
			got := false
			for range tt.local {
				o.recordCall("r", "prints", "prints", tt.share)
			}
			for range tt.remote {
				got = o.recordCall("r", "desk", "prints", tt.share)
			}
			assert.Equal(t, got, tt.want)
			assert.Assert(t, !o.recordCall("r", "", "prints", tt.share), "calls without origin are ignored")
			assert.Assert(t, !o.recordCall("other", mesh.Service("desk"), "prints", tt.share), "routes are counted separately")
		})
	}
}
