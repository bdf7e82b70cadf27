// Package relay decides how nodes spread over relays, how relay slots are
// filled, what progress a configuration version makes, and how fast nodes come
// back. It does no I/O.
package relay

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Relay is a node that serves others.
type Relay struct {
	// Host is unique among relays.
	Host mesh.HostID
	// Place says where Host stands.
	Place mesh.Place
	// Node is where the relay takes sessions.
	Node netip.AddrPort
}

// Choose picks the relay that the child joins, by rendezvous hashing: when a
// relay fails only its own children move, and they spread evenly. All relays
// count as equally near. A nil failed passes every relay.
func Choose(child mesh.HostID, relays []Relay, failed func(mesh.HostID) bool) (chosen Relay, ok bool) {
	return choose(string(child), relays, func(candidate Relay) bool {
		return failed == nil || !failed(candidate.Host)
	})
}

// ChooseNearest is Choose with the child's place: a relay of its own zone goes
// before one of its own region, and that before all others.
func ChooseNearest(
	child mesh.HostID, place mesh.Place, relays []Relay, failed func(mesh.HostID) bool,
) (chosen Relay, ok bool) {
	nearest := far
	for _, r := range relays {
		if failed == nil || !failed(r.Host) {
			nearest = min(nearest, distanceOf(place, r.Place))
		}
	}
	return choose(string(child), relays, func(candidate Relay) bool {
		return distanceOf(place, candidate.Place) == nearest && (failed == nil || !failed(candidate.Host))
	})
}

// ChooseLead picks the relay of the region that carries what crosses regions. All
// nodes that see the same relays pick the same one.
func ChooseLead(region mesh.Region, relays []Relay, failed func(mesh.HostID) bool) (lead Relay, ok bool) {
	return choose(string(region), relays, func(candidate Relay) bool {
		return candidate.Place.Region == region && (failed == nil || !failed(candidate.Host))
	})
}

// distance ranks how far two places are from each other.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	far
)

func distanceOf(left, right mesh.Place) distance {
	switch {
	case left == right:
		return sameZone
	case left.Region == right.Region:
		return sameRegion
	default:
		return far
	}
}

// choose returns the allowed relay with the highest weight for the key.
func choose(key string, relays []Relay, allowed func(Relay) bool) (chosen Relay, ok bool) {
	var best uint64
	for _, r := range relays {
		if !allowed(r) {
			continue
		}
		score := weight(key, string(r.Host))
		if !ok || score > best || score == best && r.Host < chosen.Host {
			chosen, best, ok = r, score, true
		}
	}
	return chosen, ok
}

// weight is the rendezvous hash of a pair.
func weight(key, name string) uint64 {
	var space [2*mesh.MaxNameLength + 1]byte
	data := append(space[:0], key...)
	data = append(data, 0)
	data = append(data, name...)
	return xxhash.Sum64(data)
}

// Invite asks a child to become a relay.
type Invite struct {
	// Slot is the number of the vacant slot, from zero.
	Slot int
	// Host is the child invited.
	Host mesh.HostID
}

// PlanInvites decides which children of a zone are invited so that it has the wanted
// count of relays. The numbers of the vacant slots follow those of the live
// relays. Relays that see the same live relays and children decide alike; to
// send each invitation once, only the zone's Chair sends them.
func PlanInvites(live []Relay, want int, children []mesh.HostID) []Invite {
	vacant := want - len(live)
	if vacant <= 0 {
		return nil
	}
	var ranked []mesh.HostID
	for _, c := range children {
		if !slices.ContainsFunc(live, func(candidate Relay) bool { return candidate.Host == c }) {
			ranked = append(ranked, c)
		}
	}
	slices.SortFunc(ranked, func(left, right mesh.HostID) int {
		return cmp.Or(cmp.Compare(rank(right), rank(left)), cmp.Compare(left, right))
	})
	ranked = slices.Compact(ranked)
	invites := make([]Invite, 0, min(vacant, len(ranked)))
	for i := range cap(invites) {
		invites = append(invites, Invite{Slot: len(live) + i, Host: ranked[i]})
	}
	return invites
}

// VacantSlots returns the slot numbers below want that are not taken.
func VacantSlots(taken []int, want int) (slots []int) {
	for i := range want {
		if !slices.Contains(taken, i) {
			slots = append(slots, i)
		}
	}
	return slots
}

// ChooseInviter picks the relay of a zone that sends its invitations.
func ChooseInviter(live []Relay) (chair Relay, ok bool) {
	return choose("chair", live, func(Relay) bool { return true })
}

// Surplus returns the live relays beyond the wanted count, which step down. The
// same ranking fills slots, so that no host steps down to be invited again.
func Surplus(live []Relay, want int) []Relay {
	if len(live) <= want {
		return nil
	}
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(left, right Relay) int {
		return cmp.Or(cmp.Compare(rank(right.Host), rank(left.Host)), cmp.Compare(left.Host, right.Host))
	})
	return ranked[want:]
}

// rank orders the hosts of a zone for the role of a relay.
func rank(host mesh.HostID) uint64 {
	return weight("slot", string(host))
}
