package cells

import (
	"net/netip"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// RosterEntry is the record of one node as stored in the platform.
type RosterEntry struct {
	// Node is marked as leaving if Retired is true.
	Node fleet.Node
	// Version is the version of the object, and Era the era of the store to which it
	// belongs. An Era below that of the roster means that the store lost the object when
	// it was restored.
	Version uint64
	Era     uint64
	// Written is when Record was written. It differs from Era and Version if the object
	// is an older one from the copy of which the store was restored.
	Written mesh.StoreTime
	// Retired is true if the object was removed before the store was restored, and exists
	// again only because the copy has it.
	Retired bool
	// Record is the encoded record.
	Record []byte
}

// Time returns the logical time of the last write to the object.
func (e RosterEntry) Time() mesh.StoreTime {
	return mesh.StoreTime{Era: e.Era, Revision: e.Version}
}

// Roster contains the records of all nodes. The zero Roster is empty.
type Roster struct {
	// Loaded is true once the roster was complete.
	Loaded bool
	// Revision is the platform revision up to which the roster is complete.
	Revision uint64
	// Era is the era of the store to which Revision belongs.
	Era uint64
	// newestVersion is the highest version in the records written in the era.
	newestVersion mesh.Version
	entries       map[mesh.HostID]RosterEntry
	// addressOwners contains the host with the latest record of each address.
	addressOwners map[netip.AddrPort]mesh.HostID
	// removedAt contains the times at which records were removed.
	removedAt map[mesh.HostID]mesh.StoreTime
	// unreadableVersions contains the versions of the objects that exist but contain
	// no record, all of the roster's era. These hosts have no entry.
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

// BeginEra begins an era of the store that is higher than the roster's. The records are
// kept: those of the copy from which the store was restored may be older. All of them
// count as changed.
func (r *Roster) BeginEra(era uint64) {
	r.Era, r.Revision = era, 0
	r.unreadableVersions, r.newestVersion = nil, 0
	r.trimmed += len(r.changes) + 1
	r.changes = nil
}

// Put adds or replaces a record unless a later version or removal is known. Of an object
// that is older than the known record, because the store was restored, only the version
// is taken. If the object had been removed before that, it is marked as retired.
func (r *Roster) Put(entry RosterEntry) (changed bool) {
	host := entry.Node.Host
	old, known := r.entries[host]
	if known && !supersedes(entry, old) {
		return false
	}
	if removedAt, found := r.removedAt[host]; found {
		switch {
		case removedAt.Era >= entry.Era && !entry.Time().After(removedAt):
			return false
		case removedAt.Era < entry.Era && !entry.Written.After(removedAt):
			entry.Retired = true
		}
	}
	if known && entry.Era > old.Era && old.Written.After(entry.Written) {
		entry.Node, entry.Record, entry.Written, entry.Retired = old.Node, old.Record, old.Written, old.Retired
	}
	entry.Node.Leaving = entry.Node.Leaving || entry.Retired
	delete(r.removedAt, host)
	if r.entries == nil {
		r.entries = make(map[mesh.HostID]RosterEntry)
	}
	r.entries[host] = entry
	if entry.Written.Era == r.Era {
		r.newestVersion = max(r.newestVersion, entry.Node.Version)
	}
	delete(r.unreadableVersions, host)
	r.claimAddress(entry)
	if known && old.Node.Address != entry.Node.Address {
		r.releaseAddress(old.Node.Address)
	}
	r.addChange(host)
	return true
}

// supersedes reports whether an entry replaces another one of the host. Of two entries of
// the same object, the one with the later record does: readers may know different records
// that are later than the object of a restored store.
func supersedes(entry, old RosterEntry) bool {
	if order := entry.Time().Compare(old.Time()); order != 0 {
		return order > 0
	}
	return entry.Written.After(old.Written)
}

// claimAddress makes the record's host the owner of its address unless another host
// has a later record with the address.
func (r *Roster) claimAddress(entry RosterEntry) {
	address, host := entry.Node.Address, entry.Node.Host
	if owner := r.entries[r.addressOwners[address]]; owner.Time().After(entry.Time()) {
		return
	}
	if r.addressOwners == nil {
		r.addressOwners = make(map[netip.AddrPort]mesh.HostID)
	}
	r.addressOwners[address] = host
}

// releaseAddress finds the new owner of an address that a host no longer uses.
func (r *Roster) releaseAddress(address netip.AddrPort) {
	owner, latest := mesh.HostID(""), mesh.StoreTime{}
	for host, e := range r.entries {
		if e.Node.Address == address && e.Time().After(latest) {
			owner, latest = host, e.Time()
		}
	}
	if owner == "" {
		delete(r.addressOwners, address)
		return
	}
	r.addressOwners[address] = owner
}

// Remove removes a record unless its object was written after the given time.
func (r *Roster) Remove(host mesh.HostID, at mesh.StoreTime) (changed bool) {
	old, ok := r.entries[host]
	if ok && old.Time().After(at) {
		return false
	}
	if r.removedAt == nil {
		r.removedAt = make(map[mesh.HostID]mesh.StoreTime)
	}
	r.removedAt[host] = r.removedAt[host].Latest(at)
	if at.Era == r.Era && r.unreadableVersions[host] <= at.Revision {
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

// MarkUnreadable removes a record whose object was replaced, at the version of the roster's era, by one that
// contains no record. It returns false if the object was already known or a later
// version is.
func (r *Roster) MarkUnreadable(host mesh.HostID, version uint64) (changed bool) {
	at := mesh.StoreTime{Era: r.Era, Revision: version}
	if r.entries[host].Time().After(at) || r.removedAt[host].After(at) || r.unreadableVersions[host] >= version {
		return false
	}
	r.Remove(host, at)
	if r.unreadableVersions == nil {
		r.unreadableVersions = make(map[mesh.HostID]uint64)
	}
	r.unreadableVersions[host] = version
	return true
}

// NewestVersion returns the highest version that nodes had in force when they wrote their
// records in the roster's era; zero if it is not known.
func (r *Roster) NewestVersion() mesh.Version {
	return r.newestVersion
}

// HasOutdated reports whether the record of a node other than the host, which is not
// leaving, was written before the store was restored.
func (r *Roster) HasOutdated(host mesh.HostID) bool {
	for h, e := range r.entries {
		if h != host && r.IsOutdated(h) && !e.Node.Leaving {
			return true
		}
	}
	return false
}

// IsOutdated reports whether the record of the host was written before the store was
// restored. The host may be gone since.
func (r *Roster) IsOutdated(host mesh.HostID) bool {
	entry, found := r.entries[host]
	return found && entry.Written.Era < r.Era
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

// RemovedAt returns the time at which the record of a host was removed.
func (r *Roster) RemovedAt(host mesh.HostID) mesh.StoreTime {
	return r.removedAt[host]
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
