package cells_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// rosterChange puts a record with the address, or removes the host's record if the
// address is empty.
type rosterChange struct {
	host    mesh.HostID
	address string
	version uint64
}

func TestAddressIsOwnedByTheLatestRecord(t *testing.T) {
	const first, second = "10.0.0.1:80", "10.0.0.2:80"
	tests := []struct {
		name    string
		changes []rosterChange
		// want lists the hosts that own the address of their records.
		want []mesh.HostID
	}{
		{name: "one host", changes: []rosterChange{{"a", first, 1}}, want: []mesh.HostID{"a"}},
		{name: "different addresses", changes: []rosterChange{{"a", first, 1}, {"b", second, 2}}, want: []mesh.HostID{"a", "b"}},
		{name: "later record", changes: []rosterChange{{"a", first, 1}, {"b", first, 2}}, want: []mesh.HostID{"b"}},
		{name: "later record arrives first", changes: []rosterChange{{"b", first, 2}, {"a", first, 1}}, want: []mesh.HostID{"b"}},
		{name: "earlier host records the address again", changes: []rosterChange{{"a", first, 1}, {"b", first, 2}, {"a", first, 3}}, want: []mesh.HostID{"a"}},
		{name: "later record is removed", changes: []rosterChange{{"a", first, 1}, {"b", first, 2}, {"b", "", 3}}, want: []mesh.HostID{"a"}},
		{name: "later host changes its address", changes: []rosterChange{{"a", first, 1}, {"b", first, 2}, {"b", second, 3}}, want: []mesh.HostID{"a", "b"}},
		{name: "outdated record is ignored", changes: []rosterChange{{"a", first, 5}, {"a", second, 4}}, want: []mesh.HostID{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r cells.Roster
			for _, c := range tt.changes {
				if c.address == "" {
					r.Remove(c.host, mesh.StoreTime{Revision: c.version})
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
