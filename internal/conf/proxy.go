package conf

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Proxy holds the settings of one proxy.
type Proxy struct {
	// Host names the upstream host; unique in the mesh.
	Host mesh.HostID `yaml:"host" validate:"name"`
	// Region and Zone say where the host stands.
	Region mesh.Region `yaml:"region" validate:"name"`
	Zone   mesh.Zone   `yaml:"zone" validate:"name"`
	// Service is the one whose upstream runs beside the proxy; empty for none.
	Service mesh.Service `yaml:"service"`
	// Listen holds the addresses of the proxy.
	Listen ProxyListen `yaml:"listen"`
	// Platform is the address of the platform's object store.
	Platform netip.AddrPort `yaml:"platform" validate:"address"`
	// Heartbeat is the usual time between two words of the upstream.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50ms,max=1m"`
	// Stop bounds a planned stop; what still runs then is cut.
	Stop time.Duration `yaml:"stop" validate:"min=500ms,max=10m"`
	// RetryLimit bounds the requests that are sent to a second upstream.
	RetryLimit RetryLimit `yaml:"repeats"`
	// Limits holds the bounds on what a proxy takes in.
	Limits ProxyLimits `yaml:"limits"`
	// Log says what is logged.
	Log Log `yaml:"log"`
}

// ProxyListen holds the addresses of a proxy.
type ProxyListen struct {
	// Callers is where callers send requests.
	Callers netip.AddrPort `yaml:"callers" validate:"address"`
	// Nodes is where other proxies connect.
	Nodes netip.AddrPort `yaml:"nodes" validate:"address"`
	// Admin is where the host's upstream and operators connect.
	Admin netip.AddrPort `yaml:"admin" validate:"address"`
	// Ready is where the platform asks whether the proxy is ready.
	Ready netip.AddrPort `yaml:"ready" validate:"address"`
	// Announce is where other proxies reach Nodes, when that is another address;
	// the zero value means Nodes itself.
	Announce netip.AddrPort `yaml:"announce"`
}

// RetryLimit bounds the requests that all proxies together send to a second upstream.
type RetryLimit struct {
	// Ratio is the number of repeats for each request, and Slack what may come on
	// top in each Span.
	Ratio  float64       `yaml:"ratio" validate:"min=0,max=10"`
	Slack  float64       `yaml:"slack" validate:"min=0,max=1000000"`
	Window time.Duration `yaml:"span" validate:"min=100ms,max=10m"`
}

// ProxyLimits holds the bounds on what a proxy takes in.
type ProxyLimits struct {
	// Memory is what the runtime keeps the heap under, in bytes.
	Memory int64 `yaml:"memory" validate:"min=16777216,max=1099511627776"`
	// PlatformRate is the calls a second to the platform.
	PlatformRate float64 `yaml:"platformRate" validate:"min=0.1,max=1000"`
	// Link is the rate of the host's link in megabits a second; zero when it is
	// not told. Long answers leave a part of it to short ones.
	Link float64 `yaml:"link" validate:"min=0,max=1000000"`
}

// DefaultProxy returns the settings that a file need not give.
func DefaultProxy() Proxy {
	return Proxy{
		Heartbeat:  2 * time.Second,
		Stop:       30 * time.Second,
		RetryLimit: RetryLimit{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
		Limits:     ProxyLimits{Memory: 64 << 20, PlatformRate: 20},
		Log:        Log{Level: "info", Format: "json"},
	}
}

// Check returns Violations when a setting is not allowed.
func (p *Proxy) Check() (err error) {
	faults, err := checkFields(p)
	if err != nil {
		return err
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}
