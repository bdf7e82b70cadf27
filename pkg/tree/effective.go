package tree

import (
	"cmp"
	"maps"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Origin says where an effective value comes from.
type Origin struct {
	// Key is the setting.
	Key Key
	// Value is its effective value.
	Value string
	// From is the path that sets it; the root for a default.
	From Path
	// Default is true if no path sets it.
	Default bool
}

// EffectiveSettings is what holds at one path.
type EffectiveSettings struct {
	// Settings are the effective settings.
	Settings Settings
	// Origins are sorted by key.
	Origins []Origin
}

// EffectiveSettings returns what holds at the path, which need not have values of its
// own. Values that are not allowed give Violations.
func (t *Tree) EffectiveSettings(path Path) (effective EffectiveSettings, err error) {
	defer func() { err = annotate(err, "effective settings") }()
	if path, err = ParsePath(string(path)); err != nil {
		return effective, err
	}
	d := t.newDraft(path, true)
	if len(d.faults) > 0 {
		return effective, d.faults
	}
	effective.Settings = d.settings
	for _, r := range d.sortedRoutes() {
		effective.Settings.Routes = append(effective.Settings.Routes, r.finish(t.settingsFor(path, r.route.Service, d)))
	}
	effective.Origins = d.allOrigins()
	return effective, nil
}

// settingsFor returns the settings from which a route takes what it does not
// set: those of its service where the path tells the region, else those of
// the path.
func (t *Tree) settingsFor(path Path, service mesh.Service, d *draft) *Settings {
	if path.Level() < RegionLevel || service == "" || service == path.Service() {
		return &d.settings
	}
	return &t.newDraft(Join(path.Customer(), path.Region(), service), false).settings
}

// allOrigins returns the collected origins and the defaults of the rest.
func (d *draft) allOrigins() (origins []Origin) {
	for i := range specs {
		s := &specs[i]
		if s.storeRoute == nil {
			d.defaultOrigin(Key(s.Pattern), s)
			continue
		}
		if s.Default == "" {
			continue
		}
		for name := range d.routes {
			d.defaultOrigin(Key(routePrefix+name+"."+s.Pattern[len(routeWildcard):]), s)
		}
	}
	return slices.SortedFunc(maps.Values(d.origins), func(a, b Origin) int {
		return cmp.Compare(a.Key, b.Key)
	})
}

func (d *draft) defaultOrigin(key Key, spec *Spec) {
	if _, ok := d.origins[key]; !ok {
		d.origins[key] = Origin{Key: key, Value: spec.Default, Default: true}
	}
}
