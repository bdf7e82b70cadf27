package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

func TestPingTimeoutAllowsForSlowLink(t *testing.T) {
	tests := []struct {
		name        string
		link        float64
		least, most time.Duration
	}{
		{name: "unknown rate", least: peer.DefaultPingTimeout, most: peer.DefaultPingTimeout},
		{name: "fast link", link: 1000, least: peer.DefaultPingTimeout, most: peer.DefaultPingTimeout + 10*time.Millisecond},
		{name: "slow link", link: 7, least: peer.DefaultPingTimeout + 500*time.Millisecond, most: peer.DefaultPingTimeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := pingTimeout(tt.link)
			assert.Assert(t, got >= tt.least && got <= tt.most, "%v", got)
		})
	}
}
