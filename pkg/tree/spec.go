package tree

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Spec defines one setting: a key, or one field of all routes.
type Spec struct {
	// Pattern is the key, with "*" in place of a route's name.
	Pattern string
	// Kind is the type of the values.
	Kind Kind
	// Allowed lists the accepted words of EnumKind and EnumListKind.
	Allowed []string
	// Min and Max are the inclusive bounds of IntegerKind.
	Min, Max int64
	// MinDuration and MaxDuration are the inclusive bounds of DurationKind.
	MinDuration, MaxDuration time.Duration
	// Default is the value used where none is set. It is empty for a route's
	// field whose default comes from the route's service.
	Default string
	// Levels lists the levels at which the key may be set.
	Levels []Level
	// Local is true if the value is not inherited by the levels below.
	Local bool
	// Doc is a one-line description for operators.
	Doc string

	// apply stores a value in settings; nil for route fields and descriptions.
	apply func(s *Settings, v value)
	// applyToRoute stores a value in a route; nil except for route fields.
	applyToRoute func(b *routeBuilder, v value)
}

// Bounds of values, and prefixes of keys.
const (
	maxAttempts          = 5
	maxQueueLimit        = 100_000
	maxBodyLimit         = 64 << 20
	maxPercent           = 100
	minTimeout           = time.Millisecond
	maxTimeout           = 10 * time.Minute
	minIdempotencyWindow = time.Second
	maxIdempotencyWindow = 24 * time.Hour
	routeWildcard        = routePrefix + "*."
	floorPrefix          = "floors."
	objectivePrefix      = "objectives."
)

var (
	allLevels     = []Level{RootLevel, CustomerLevel, RegionLevel, ServiceLevel}
	routeLevels   = []Level{CustomerLevel, RegionLevel, ServiceLevel}
	priorityNames = []string{"low", "normal", "high", "urgent"}
	methodNames   = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE"}
	boolNames     = []string{"true", "false"}
)

// settingSpecs are the specs of keys that name neither a route nor a priority.
var settingSpecs = []Spec{
	{
		Pattern: "description", Kind: TextKind, Levels: allLevels, Local: true,
		Doc: "description for operators; setting it also creates a service that overrides nothing else",
	},
	{
		Pattern: "priority", Kind: EnumKind, Allowed: priorityNames, Default: "normal", Levels: allLevels,
		Doc:   "priority of requests whose route sets none",
		apply: func(s *Settings, v value) { s.Priority = priorityOf(v) },
	},
	{
		Pattern: "timeout", Kind: DurationKind, MinDuration: minTimeout, MaxDuration: maxTimeout, Default: "5s", Levels: allLevels,
		Doc:   "time within which a request must be answered, if its route sets none",
		apply: func(s *Settings, v value) { s.Timeout = v.duration },
	},
	{
		Pattern: "retry.attempts", Kind: IntegerKind, Min: 1, Max: maxAttempts, Default: "3", Levels: allLevels,
		Doc:   "maximum number of attempts for one request, including the first",
		apply: func(s *Settings, v value) { s.MaxAttempts = int(v.number) },
	},
	{
		Pattern: "retry.budgetPercent", Kind: IntegerKind, Max: maxPercent, Default: "20", Levels: allLevels,
		Doc:   "maximum number of retries, in percent of first attempts",
		apply: func(s *Settings, v value) { s.RetryBudgetPercent = int(v.number) },
	},
	{
		Pattern: "limits.queue", Kind: IntegerKind, Max: maxQueueLimit, Default: "256", Levels: allLevels,
		Doc:   "maximum number of requests that wait at one upstream",
		apply: func(s *Settings, v value) { s.QueueLimit = int(v.number) },
	},
	{
		Pattern: "limits.bodyBytes", Kind: IntegerKind, Max: maxBodyLimit, Default: "1048576", Levels: allLevels,
		Doc:   "maximum size of a request body, in bytes",
		apply: func(s *Settings, v value) { s.MaxBodyBytes = v.number },
	},
	{
		Pattern: "once.window", Kind: DurationKind, MinDuration: minIdempotencyWindow, MaxDuration: maxIdempotencyWindow, Default: "10m", Levels: allLevels,
		Doc:   "time for which an idempotency key is stored",
		apply: func(s *Settings, v value) { s.IdempotencyWindow = v.duration },
	},
	{
		Pattern: "once.store", Kind: EnumKind, Allowed: idempotencyStoreNames, Default: "platform", Levels: allLevels,
		Doc: "where idempotency keys are stored",
		apply: func(s *Settings, v value) {
			s.IdempotencyStore = IdempotencyStore(slices.Index(idempotencyStoreNames, v.text))
		},
	},
	{
		Pattern: "remote", Kind: EnumKind, Allowed: []string{"allow", "deny"}, Default: "allow", Levels: allLevels,
		Doc:   "whether calls may cross the link between regions",
		apply: func(s *Settings, v value) { s.AllowCrossRegion = v.text == "allow" },
	},
}

// routeSpecs are the specs of a route's fields.
var routeSpecs = []Spec{
	{
		Pattern: routeWildcard + "path", Kind: PathPrefixKind, Levels: routeLevels,
		Doc:          "prefix of the request paths that the route matches, in whole segments",
		applyToRoute: func(b *routeBuilder, v value) { b.route.Prefix = v.text },
	},
	{
		Pattern: routeWildcard + "service", Kind: NameKind, Levels: routeLevels,
		Doc:          "service that receives the requests; by default, a route of a service leads to that service",
		applyToRoute: func(b *routeBuilder, v value) { b.route.Service = mesh.Service(v.text) },
	},
	{
		Pattern: routeWildcard + "methods", Kind: EnumListKind, Allowed: methodNames, Levels: routeLevels,
		Doc:          "methods that the route matches; every method by default",
		applyToRoute: func(b *routeBuilder, v value) { b.route.Methods = v.words },
	},
	{
		Pattern: routeWildcard + "priority", Kind: EnumKind, Allowed: priorityNames, Levels: routeLevels,
		Doc: "priority of the requests; that of the service by default",
		applyToRoute: func(b *routeBuilder, v value) {
			b.route.Priority = priorityOf(v)
			b.hasPriority = true
		},
	},
	{
		Pattern: routeWildcard + "timeout", Kind: DurationKind, MinDuration: minTimeout, MaxDuration: maxTimeout, Levels: routeLevels,
		Doc:          "time within which a request must be answered; that of the service by default",
		applyToRoute: func(b *routeBuilder, v value) { b.route.Timeout = v.duration },
	},
	{
		Pattern: routeWildcard + "idempotent", Kind: EnumKind, Allowed: idempotenceNames, Default: "method", Levels: routeLevels,
		Doc: "whether a request is idempotent and may be retried; by default, depends on the method as in RFC 9110",
		applyToRoute: func(b *routeBuilder, v value) {
			b.route.Idempotence = Idempotence(slices.Index(idempotenceNames, v.text))
		},
	},
	{
		Pattern: routeWildcard + "once", Kind: EnumKind, Allowed: boolNames, Default: "false", Levels: routeLevels,
		Doc:          "whether requests with the same Idempotency-Key run at most once",
		applyToRoute: func(b *routeBuilder, v value) { b.route.AtMostOnce = v.text == "true" },
	},
}

// priorityDefaults are the defaults of the keys that exist once per priority.
var priorityDefaults = [mesh.NumPriorities]struct{ floor, latency, percent string }{
	mesh.Low:    {floor: "5", latency: "5s", percent: "95"},
	mesh.Normal: {floor: "10", latency: "2s", percent: "99"},
	mesh.High:   {floor: "15", latency: "500ms", percent: "99.5"},
	mesh.Urgent: {floor: "0", latency: "200ms", percent: "99.9"},
}

// prioritySpecs returns the specs of the keys that exist once per priority.
func prioritySpecs() (specs []Spec) {
	for _, p := range mesh.Priorities() {
		specs = append(specs,
			Spec{
				Pattern: floorPrefix + p.String(), Kind: IntegerKind, Max: maxPercent, Default: priorityDefaults[p].floor, Levels: allLevels,
				Doc:   "minimum share of the upstream for requests of this priority under overload, in percent",
				apply: func(s *Settings, v value) { s.Floors[p] = int(v.number) },
			},
			Spec{
				Pattern: objectivePrefix + p.String() + ".latency", Kind: DurationKind, MinDuration: minTimeout, MaxDuration: maxTimeout,
				Default: priorityDefaults[p].latency, Levels: allLevels,
				Doc:   "time within which requests of this priority should be answered",
				apply: func(s *Settings, v value) { s.Objectives[p].Latency = v.duration },
			},
			Spec{
				Pattern: objectivePrefix + p.String() + ".percent", Kind: PercentKind, Default: priorityDefaults[p].percent, Levels: allLevels,
				Doc:   "share of requests of this priority that should meet the latency, in percent",
				apply: func(s *Settings, v value) { s.Objectives[p].Percent = v.percent },
			},
		)
	}
	return specs
}

// specs holds all specs, and specIndex the same by pattern.
var (
	specs     = slices.Concat(settingSpecs, prioritySpecs(), routeSpecs)
	specIndex = indexSpecs(specs)
)

func indexSpecs(specs []Spec) map[string]*Spec {
	index := make(map[string]*Spec, len(specs))
	for i := range specs {
		index[specs[i].Pattern] = &specs[i]
	}
	return index
}

// Specs returns the specs of all settings.
func Specs() []Spec {
	return slices.Clone(specs)
}

// routeFields holds the specs of a route's fields by the name of the field.
var routeFields = indexRouteFields()

func indexRouteFields() map[string]*Spec {
	fields := make(map[string]*Spec, len(routeSpecs))
	for i := range routeSpecs {
		fields[routeSpecs[i].Pattern[len(routeWildcard):]] = &routeSpecs[i]
	}
	return fields
}

// specOf returns the spec of a key; ok is false for an unknown key.
func specOf(key Key) (spec *Spec, ok bool) {
	if _, field, isRoute := key.splitRoute(); isRoute {
		spec, ok = routeFields[field]
		return spec, ok
	}
	spec, ok = specIndex[string(key)]
	return spec, ok && spec.applyToRoute == nil
}

// priorityOf converts a value that was parsed with priorityNames allowed.
func priorityOf(v value) mesh.Priority {
	return mesh.Priority(slices.Index(priorityNames, v.text))
}
