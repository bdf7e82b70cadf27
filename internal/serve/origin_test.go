package serve

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestRoutesThatOnlyUpstreamsCallAreTold(t *testing.T) {
	tests := []struct {
		name string
		// others and own are the calls from hosts beside other services and beside the
		// own one.
		others, own int
		share       float64
		want        bool
	}{
		{name: "callers everywhere", others: 80, own: 20, share: 0.2, want: false},
		{name: "one caller beside the own service is enough", others: 400, own: 1, share: 0.2, want: false},
		{name: "too few calls to tell", others: 40, share: 0.2, want: false},
		{name: "upstreams alone", others: 60, share: 0.2, want: true},
		{name: "no host beside the own service takes callers", others: 1000, share: 0, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o origins
			got := false
			for range tt.own {
				o.note("r", "prints", "prints", tt.share)
			}
			for range tt.others {
				got = o.note("r", "desk", "prints", tt.share)
			}
			assert.Equal(t, got, tt.want)
			assert.Assert(t, !o.note("r", "", "prints", tt.share), "a call that tells no origin says nothing")
			assert.Assert(t, !o.note("other", mesh.Service("desk"), "prints", tt.share), "routes are judged apart")
		})
	}
}
