// Package member decides who is a member of the mesh: it merges the records
// that hosts publish about their upstreams, suspects and removes silent hosts,
// and keeps the life cycle of the host's own upstream. It does no I/O.
package member

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// State is what a record says of an upstream.
type State uint8

// The states of an upstream.
const (
	// Warming takes less work than Ready: the upstream starts cold.
	Warming State = iota
	Ready
	// Draining takes no new work and finishes what runs.
	Draining
	// Left is the host's own word that the upstream is gone.
	Left
	// Lost is a relay's verdict on a host that went silent.
	Lost
)

// numStates is the count of states; valid ones are below it.
const numStates = 5

var stateNames = [numStates]string{"warming", "ready", "draining", "left", "lost"}

// String returns the name used in status reports.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// ParseState returns the state of that name.
func ParseState(name string) (state State, err error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return Warming, fmt.Errorf("unknown state %q, want warming, ready, draining, left or lost", name)
}

// Live reports whether the upstream is still there: warming, ready or draining.
func (s State) Live() bool {
	return s <= Draining
}

// AcceptsRequests reports whether the upstream takes new work: warming or ready.
func (s State) AcceptsRequests() bool {
	return s <= Ready
}

// Record is what is known of one host and its one upstream.
type Record struct {
	// Host is unique in the mesh; a table holds one record a host.
	Host mesh.HostID
	// ID is the service that the upstream serves.
	ID mesh.ServiceID
	// Place says where Host stands.
	Place mesh.Place
	// Node is where the host's node takes sessions.
	Node netip.AddrPort
	// Stamp orders the records of Host; it is not zero.
	Stamp mesh.Stamp
	// State is below numStates.
	State State
	// Relay is the relay that Host beats to; empty when there is none.
	Relay mesh.HostID
	// Slots is how many calls the upstream runs at once; not negative.
	Slots int
	// Connections is how many connections the upstream takes; not negative.
	Connections int
}

// Validate reports the first fault of a record that came from elsewhere.
func (r Record) Validate() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("record of host %q: %w", r.Host, err)
		}
	}()
	names := []struct{ what, name string }{
		{what: "host", name: string(r.Host)},
		{what: "customer", name: string(r.ID.Customer)},
		{what: "service", name: string(r.ID.Service)},
		{what: "region", name: string(r.Place.Region)},
		{what: "zone", name: string(r.Place.Zone)},
	}
	for _, n := range names {
		if err = mesh.CheckName(n.name); err != nil {
			return fmt.Errorf("%s: %w", n.what, err)
		}
	}
	if r.Relay != "" {
		if err = mesh.CheckName(string(r.Relay)); err != nil {
			return fmt.Errorf("via: %w", err)
		}
	}
	switch {
	case !r.Node.IsValid():
		return fmt.Errorf("node address is missing")
	case r.Stamp == mesh.Stamp{}:
		return fmt.Errorf("stamp is zero")
	case r.State >= numStates:
		return fmt.Errorf("unknown %s", r.State)
	case r.Slots < 0 || r.Connections < 0:
		return fmt.Errorf("%d slots and %d connections, want none below zero", r.Slots, r.Connections)
	}
	return nil
}

// Newer reports whether left stands over right, both records of one host. The
// later stamp stands; at an equal stamp Lost beats the rest, so that a relay's
// verdict holds until the host refutes it with a higher sequence. Records that
// are equal so far are ordered by their content: the order is total, and
// merging therefore commutes.
func Newer(left, right Record) bool {
	if left.Stamp != right.Stamp {
		return left.Stamp.After(right.Stamp)
	}
	if left.State != right.State {
		return left.State > right.State
	}
	return compareContent(left, right) > 0
}

// compareContent orders records by everything but stamp and state.
func compareContent(left, right Record) int {
	return cmp.Or(
		cmp.Compare(left.ID.Customer, right.ID.Customer),
		cmp.Compare(left.ID.Service, right.ID.Service),
		cmp.Compare(left.Place.Region, right.Place.Region),
		cmp.Compare(left.Place.Zone, right.Place.Zone),
		left.Node.Compare(right.Node),
		cmp.Compare(left.Relay, right.Relay),
		cmp.Compare(left.Slots, right.Slots),
		cmp.Compare(left.Connections, right.Connections),
	)
}

// hash returns a hash of the whole record, equal on every machine.
func (r Record) hash() uint64 {
	var space [320]byte
	data := space[:0]
	for _, s := range [...]string{
		string(r.Host), string(r.ID.Customer), string(r.ID.Service),
		string(r.Place.Region), string(r.Place.Zone), string(r.Relay),
	} {
		data = append(data, s...)
		data = append(data, 0)
	}
	address := r.Node.Addr().As16()
	data = append(data, address[:]...)
	data = binary.LittleEndian.AppendUint16(data, r.Node.Port())
	data = binary.LittleEndian.AppendUint64(data, r.Stamp.Incarnation)
	data = binary.LittleEndian.AppendUint64(data, r.Stamp.Sequence)
	data = append(data, byte(r.State))
	data = binary.LittleEndian.AppendUint64(data, uint64(r.Slots))
	data = binary.LittleEndian.AppendUint64(data, uint64(r.Connections))
	return xxhash.Sum64(data)
}
