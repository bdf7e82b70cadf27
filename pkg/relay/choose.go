// Package relay decides how nodes are distributed over relays, which nodes fill
// relay slots, how far a configuration version has been rolled out, and how fast
// nodes reconnect. It performs no I/O.
package relay

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Relay is a node that passes configuration and records on to other nodes, its
// children.
type Relay struct {
	// Host is unique among relays.
	Host mesh.HostID
	// Place is the region and zone of Host.
	Place mesh.Place
	// Node is the address at which the relay accepts sessions.
	Node netip.AddrPort
}

// Choose returns the relay for the child by rendezvous hashing. When a relay
// fails, only its own children move, and they spread evenly over the others.
// Choose ignores the places of the relays. If failed is nil, no relay counts as
// failed.
func Choose(child mesh.HostID, relays []Relay, failed func(mesh.HostID) bool) (chosen Relay, ok bool) {
	return choose(string(child), relays, func(candidate Relay) bool {
		return failed == nil || !failed(candidate.Host)
	})
}

// ChooseNearest is like Choose but prefers relays in the child's zone, then those
// in its region.
func ChooseNearest(
	child mesh.HostID, place mesh.Place, relays []Relay, failed func(mesh.HostID) bool,
) (chosen Relay, ok bool) {
	nearest := otherRegion
	for _, r := range relays {
		if failed == nil || !failed(r.Host) {
			nearest = min(nearest, distanceOf(place, r.Place))
		}
	}
	return choose(string(child), relays, func(candidate Relay) bool {
		return distanceOf(place, candidate.Place) == nearest && (failed == nil || !failed(candidate.Host))
	})
}

// ChooseLead returns the lead of the region: the relay that exchanges control
// messages with other regions. Nodes that see the same relays choose the same one.
func ChooseLead(region mesh.Region, relays []Relay, failed func(mesh.HostID) bool) (lead Relay, ok bool) {
	return choose(string(region), relays, func(candidate Relay) bool {
		return candidate.Place.Region == region && (failed == nil || !failed(candidate.Host))
	})
}

// distance ranks how far apart two places are.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func distanceOf(left, right mesh.Place) distance {
	switch {
	case left == right:
		return sameZone
	case left.Region == right.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// choose returns the allowed relay with the highest hash for the key.
func choose(key string, relays []Relay, allowed func(Relay) bool) (chosen Relay, ok bool) {
	var best uint64
	for _, r := range relays {
		if !allowed(r) {
			continue
		}
		score := rendezvousHash(key, string(r.Host))
		if !ok || score > best || score == best && r.Host < chosen.Host {
			chosen, best, ok = r, score, true
		}
	}
	return chosen, ok
}

// rendezvousHash returns the rendezvous hash of a key and a candidate's name.
func rendezvousHash(key, name string) uint64 {
	var buffer [2*mesh.MaxNameLength + 1]byte
	data := append(buffer[:0], key...)
	data = append(data, 0)
	data = append(data, name...)
	return xxhash.Sum64(data)
}

// Invite asks a child to become a relay.
type Invite struct {
	// Slot is the number of the vacant slot, counted from zero.
	Slot int
	// Host is the invited child.
	Host mesh.HostID
}

// PlanInvites returns the invitations that bring a zone to the wanted number of
// relays. The vacant slots are numbered after those of the live relays. Relays
// that see the same live relays and children return the same invitations. So that
// each is sent once, only the relay returned by ChooseInviter sends them.
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

// ChooseInviter returns the relay that sends the invitations of its zone.
func ChooseInviter(live []Relay) (inviter Relay, ok bool) {
	return choose("chair", live, func(Relay) bool { return true })
}

// Surplus returns the live relays beyond the wanted number, which give up their
// role. Slots are filled by the same ranking, so that no host gives up its role
// only to be invited again.
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

// rank returns the rank of a host of a zone for the role of a relay; the highest
// is preferred.
func rank(host mesh.HostID) uint64 {
	return rendezvousHash("slot", string(host))
}
