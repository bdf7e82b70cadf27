package conf

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Proxy holds the settings of one proxy. Fields with the tag reload take effect when the
// settings file changes, the others when the proxy is started again.
type Proxy struct {
	// Host names the upstream host; unique in the mesh.
	Host mesh.HostID `yaml:"host" validate:"name"`
	// Region and Zone are the location of the host.
	Region mesh.Region `yaml:"region" validate:"name"`
	Zone   mesh.Zone   `yaml:"zone" validate:"name"`
	// Service is the service of the local upstream; empty if there is none.
	Service mesh.Service `yaml:"service" reload:"true"`
	// Listen holds the addresses of the proxy.
	Listen ProxyListen `yaml:"listen"`
	// Platform is the address of the platform's object store.
	Platform netip.AddrPort `yaml:"platform" validate:"address" reload:"true"`
	// Heartbeat is the usual interval between the messages of the local upstream.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50ms,max=1m"`
	// Stop bounds a graceful shutdown; calls still in progress then are cut off.
	Stop time.Duration `yaml:"stop" validate:"min=500ms,max=10m" reload:"true"`
	// RetryLimit limits the requests that are retried at a second upstream.
	RetryLimit RetryLimit `yaml:"repeats" reload:"true"`
	// Revocation is the time after the acceptance of a version without a key from which no
	// request with the key may run that a caller sent later; zero means no limit.
	Revocation time.Duration `yaml:"revocation" validate:"min=0,max=10m"`
	// Quota is the tolerance of the quotas of client accounts.
	Quota QuotaTolerance `yaml:"quota"`
	// SilentUpstreams makes the proxy give up requests to which the local upstream does not
	// respond while it answers others, and keep slots free for what may still run there.
	SilentUpstreams bool `yaml:"silentUpstreams"`
	// Limits holds the resource limits of the proxy.
	Limits ProxyLimits `yaml:"limits"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// ProxyListen holds the addresses of a proxy.
type ProxyListen struct {
	// Callers is the address on which the proxy accepts requests.
	Callers netip.AddrPort `yaml:"callers" validate:"address"`
	// Nodes is the address on which the proxy accepts other proxies.
	Nodes netip.AddrPort `yaml:"nodes" validate:"address"`
	// Admin is the address of the admin API, used by the local upstream and by
	// operators.
	Admin netip.AddrPort `yaml:"admin" validate:"address"`
	// Ready is the address on which the platform checks whether the proxy is ready.
	Ready netip.AddrPort `yaml:"ready" validate:"address"`
	// Announce is the address at which other proxies reach Nodes, if it differs from
	// Nodes; zero if it does not.
	Announce netip.AddrPort `yaml:"announce"`
}

// RetryLimit limits the requests that all proxies together retry at a second
// upstream.
type RetryLimit struct {
	// Ratio is the allowed number of retries per request, and Slack is the number of
	// retries allowed in each Window in addition.
	Ratio  float64       `yaml:"ratio" validate:"min=0,max=10"`
	Slack  float64       `yaml:"slack" validate:"min=0,max=1000000"`
	Window time.Duration `yaml:"span" validate:"min=100ms,max=10m"`
}

// QuotaTolerance is the tolerance with which the quotas of client accounts must be kept
// by all proxies together: in each Window, an account may run (rate x Window + burst) x
// (1 + Overage) + Slack requests. Quotas are not enforced if Window is zero.
type QuotaTolerance struct {
	Window  time.Duration `yaml:"window" validate:"min=0,max=10m"`
	Overage float64       `yaml:"overage" validate:"min=0,max=10"`
	Slack   float64       `yaml:"slack" validate:"min=0,max=1000000"`
}

// ProxyLimits holds the resource limits of a proxy.
type ProxyLimits struct {
	// Memory is the soft memory limit of the Go runtime in bytes, unless Process is set.
	Memory int64 `yaml:"memory" validate:"min=16777216,max=1099511627776"`
	// Process is the memory in megabytes with which the platform ends the process; zero
	// if it is not known.
	Process int64 `yaml:"process" validate:"min=0,max=1048576"`
	// PlatformRate is the number of calls per second to the platform.
	PlatformRate float64 `yaml:"platformRate" validate:"min=0.1,max=1000"`
	// Link is the rate of the host's network link in megabits per second; zero if it
	// is not known. Long responses leave a part of it to short ones.
	Link float64 `yaml:"link" validate:"min=0,max=1000000"`
}

const (
	bytesPerMegabyte = 1_000_000
	// heapPercent and bodyPercent are the parts of the memory of the process, in percent,
	// for the heap and for the bodies of requests and responses in it.
	heapPercent = 70
	bodyPercent = 40
	// bodyHeapPercent is the part of the heap for bodies if the memory of the process is
	// not known.
	bodyHeapPercent = 50
)

// HeapBytes returns the soft memory limit of the Go runtime.
func (l ProxyLimits) HeapBytes() int64 {
	if l.Process == 0 {
		return l.Memory
	}
	return l.Process * bytesPerMegabyte * heapPercent / 100
}

// BodyBytes returns the memory that the bodies of all requests and responses may use.
func (l ProxyLimits) BodyBytes() int64 {
	if l.Process == 0 {
		return l.Memory * bodyHeapPercent / 100
	}
	return l.Process * bytesPerMegabyte * bodyPercent / 100
}

// DefaultProxy returns the settings that apply unless the file sets them.
func DefaultProxy() Proxy {
	return Proxy{
		Heartbeat:  2 * time.Second,
		Stop:       30 * time.Second,
		RetryLimit: RetryLimit{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
		Limits:     ProxyLimits{Memory: 64 << 20, PlatformRate: 20},
		Log:        Log{Level: "info", Format: "json"},
	}
}

// Check returns Violations if a setting is invalid.
func (p *Proxy) Check() (err error) {
	violations, err := checkFields(p)
	if err != nil {
		return err
	}
	if len(violations) == 0 {
		return nil
	}
	return violations
}
