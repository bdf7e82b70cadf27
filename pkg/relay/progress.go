package relay

import (
	"cmp"
	"maps"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Progress is what whole zones have in force, as their relays report.
type Progress struct {
	// Zones holds one mark a zone, sorted by zone.
	Zones []Summary
}

// ExpectedZone is a zone that must report, and how many hosts it has by membership.
type ExpectedZone struct {
	Zone  mesh.Zone
	Hosts int
}

// Status says how far one version has come.
type Status struct {
	// InForce is true when every expected host has the version or a higher one.
	InForce bool
	// Behind lists zones where some host has less.
	Behind []mesh.Zone
	// Refused lists zones where some host refuses the version.
	Refused []mesh.Zone
	// Silent lists zones whose relays speak for fewer hosts than expected.
	Silent []mesh.Zone
}

// Merge adds the marks of several relays up to one mark a zone. The caller
// leaves out marks of relays that it has not heard for too long. A host that
// moves between relays may count twice for a moment.
func Merge(marks []Summary) Progress {
	zones := make(map[mesh.Zone]Summary, len(marks))
	for _, m := range marks {
		sum, ok := zones[m.Zone]
		switch {
		case !ok:
			sum = m
			sum.Refusals = slices.Clone(m.Refusals)
		case m.Children > 0:
			sum.Version = lowWater(sum, m)
			sum.Children += m.Children
			sum.Behind += m.Behind
			sum.Refusals = append(sum.Refusals, m.Refusals...)
		}
		zones[m.Zone] = sum
	}
	merged := make([]Summary, 0, len(zones))
	for _, m := range zones {
		m.Refusals = boundRefusals(m.Refusals)
		merged = append(merged, m)
	}
	slices.SortFunc(merged, func(left, right Summary) int { return cmp.Compare(left.Zone, right.Zone) })
	return Progress{Zones: merged}
}

// lowWater returns the lower version of two marks; one without children has no say.
func lowWater(left, right Summary) mesh.Version {
	if left.Children == 0 {
		return right.Version
	}
	return min(left.Version, right.Version)
}

// Version returns what is in force in every zone that reports.
func (p Progress) Version() (version mesh.Version) {
	first := true
	for _, m := range p.Zones {
		if m.Children == 0 {
			continue
		}
		if first || m.Version < version {
			version = m.Version
		}
		first = false
	}
	return version
}

// Status says how far the version has come in the zones that are expected.
// Zones that report but are not expected count as well.
func (p Progress) Status(version mesh.Version, expected []ExpectedZone) (standing Status) {
	hosts := make(map[mesh.Zone]int, len(expected))
	for _, e := range expected {
		hosts[e.Zone] = e.Hosts
	}
	marks := make(map[mesh.Zone]Summary, len(p.Zones))
	for _, m := range p.Zones {
		marks[m.Zone] = m
		hosts[m.Zone] += 0
	}
	for _, z := range slices.Sorted(maps.Keys(hosts)) {
		mark := marks[z]
		if mark.Children < hosts[z] {
			standing.Silent = append(standing.Silent, z)
		}
		if mark.Children > 0 && mark.Version < version {
			standing.Behind = append(standing.Behind, z)
		}
		if mark.refuses(version) {
			standing.Refused = append(standing.Refused, z)
		}
	}
	standing.InForce = len(standing.Behind)+len(standing.Refused)+len(standing.Silent) == 0
	return standing
}

func (m Summary) refuses(version mesh.Version) bool {
	return slices.ContainsFunc(m.Refusals, func(refusal Refusal) bool { return refusal.Version == version })
}
