// Package member maintains the membership of the mesh: it merges the records that
// hosts publish about their upstreams, detects and removes silent hosts, and manages
// the lifecycle of the local upstream. It does no I/O.
package member

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// State is the state of an upstream in its record.
type State uint8

// The states of an upstream.
const (
	// Warming upstreams are starting cold and take fewer requests than Ready ones.
	Warming State = iota
	Ready
	// Draining upstreams accept no new requests and finish the running ones.
	Draining
	// Left is reported by the host itself after its upstream has ended.
	Left
	// Lost is set by a relay for a host that became silent.
	Lost
)

// numStates is the number of states; valid states are below it.
const numStates = 5

var stateNames = [numStates]string{"warming", "ready", "draining", "left", "lost"}

// String returns the name used in status reports.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// ParseState returns the state with the given name.
func ParseState(name string) (state State, err error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return Warming, fmt.Errorf("unknown state %q, want warming, ready, draining, left or lost", name)
}

// Live reports whether the upstream is still running: warming, ready or draining.
func (s State) Live() bool {
	return s <= Draining
}

// AcceptsRequests reports whether the upstream accepts new requests: warming or
// ready.
func (s State) AcceptsRequests() bool {
	return s <= Ready
}

// Record describes one host and its upstream.
type Record struct {
	// Host is unique in the mesh; a table holds one record per host.
	Host mesh.HostID
	// ID is the service of the upstream.
	ID mesh.ServiceID
	// Place is the region and zone of the host.
	Place mesh.Place
	// Node is where the node of the host accepts sessions.
	Node netip.AddrPort
	// Stamp orders the records of a host; it is not zero.
	Stamp mesh.Stamp
	// State is below numStates.
	State State
	// Relay is the relay to which the host sends heartbeats; empty when there is none.
	Relay mesh.HostID
	// Slots is the number of calls that the upstream processes concurrently; not
	// negative.
	Slots int
	// Connections is the number of connections that the upstream accepts; not negative.
	Connections int
}

// Validate returns an error for the first invalid field of a record received from
// another process.
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

// Newer reports whether left supersedes right; both are records of the same host.
// The record with the later stamp is newer. At equal stamps Lost supersedes every
// other state, so that a relay's decision is valid until the host refutes it with a
// higher sequence. Otherwise equal records are ordered by their content: the order
// is total, which makes merging commutative.
func Newer(left, right Record) bool {
	if left.Stamp != right.Stamp {
		return left.Stamp.After(right.Stamp)
	}
	if left.State != right.State {
		return left.State > right.State
	}
	return compareContent(left, right) > 0
}

// compareContent orders records by all fields except stamp and state.
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

// hash returns a hash of the whole record. It is the same on every machine.
func (r Record) hash() uint64 {
	var buffer [320]byte
	data := buffer[:0]
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
