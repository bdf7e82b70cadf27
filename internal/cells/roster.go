package cells

import (
	"net/netip"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// RosterEntry is the record of one node as stored in the platform.
type RosterEntry struct {
	Node fleet.Node
	// Version is the version of the object.
	Version uint64
	// Record is the encoded record.
	Record []byte
}

// Roster contains the records of all nodes. The zero Roster is empty.
type Roster struct {
	// Loaded is true once the roster was complete.
	Loaded bool
	// Revision is the platform revision up to which the roster is complete.
	Revision uint64
	entries  map[mesh.HostID]RosterEntry
	// addressOwners contains the host with the latest record of each address.
	addressOwners map[netip.AddrPort]mesh.HostID
	// removedVersions contains the versions at which records were removed.
	removedVersions map[mesh.HostID]uint64
	// unreadableVersions contains the versions of the objects that exist but contain
	// no record. These hosts have no entry.
	unreadableVersions map[mesh.HostID]uint64
	// changes lists the hosts whose records changed, oldest first. It contains at
	// most maxRosterChanges entries.
	changes []mesh.HostID
	// trimmed is the number of entries removed from the beginning of changes.
	trimmed int
}

// maxRosterChanges is the maximum number of changes kept for incremental updates of
// other nodes.
const maxRosterChanges = 4096

// Put adds or replaces a record unless a later version or removal is known.
func (r *Roster) Put(entry RosterEntry) (changed bool) {
	host := entry.Node.Host
	old, known := r.entries[host]
	if known && old.Version >= entry.Version {
		return false
	}
	if r.removedVersions[host] >= entry.Version && r.removedVersions[host] > 0 {
		return false
	}
	if r.entries == nil {
		r.entries = make(map[mesh.HostID]RosterEntry)
	}
	r.entries[host] = entry
	delete(r.unreadableVersions, host)
	r.claimAddress(entry)
	if known && old.Node.Address != entry.Node.Address {
		r.releaseAddress(old.Node.Address)
	}
	r.addChange(host)
	return true
}

// claimAddress makes the record's host the owner of its address unless another host
// has a later record with the address.
func (r *Roster) claimAddress(entry RosterEntry) {
	address, host := entry.Node.Address, entry.Node.Host
	if owner := r.entries[r.addressOwners[address]]; owner.Version > entry.Version {
		return
	}
	if r.addressOwners == nil {
		r.addressOwners = make(map[netip.AddrPort]mesh.HostID)
	}
	r.addressOwners[address] = host
}

// releaseAddress finds the new owner of an address that a host no longer uses.
func (r *Roster) releaseAddress(address netip.AddrPort) {
	owner, version := mesh.HostID(""), uint64(0)
	for host, e := range r.entries {
		if e.Node.Address == address && e.Version > version {
			owner, version = host, e.Version
		}
	}
	if owner == "" {
		delete(r.addressOwners, address)
		return
	}
	r.addressOwners[address] = owner
}

// Remove removes a record unless its version is later than the given one.
func (r *Roster) Remove(host mesh.HostID, version uint64) (changed bool) {
	old, ok := r.entries[host]
	if ok && old.Version > version {
		return false
	}
	if r.removedVersions == nil {
		r.removedVersions = make(map[mesh.HostID]uint64)
	}
	r.removedVersions[host] = max(r.removedVersions[host], version)
	if r.unreadableVersions[host] <= version {
		delete(r.unreadableVersions, host)
	}
	if !ok {
		return false
	}
	delete(r.entries, host)
	r.releaseAddress(old.Node.Address)
	r.addChange(host)
	return true
}

// MarkUnreadable removes a record whose object was replaced, at the version, by one that
// contains no record. It returns false if the object was already known or a later
// version is.
func (r *Roster) MarkUnreadable(host mesh.HostID, version uint64) (changed bool) {
	if r.entries[host].Version > version || r.removedVersions[host] > version || r.unreadableVersions[host] >= version {
		return false
	}
	r.Remove(host, version)
	if r.unreadableVersions == nil {
		r.unreadableVersions = make(map[mesh.HostID]uint64)
	}
	r.unreadableVersions[host] = version
	return true
}

// UnreadableVersion returns the version of the host's object if it exists but contains
// no record, otherwise zero.
func (r *Roster) UnreadableVersion(host mesh.HostID) uint64 {
	return r.unreadableVersions[host]
}

func (r *Roster) addChange(host mesh.HostID) {
	r.changes = append(r.changes, host)
	if len(r.changes) > maxRosterChanges {
		n := len(r.changes) - maxRosterChanges/2
		r.changes = append([]mesh.HostID(nil), r.changes[n:]...)
		r.trimmed += n
	}
}

// Get returns the record of a host.
func (r *Roster) Get(host mesh.HostID) (entry RosterEntry, ok bool) {
	entry, ok = r.entries[host]
	return entry, ok
}

// RemovedVersion returns the version at which the record of a host was removed.
func (r *Roster) RemovedVersion(host mesh.HostID) uint64 {
	return r.removedVersions[host]
}

// Len returns the number of records.
func (r *Roster) Len() int {
	return len(r.entries)
}

// Position returns the current position in the list of changes, for ChangedSince.
func (r *Roster) Position() int {
	return r.trimmed + len(r.changes)
}

// ChangedSince returns the hosts whose records changed after the position. It returns
// ok == false if those changes are no longer kept.
func (r *Roster) ChangedSince(position int) (hosts []mesh.HostID, ok bool) {
	if position < r.trimmed || position > r.Position() {
		return nil, false
	}
	seen := make(map[mesh.HostID]bool)
	for _, h := range r.changes[position-r.trimmed:] {
		if !seen[h] {
			seen[h] = true
			hosts = append(hosts, h)
		}
	}
	return hosts, true
}

// Nodes lists the records, sorted by host.
func (r *Roster) Nodes() (nodes []fleet.Node) {
	nodes = make([]fleet.Node, 0, len(r.entries))
	for _, e := range r.entries {
		nodes = append(nodes, e.Node)
	}
	sortNodes(nodes)
	return nodes
}

// OwnsAddress reports whether the node has the latest record of its address. The
// address of a host that is gone may have been reassigned to another host.
func (r *Roster) OwnsAddress(n fleet.Node) bool {
	return r.addressOwners[n.Address] == n.Host
}

// Hosts lists the hosts with a record, sorted.
func (r *Roster) Hosts() (hosts []mesh.HostID) {
	for _, n := range r.Nodes() {
		hosts = append(hosts, n.Host)
	}
	return hosts
}
