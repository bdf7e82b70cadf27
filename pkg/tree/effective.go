package tree

import (
	"cmp"
	"maps"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Origin is an effective value and where it is set.
type Origin struct {
	// Key is the setting.
	Key Key
	// Value is the effective value.
	Value string
	// From is the path that sets the value; the root if Default is true.
	From Path
	// Default is true if no path sets the value.
	Default bool
}

// EffectiveSettings are the settings that apply at one path, with their origins.
type EffectiveSettings struct {
	// Settings are the inherited, overridden and default values combined.
	Settings Settings
	// Origins are sorted by key.
	Origins []Origin
}

// EffectiveSettings returns the settings that apply at the path. The path need not
// have values of its own. If a value is invalid, the error is of type Violations.
func (t *Tree) EffectiveSettings(path Path) (effective EffectiveSettings, err error) {
	defer func() { err = annotate(err, "effective settings") }()
	if path, err = ParsePath(string(path)); err != nil {
		return effective, err
	}
	builder := t.collect(path, true)
	if len(builder.violations) > 0 {
		return effective, builder.violations
	}
	effective.Settings = builder.settings
	for _, r := range builder.sortedRoutes() {
		effective.Settings.Routes = append(effective.Settings.Routes, r.build(t.settingsFor(path, r.route.Service, builder)))
	}
	effective.Origins = builder.allOrigins()
	return effective, nil
}

// settingsFor returns the settings from which a route inherits its unset fields:
// those of its service if the path includes a region, else those of the path.
func (t *Tree) settingsFor(path Path, service mesh.Service, builder *settingsBuilder) *Settings {
	if path.Level() < RegionLevel || service == "" || service == path.Service() {
		return &builder.settings
	}
	return &t.collect(Join(path.Customer(), path.Region(), service), false).settings
}

// allOrigins returns the origins of all settings, including those left at their
// defaults, sorted by key.
func (b *settingsBuilder) allOrigins() (origins []Origin) {
	for i := range specs {
		s := &specs[i]
		if s.applyToRoute == nil {
			b.setDefaultOrigin(Key(s.Pattern), s)
			continue
		}
		if s.Default == "" {
			continue
		}
		for name := range b.routes {
			b.setDefaultOrigin(Key(routePrefix+name+"."+s.Pattern[len(routeWildcard):]), s)
		}
	}
	return slices.SortedFunc(maps.Values(b.origins), func(a, b Origin) int {
		return cmp.Compare(a.Key, b.Key)
	})
}

func (b *settingsBuilder) setDefaultOrigin(key Key, spec *Spec) {
	if _, ok := b.origins[key]; !ok {
		b.origins[key] = Origin{Key: key, Value: spec.Default, Default: true}
	}
}
