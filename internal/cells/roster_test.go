package cells_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// change puts a record of the host at the address, or removes the host's when
// the address is empty.
type change struct {
	host    mesh.HostID
	address string
	version uint64
}

func TestAddressBelongsToTheHostThatRecordedItLast(t *testing.T) {
	const first, second = "10.0.0.1:80", "10.0.0.2:80"
	tests := []struct {
		name    string
		changes []change
		// want lists the hosts that hold the address of their records.
		want []mesh.HostID
	}{
		{name: "one host", changes: []change{{"a", first, 1}}, want: []mesh.HostID{"a"}},
		{name: "each its own", changes: []change{{"a", first, 1}, {"b", second, 2}}, want: []mesh.HostID{"a", "b"}},
		{name: "the later one", changes: []change{{"a", first, 1}, {"b", first, 2}}, want: []mesh.HostID{"b"}},
		{name: "the later one, told first", changes: []change{{"b", first, 2}, {"a", first, 1}}, want: []mesh.HostID{"b"}},
		{name: "the one that records it again", changes: []change{{"a", first, 1}, {"b", first, 2}, {"a", first, 3}}, want: []mesh.HostID{"a"}},
		{name: "the other, once the later one is gone", changes: []change{{"a", first, 1}, {"b", first, 2}, {"b", "", 3}}, want: []mesh.HostID{"a"}},
		{name: "the other, once the later one moved", changes: []change{{"a", first, 1}, {"b", first, 2}, {"b", second, 3}}, want: []mesh.HostID{"a", "b"}},
		{name: "an old record changes nothing", changes: []change{{"a", first, 5}, {"a", second, 4}}, want: []mesh.HostID{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r cells.Roster
			for _, c := range tt.changes {
				if c.address == "" {
					r.Remove(c.host, c.version)
					continue
				}
				r.Put(cells.RosterEntry{Version: c.version, Node: fleet.Node{Host: c.host, Address: netip.MustParseAddrPort(c.address)}})
			}
			var got []mesh.HostID
			for _, n := range r.Nodes() {
				if r.OwnsAddress(n) {
					got = append(got, n.Host)
				}
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
