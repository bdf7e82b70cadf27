// Package plan implements the routing rules of a proxy: it validates one version of
// the rules as a whole and finds the rule that matches a request. It does no I/O.
package plan

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Kind classifies the requests of a rule: whether they may run more than once, and
// whether their responses are large.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once for each request that a client sends.
	AtMostOnce
	// Download requests may run more than once and have large responses.
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

// IsIdempotent reports whether a request may be sent to a second upstream after
// the first one may have run it.
func (k Kind) IsIdempotent() bool {
	return k != AtMostOnce
}

// WeightedService is a service that receives a share of a rule's requests.
type WeightedService struct {
	Service mesh.Service
	// Weight is at least zero. The share is the weight divided by the sum of the weights
	// in the rule; a service with weight zero gets no requests.
	Weight float64
}

// Rule maps the requests for one Host header and path prefix to one or more
// services.
type Rule struct {
	// Name identifies the rule in logs and reports.
	Name string
	// Host is the host name in the requests, without a port; it is matched without
	// regard to case.
	Host string
	// Prefix is the path prefix; it starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Rank orders the rules by urgency; 0 is the most urgent.
	Rank int
	// Timeout is the time within which a request must be answered; above zero.
	Timeout time.Duration
	// LatencyTarget is the time within which a response is of full use to the caller;
	// zero if the version sets none.
	LatencyTarget time.Duration
	// MaxAttempts is the largest number of upstreams that one request may reach, at
	// least 1.
	MaxAttempts int
	// Services are the receivers of the requests; never empty.
	Services []WeightedService
	// AllowAnonymous is true if requests need no key even if the version has accounts.
	AllowAnonymous bool
}

// ChooseService returns a service at random in proportion to the weights. The caller
// passes the random sample, which must be uniform over [0, 1). found is false if all
// weights are zero.
func (r *Rule) ChooseService(sample float64) (service mesh.Service, found bool) {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := sample * total
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		service, found = s.Service, true
		if remaining -= s.Weight; remaining < 0 {
			break
		}
	}
	return service, found
}

// Limits are the limits on connections and requests of callers. For each of them
// zero means the default of the HTTP front end.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the header section and the body.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout limits the time for receiving a header section, and IdleTimeout
	// the time that a connection may stay open without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Service holds the settings of a service.
type Service struct {
	Name mesh.Service
	// MaxConnections limits the connections to one upstream; zero means no limit.
	MaxConnections int
	// HealthPath is the path of an upstream's health check; empty if it has none.
	HealthPath string
}

// Plan is one version of the routing rules. It is immutable; the nil Plan has no
// rules.
type Plan struct {
	version  mesh.Version
	limits   Limits
	services map[mesh.Service]Service
	// rulesByHost maps the host in lower case, then the prefix, to the rule.
	rulesByHost map[string]map[string]*Rule
	rules       []*Rule
	accounts    accounts
}

// InvalidError means that a version is invalid.
type InvalidError struct {
	// Version is zero if it is what is missing.
	Version mesh.Version
	Err     error
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("version %d: %v", e.Version, e.Err) }

// Unwrap returns why the version is invalid.
func (e *InvalidError) Unwrap() error { return e.Err }

// New returns the plan of a version. One invalid rule or account makes the whole
// version invalid, and the error names it. Errors are of type *InvalidError and contain
// no keys. Without accounts, callers are not identified.
func New(version mesh.Version, limits Limits, services []Service, rules []*Rule, accounts ...*Account) (built *Plan, err error) {
	return newPlan(version, limits, services, rules, len(accounts) > 0, accounts)
}

// NewWithAccounts returns the plan of a version that identifies callers by their keys, also
// if its list of accounts is empty. Otherwise it is like New.
func NewWithAccounts(version mesh.Version, limits Limits, services []Service, rules []*Rule, accounts []*Account) (built *Plan, err error) {
	return newPlan(version, limits, services, rules, true, accounts)
}

func newPlan(version mesh.Version, limits Limits, services []Service, rules []*Rule, identify bool, accounts []*Account) (built *Plan, err error) {
	defer func() {
		if err != nil {
			built, err = nil, &InvalidError{Version: version, Err: err}
		}
	}()
	if version == 0 {
		return nil, fmt.Errorf("version is missing")
	}
	built = &Plan{
		version: version, limits: limits, services: make(map[mesh.Service]Service, len(services)),
		rulesByHost: make(map[string]map[string]*Rule), rules: slices.Clone(rules),
	}
	if limits.MaxHeaderBytes < 0 || limits.MaxBodyBytes < 0 {
		return nil, fmt.Errorf("limits of %d header and %d body bytes must not be below zero", limits.MaxHeaderBytes, limits.MaxBodyBytes)
	}
	for _, s := range services {
		if s.MaxConnections < 0 {
			return nil, fmt.Errorf("%d connections of service %q must not be below zero", s.MaxConnections, s.Name)
		}
		built.services[s.Name] = s
	}
	for _, r := range rules {
		if err = built.addRule(r); err != nil {
			return nil, fmt.Errorf("rule %q of host %q: %w", r.Name, r.Host, err)
		}
	}
	if identify {
		built.accounts, err = newAccounts(accounts)
	}
	return built, err
}

func (p *Plan) addRule(rule *Rule) (err error) {
	if err = p.checkRule(rule); err != nil {
		return err
	}
	host := strings.ToLower(rule.Host)
	prefixes := p.rulesByHost[host]
	if prefixes == nil {
		prefixes = make(map[string]*Rule)
		p.rulesByHost[host] = prefixes
	}
	if other := prefixes[rule.Prefix]; other != nil {
		return fmt.Errorf("prefix %q is already used by rule %q", rule.Prefix, other.Name)
	}
	prefixes[rule.Prefix] = rule
	return nil
}

func (p *Plan) checkRule(rule *Rule) error {
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
	for _, s := range rule.Services {
		if _, known := p.services[s.Service]; !known {
			return fmt.Errorf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("weight %g of service %q must not be below zero", s.Weight, s.Service)
		}
	}
	return nil
}

// Version returns the version, or zero for the nil Plan.
func (p *Plan) Version() mesh.Version {
	if p == nil {
		return 0
	}
	return p.version
}

// Limits returns the limits on callers.
func (p *Plan) Limits() (limits Limits) {
	if p == nil {
		return limits
	}
	return p.limits
}

// Service returns the settings of a service.
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

// MaxTimeout returns the longest timeout of all rules.
func (p *Plan) MaxTimeout() (timeout time.Duration) {
	if p == nil {
		return 0
	}
	for _, r := range p.rules {
		timeout = max(timeout, r.Timeout)
	}
	return timeout
}

// NumRules returns the number of rules.
func (p *Plan) NumRules() int {
	if p == nil {
		return 0
	}
	return len(p.rules)
}

// Match returns the rule of the host whose prefix is the longest that matches the
// path. The host may include a port; the path must not include a query.
func (p *Plan) Match(host, path string) (rule *Rule, found bool) {
	if p == nil {
		return nil, false
	}
	prefixes := p.rulesByHost[canonicalHost(host)]
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

// canonicalHost returns the host in lower case without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
