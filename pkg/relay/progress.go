package relay

import (
	"cmp"
	"maps"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Progress holds the versions in force in whole zones, as reported by their relays.
type Progress struct {
	// Zones holds one summary per zone, sorted by zone.
	Zones []Summary
}

// ExpectedZone is a zone that must report, with the number of its hosts according
// to the membership.
type ExpectedZone struct {
	Zone  mesh.Zone
	Hosts int
}

// Status is the state of the rollout of one version.
type Status struct {
	// InForce is true if every expected host has this version or a higher one in
	// force.
	InForce bool
	// Behind lists the zones in which some host has a lower version in force.
	Behind []mesh.Zone
	// Refused lists the zones in which some host refuses the version.
	Refused []mesh.Zone
	// Silent lists the zones whose relays report fewer hosts than expected.
	Silent []mesh.Zone
}

// Merge combines the summaries of several relays into one per zone. The caller
// omits those of relays that have not reported for too long. A host that moves
// from one relay to another may briefly be counted twice.
func Merge(summaries []Summary) Progress {
	zones := make(map[mesh.Zone]Summary, len(summaries))
	for _, s := range summaries {
		sum, ok := zones[s.Zone]
		switch {
		case !ok:
			sum = s
			sum.Refusals = slices.Clone(s.Refusals)
		case s.Children > 0:
			sum.Version = lowestVersion(sum, s)
			sum.Children += s.Children
			sum.Behind += s.Behind
			sum.Refusals = append(sum.Refusals, s.Refusals...)
		}
		zones[s.Zone] = sum
	}
	merged := make([]Summary, 0, len(zones))
	for _, s := range zones {
		s.Refusals = limitRefusals(s.Refusals)
		merged = append(merged, s)
	}
	slices.SortFunc(merged, func(left, right Summary) int { return cmp.Compare(left.Zone, right.Zone) })
	return Progress{Zones: merged}
}

// lowestVersion returns the lower version of two summaries; a summary without
// children doesn't count.
func lowestVersion(left, right Summary) mesh.Version {
	if left.Children == 0 {
		return right.Version
	}
	return min(left.Version, right.Version)
}

// Version returns the version that is in force in every reporting zone.
func (p Progress) Version() (version mesh.Version) {
	first := true
	for _, s := range p.Zones {
		if s.Children == 0 {
			continue
		}
		if first || s.Version < version {
			version = s.Version
		}
		first = false
	}
	return version
}

// Status returns the state of the rollout of the version in the expected zones.
// Zones that report without being expected are included.
func (p Progress) Status(version mesh.Version, expected []ExpectedZone) (status Status) {
	hosts := make(map[mesh.Zone]int, len(expected))
	for _, e := range expected {
		hosts[e.Zone] = e.Hosts
	}
	summaries := make(map[mesh.Zone]Summary, len(p.Zones))
	for _, s := range p.Zones {
		summaries[s.Zone] = s
		hosts[s.Zone] += 0
	}
	for _, z := range slices.Sorted(maps.Keys(hosts)) {
		summary := summaries[z]
		if summary.Children < hosts[z] {
			status.Silent = append(status.Silent, z)
		}
		if summary.Children > 0 && summary.Version < version {
			status.Behind = append(status.Behind, z)
		}
		if summary.refuses(version) {
			status.Refused = append(status.Refused, z)
		}
	}
	status.InForce = len(status.Behind)+len(status.Refused)+len(status.Silent) == 0
	return status
}

func (s Summary) refuses(version mesh.Version) bool {
	return slices.ContainsFunc(s.Refusals, func(refusal Refusal) bool { return refusal.Version == version })
}
