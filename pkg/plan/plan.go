// Package plan holds one accepted version of the routes as a whole, and finds
// the rule of a request in it. It does no I/O.
package plan

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Kind says what may be done with the requests of a rule.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once for each attempt of a client.
	AtMostOnce
	// Download requests are idempotent and have long answers.
	Download
)

var kindNames = [...]string{"idempotent", "once", "download"}

// String returns the name used in logs and reports.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return kindNames[k]
}

// IsIdempotent reports whether a request may be handed to a second upstream after
// the first one may have run it.
func (k Kind) IsIdempotent() bool {
	return k != AtMostOnce
}

// WeightedService is a service that takes a share of a rule's requests.
type WeightedService struct {
	Service mesh.Service
	// Weight is above zero; shares are in proportion to it.
	Weight int
}

// Rule leads the requests under one prefix of one host to a service.
type Rule struct {
	// Name is for logs and reports.
	Name string
	// Host is that of the requests, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Rank orders the urgency of rules; 0 is the most urgent.
	Rank int
	// Timeout is the longest time that a caller is kept waiting; above zero.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer earns its whole worth; zero when
	// none is told.
	LatencyTarget time.Duration
	// MaxAttempts bounds the upstreams that one request may be sent to; at least 1.
	MaxAttempts int
	// Services is never empty.
	Services []WeightedService
}

// ChooseService returns the service for a draw, which is spread evenly over [0, 1).
func (r *Rule) ChooseService(draw float64) mesh.Service {
	total := 0
	for _, p := range r.Services {
		total += p.Weight
	}
	left := draw * float64(total)
	for _, p := range r.Services {
		if left -= float64(p.Weight); left < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes; zero means the front's own bound.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the time for a request's header section, and IdleTimeout
	// that of a connection without a request; zero means the front's own bound.
	HeaderTimeout, IdleTimeout time.Duration
}

// Service is what a version tells of a service.
type Service struct {
	Name mesh.Service
	// MaxConnections bounds the connections to one upstream; zero means no bound.
	MaxConnections int
	// HealthPath is the path on which an upstream answers whether it serves, empty when
	// it has none.
	HealthPath string
}

// Plan is one version of the routes. It never changes; the nil Plan has no rule.
type Plan struct {
	version  mesh.Version
	limits   Limits
	services map[mesh.Service]Service
	hosts    map[string]map[string]*Rule
	rules    []*Rule
}

// New returns the plan of a version, or why it must be refused as a whole.
func New(version mesh.Version, limits Limits, services []Service, rules []*Rule) (made *Plan, err error) {
	defer func() {
		if err != nil {
			made, err = nil, fmt.Errorf("version %d: %w", version, err)
		}
	}()
	if version == 0 {
		return nil, fmt.Errorf("version is missing")
	}
	made = &Plan{
		version: version, limits: limits, services: make(map[mesh.Service]Service, len(services)),
		hosts: make(map[string]map[string]*Rule), rules: slices.Clone(rules),
	}
	for _, s := range services {
		made.services[s.Name] = s
	}
	for _, r := range rules {
		if err = made.add(r); err != nil {
			return nil, fmt.Errorf("rule %q of host %q: %w", r.Name, r.Host, err)
		}
	}
	return made, nil
}

func (p *Plan) add(rule *Rule) (err error) {
	if err = p.check(rule); err != nil {
		return err
	}
	host := strings.ToLower(rule.Host)
	prefixes := p.hosts[host]
	if prefixes == nil {
		prefixes = make(map[string]*Rule)
		p.hosts[host] = prefixes
	}
	if other := prefixes[rule.Prefix]; other != nil {
		return fmt.Errorf("prefix %q is that of rule %q", rule.Prefix, other.Name)
	}
	prefixes[rule.Prefix] = rule
	return nil
}

func (p *Plan) check(rule *Rule) error {
	switch {
	case rule.Host == "":
		return fmt.Errorf("host is missing")
	case !strings.HasPrefix(rule.Prefix, "/") || !strings.HasSuffix(rule.Prefix, "/"):
		return fmt.Errorf("prefix %q must begin and end with a slash", rule.Prefix)
	case rule.Timeout <= 0:
		return fmt.Errorf("timeout %s must be above zero", rule.Timeout)
	case rule.LatencyTarget < 0 || rule.Rank < 0:
		return fmt.Errorf("target %s and rank %d must not be below zero", rule.LatencyTarget, rule.Rank)
	case rule.MaxAttempts < 1:
		return fmt.Errorf("%d attempts, want at least 1", rule.MaxAttempts)
	case len(rule.Services) == 0:
		return fmt.Errorf("no service")
	}
	for _, part := range rule.Services {
		if _, known := p.services[part.Service]; !known {
			return fmt.Errorf("unknown service %q", part.Service)
		}
		if part.Weight <= 0 {
			return fmt.Errorf("weight %d of service %q must be above zero", part.Weight, part.Service)
		}
	}
	return nil
}

// Version returns the version, zero for the nil Plan.
func (p *Plan) Version() mesh.Version {
	if p == nil {
		return 0
	}
	return p.version
}

// Limits returns the bounds on callers.
func (p *Plan) Limits() (limits Limits) {
	if p == nil {
		return limits
	}
	return p.limits
}

// Service returns what the version tells of a service.
func (p *Plan) Service(name mesh.Service) (service Service, known bool) {
	if p == nil {
		return service, false
	}
	service, known = p.services[name]
	return service, known
}

// Services returns the names of all services, sorted.
func (p *Plan) Services() []mesh.Service {
	if p == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(p.services))
}

// MaxTimeout returns the longest timeout of a rule.
func (p *Plan) MaxTimeout() (longest time.Duration) {
	if p == nil {
		return 0
	}
	for _, r := range p.rules {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// NumRules returns the number of rules.
func (p *Plan) NumRules() int {
	if p == nil {
		return 0
	}
	return len(p.rules)
}

// Match returns the rule of the host with the longest prefix of the path. The
// host may have a port; the path is without query.
func (p *Plan) Match(host, path string) (rule *Rule, found bool) {
	if p == nil {
		return nil, false
	}
	prefixes := p.hosts[canonicalHost(host)]
	if prefixes == nil {
		return nil, false
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if rule = prefixes[path[:end]]; rule != nil {
			return rule, true
		}
	}
	return nil, false
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
