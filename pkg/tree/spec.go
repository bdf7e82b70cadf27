package tree

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Spec describes the values of one key, or of the same field of every route.
type Spec struct {
	// Pattern is the key, with "*" for the name of a route.
	Pattern string
	// Kind says how values are written.
	Kind Kind
	// Allowed lists the words that a value may use; only for words.
	Allowed []string
	// Min and Max bound an integer, both included.
	Min, Max int64
	// MinDuration and MaxDuration bound a duration, both included.
	MinDuration, MaxDuration time.Duration
	// Default is the value where none is set; empty for a route's field that
	// follows the route's service.
	Default string
	// Levels lists where the key may stand.
	Levels []Level
	// Local tells that the value holds only where it stands and is not inherited.
	Local bool
	// Doc says in one line what the setting does.
	Doc string

	// store puts a value into settings; nil for routes and descriptions.
	store func(s *Settings, v value)
	// storeRoute puts a value into a route; only for routes.
	storeRoute func(d *routeDraft, v value)
}

// Bounds of settings.
const (
	maxAttempts    = 5
	maxQueueLimit  = 100_000
	maxBodyLimit   = 64 << 20
	maxPercent     = 100
	minTimeout     = time.Millisecond
	maxTimeout     = 10 * time.Minute
	minKeyWindow   = time.Second
	maxKeyWindow   = 24 * time.Hour
	routeWildcard  = routePrefix + "*."
	floorPrefix    = "floors."
	objectiveStart = "objectives."
)

var (
	everyLevel  = []Level{RootLevel, CustomerLevel, RegionLevel, ServiceLevel}
	routeLevels = []Level{CustomerLevel, RegionLevel, ServiceLevel}
	wordsOfRank = []string{"low", "normal", "high", "urgent"}
	methodWords = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE"}
	yesNo       = []string{"true", "false"}
)

// plainSpecs are the keys that stand for themselves.
var plainSpecs = []Spec{
	{
		Pattern: "description", Kind: TextKind, Levels: everyLevel, Local: true,
		Doc: "what the node is for; it also makes a service exist that overrides nothing",
	},
	{
		Pattern: "priority", Kind: EnumKind, Allowed: wordsOfRank, Default: "normal", Levels: everyLevel,
		Doc:   "priority of requests whose route sets none",
		store: func(s *Settings, v value) { s.Priority = priorityOf(v) },
	},
	{
		Pattern: "timeout", Kind: DurationKind, MinDuration: minTimeout, MaxDuration: maxTimeout, Default: "5s", Levels: everyLevel,
		Doc:   "time within which a request must be answered, if its route sets none",
		store: func(s *Settings, v value) { s.Timeout = v.duration },
	},
	{
		Pattern: "retry.attempts", Kind: IntegerKind, Min: 1, Max: maxAttempts, Default: "3", Levels: everyLevel,
		Doc:   "tries of one request, the first included",
		store: func(s *Settings, v value) { s.MaxAttempts = int(v.number) },
	},
	{
		Pattern: "retry.budgetPercent", Kind: IntegerKind, Max: maxPercent, Default: "20", Levels: everyLevel,
		Doc:   "retries allowed, in percent of first tries",
		store: func(s *Settings, v value) { s.RetryBudgetPercent = int(v.number) },
	},
	{
		Pattern: "limits.queue", Kind: IntegerKind, Max: maxQueueLimit, Default: "256", Levels: everyLevel,
		Doc:   "requests that may wait at one upstream",
		store: func(s *Settings, v value) { s.QueueLimit = int(v.number) },
	},
	{
		Pattern: "limits.bodyBytes", Kind: IntegerKind, Max: maxBodyLimit, Default: "1048576", Levels: everyLevel,
		Doc:   "size of the largest request body, in bytes",
		store: func(s *Settings, v value) { s.MaxBodyBytes = v.number },
	},
	{
		Pattern: "once.window", Kind: DurationKind, MinDuration: minKeyWindow, MaxDuration: maxKeyWindow, Default: "10m", Levels: everyLevel,
		Doc:   "time for which an idempotency key is remembered",
		store: func(s *Settings, v value) { s.IdempotencyWindow = v.duration },
	},
	{
		Pattern: "once.store", Kind: EnumKind, Allowed: keyStoreNames, Default: "platform", Levels: everyLevel,
		Doc:   "where idempotency keys are remembered",
		store: func(s *Settings, v value) { s.IdempotencyStore = IdempotencyStore(slices.Index(keyStoreNames, v.text)) },
	},
	{
		Pattern: "remote", Kind: EnumKind, Allowed: []string{"allow", "deny"}, Default: "allow", Levels: everyLevel,
		Doc:   "whether calls may cross the link between regions",
		store: func(s *Settings, v value) { s.AllowCrossRegion = v.text == "allow" },
	},
}

// routeSpecs are the fields of a route.
var routeSpecs = []Spec{
	{
		Pattern: routeWildcard + "path", Kind: PathPrefixKind, Levels: routeLevels,
		Doc:        "beginning of the request paths that the route takes, in whole segments",
		storeRoute: func(d *routeDraft, v value) { d.route.Prefix = v.text },
	},
	{
		Pattern: routeWildcard + "service", Kind: NameKind, Levels: routeLevels,
		Doc:        "service that takes the requests; a service's own route leads to itself by default",
		storeRoute: func(d *routeDraft, v value) { d.route.Service = mesh.Service(v.text) },
	},
	{
		Pattern: routeWildcard + "methods", Kind: EnumListKind, Allowed: methodWords, Levels: routeLevels,
		Doc:        "methods that the route takes; every method by default",
		storeRoute: func(d *routeDraft, v value) { d.route.Methods = v.words },
	},
	{
		Pattern: routeWildcard + "priority", Kind: EnumKind, Allowed: wordsOfRank, Levels: routeLevels,
		Doc: "priority of the requests; that of the service by default",
		storeRoute: func(d *routeDraft, v value) {
			d.route.Priority = priorityOf(v)
			d.hasPriority = true
		},
	},
	{
		Pattern: routeWildcard + "timeout", Kind: DurationKind, MinDuration: minTimeout, MaxDuration: maxTimeout, Levels: routeLevels,
		Doc:        "time within which a request must be answered; that of the service by default",
		storeRoute: func(d *routeDraft, v value) { d.route.Timeout = v.duration },
	},
	{
		Pattern: routeWildcard + "idempotent", Kind: EnumKind, Allowed: idempotenceNames, Default: "method", Levels: routeLevels,
		Doc: "whether a request may be repeated; by its method as in RFC 9110 by default",
		storeRoute: func(d *routeDraft, v value) {
			d.route.Idempotence = Idempotence(slices.Index(idempotenceNames, v.text))
		},
	},
	{
		Pattern: routeWildcard + "once", Kind: EnumKind, Allowed: yesNo, Default: "false", Levels: routeLevels,
		Doc:        "whether the Idempotency-Key of a request is honoured",
		storeRoute: func(d *routeDraft, v value) { d.route.AtMostOnce = v.text == "true" },
	},
}

// rankDefaults are the defaults of the keys that stand once for each priority.
var rankDefaults = [mesh.NumPriorities]struct{ floor, latency, percent string }{
	mesh.Low:    {floor: "5", latency: "5s", percent: "95"},
	mesh.Normal: {floor: "10", latency: "2s", percent: "99"},
	mesh.High:   {floor: "15", latency: "500ms", percent: "99.5"},
	mesh.Urgent: {floor: "0", latency: "200ms", percent: "99.9"},
}

// rankSpecs returns the keys that stand once for each priority.
func rankSpecs() (specs []Spec) {
	for _, p := range mesh.Priorities() {
		specs = append(specs,
			Spec{
				Pattern: floorPrefix + p.String(), Kind: IntegerKind, Max: maxPercent, Default: rankDefaults[p].floor, Levels: everyLevel,
				Doc:   "share of the upstream that requests of this priority keep under overload, in percent",
				store: func(s *Settings, v value) { s.Floors[p] = int(v.number) },
			},
			Spec{
				Pattern: objectiveStart + p.String() + ".latency", Kind: DurationKind, MinDuration: minTimeout, MaxDuration: maxTimeout,
				Default: rankDefaults[p].latency, Levels: everyLevel,
				Doc:   "time within which requests of this priority should be answered",
				store: func(s *Settings, v value) { s.Objectives[p].Latency = v.duration },
			},
			Spec{
				Pattern: objectiveStart + p.String() + ".percent", Kind: PercentKind, Default: rankDefaults[p].percent, Levels: everyLevel,
				Doc:   "share of requests of this priority that should meet the latency, in percent",
				store: func(s *Settings, v value) { s.Objectives[p].Percent = v.percent },
			},
		)
	}
	return specs
}

// specs holds every spec, and specIndex each by its pattern.
var (
	specs     = slices.Concat(plainSpecs, rankSpecs(), routeSpecs)
	specIndex = indexSpecs(specs)
)

func indexSpecs(specs []Spec) map[string]*Spec {
	index := make(map[string]*Spec, len(specs))
	for i := range specs {
		index[specs[i].Pattern] = &specs[i]
	}
	return index
}

// Specs returns the table of every key.
func Specs() []Spec {
	return slices.Clone(specs)
}

// routeFields holds the spec of each field of a route by the field's name.
var routeFields = indexRouteFields()

func indexRouteFields() map[string]*Spec {
	fields := make(map[string]*Spec, len(routeSpecs))
	for i := range routeSpecs {
		fields[routeSpecs[i].Pattern[len(routeWildcard):]] = &routeSpecs[i]
	}
	return fields
}

// specOf returns the spec of a key.
func specOf(key Key) (spec *Spec, ok bool) {
	if _, field, isRoute := key.splitRoute(); isRoute {
		spec, ok = routeFields[field]
		return spec, ok
	}
	spec, ok = specIndex[string(key)]
	return spec, ok && spec.storeRoute == nil
}

// priorityOf converts a value that its spec has checked.
func priorityOf(v value) mesh.Priority {
	return mesh.Priority(slices.Index(wordsOfRank, v.text))
}
