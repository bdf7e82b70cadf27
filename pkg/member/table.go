package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// DefaultTombstoneTTL is how long Left and Lost records are kept.
const DefaultTombstoneTTL = time.Hour

// Table holds the newest record of every host. The zero Table is ready to use.
//
// A Left or Lost record is kept as a tombstone until TombstoneTTL after the first
// ExpireTombstones that sees it. A stale record that arrives after that would revive
// the host. Records must therefore not be in transit for TombstoneTTL or longer, and
// no relay may resend records from a revision that old.
type Table struct {
	// TombstoneTTL is how long tombstones are kept; zero means DefaultTombstoneTTL.
	TombstoneTTL time.Duration

	// revision is incremented by each change.
	revision uint64
	// compacted is the revision of the latest change that was removed.
	compacted uint64
	// hosts holds all entries by host.
	hosts map[mesh.HostID]*entry
	// services holds a group for each service that has an entry.
	services map[mesh.ServiceID]*serviceGroup
	// internedPlaces holds one copy of each place, so that records share its strings.
	internedPlaces map[mesh.Place]mesh.Place
	// changes lists all entries in the order of their last change.
	changes list
	// liveCount is the number of entries in a live state.
	liveCount int
}

// entry is the record of one host together with its index data.
type entry struct {
	record Record
	// revision is the revision of the table at the last change of the record.
	revision uint64
	// hash is record.hash().
	hash uint64
	// deadSince is when ExpireTombstones first saw the record not live; zero before
	// that.
	deadSince time.Time
	// links is the position in Table.changes.
	links links
}

// serviceGroup holds the entries of one service.
type serviceGroup struct {
	// id is the copy of the service ID that all records of the service share.
	id mesh.ServiceID
	// members holds the entries whose records name the service.
	members map[mesh.HostID]*entry
	// movedAt holds, for hosts that switched to another service, the revision of the
	// switch.
	movedAt map[mesh.HostID]uint64
	// digest is the sum of the hashes of the live members.
	digest uint64
	// lastChange is the revision of the last change of the group.
	lastChange uint64
}

// Merge adds a record unless a newer one is known, and reports whether the table
// changed. Merging is commutative, associative and idempotent.
func (t *Table) Merge(record Record) (changed bool) {
	item, ok := t.hosts[record.Host]
	if ok && !Newer(record, item.record) {
		return false
	}
	t.init()
	if !ok {
		item = &entry{}
		t.hosts[record.Host] = item
	} else {
		t.unlink(item, record.ID)
	}
	group := t.group(record.ID)
	record.ID = group.id
	record.Place = t.internPlace(record.Place)
	if ok {
		record.Host = item.record.Host
	}
	if relay, known := t.hosts[record.Relay]; known {
		record.Relay = relay.record.Host
	}
	t.revision++
	item.record, item.revision, item.hash, item.deadSince = record, t.revision, record.hash(), time.Time{}
	group.members[record.Host] = item
	delete(group.movedAt, record.Host)
	group.lastChange = t.revision
	if record.State.Live() {
		group.digest += item.hash
		t.liveCount++
	}
	t.changes.pushBack(item)
	return true
}

// unlink removes an entry from the indexes before its record is replaced by one of
// the service next.
func (t *Table) unlink(item *entry, next mesh.ServiceID) {
	group := t.services[item.record.ID]
	if item.record.State.Live() {
		group.digest -= item.hash
		t.liveCount--
	}
	t.changes.remove(item)
	if item.record.ID == next {
		return
	}
	delete(group.members, item.record.Host)
	if group.movedAt == nil {
		group.movedAt = make(map[mesh.HostID]uint64)
	}
	group.lastChange = t.revision + 1
	group.movedAt[item.record.Host] = group.lastChange
}

func (t *Table) init() {
	if t.hosts == nil {
		t.hosts = make(map[mesh.HostID]*entry)
		t.services = make(map[mesh.ServiceID]*serviceGroup)
		t.internedPlaces = make(map[mesh.Place]mesh.Place)
	}
}

func (t *Table) group(id mesh.ServiceID) *serviceGroup {
	g, ok := t.services[id]
	if !ok {
		g = &serviceGroup{id: id, members: make(map[mesh.HostID]*entry)}
		t.services[id] = g
	}
	return g
}

func (t *Table) internPlace(internPlace mesh.Place) mesh.Place {
	if known, ok := t.internedPlaces[internPlace]; ok {
		return known
	}
	t.internedPlaces[internPlace] = internPlace
	return internPlace
}

// Get returns the record of the host, which may be a tombstone.
func (t *Table) Get(host mesh.HostID) (record Record, ok bool) {
	item, ok := t.hosts[host]
	if !ok {
		return Record{}, false
	}
	return item.record, true
}

// ServiceRecords returns the live records of the service, sorted by host.
func (t *Table) ServiceRecords(id mesh.ServiceID) []Record {
	group, ok := t.services[id]
	if !ok {
		return nil
	}
	records := make([]Record, 0, len(group.members))
	for _, e := range group.members {
		if e.record.State.Live() {
			records = append(records, e.record)
		}
	}
	sortByHost(records)
	return records
}

// Services returns the services that have a live record, sorted.
func (t *Table) Services() []mesh.ServiceID {
	ids := make([]mesh.ServiceID, 0, len(t.services))
	for id, g := range t.services {
		if g.hasLive() {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(left, right mesh.ServiceID) int {
		return cmp.Or(cmp.Compare(left.Customer, right.Customer), cmp.Compare(left.Service, right.Service))
	})
	return ids
}

func (g *serviceGroup) hasLive() bool {
	for _, e := range g.members {
		if e.record.State.Live() {
			return true
		}
	}
	return false
}

// All returns all records including tombstones, sorted by host.
func (t *Table) All() []Record {
	records := make([]Record, 0, len(t.hosts))
	for _, e := range t.hosts {
		records = append(records, e.record)
	}
	sortByHost(records)
	return records
}

// Len returns the number of records including tombstones.
func (t *Table) Len() int {
	return len(t.hosts)
}

// LiveCount returns the number of live records.
func (t *Table) LiveCount() int {
	return t.liveCount
}

// Revision returns the revision of the last change.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Digest returns the combined hash of the live records of the service. Tombstones
// are not included, because tables remove them at different times.
func (t *Table) Digest(id mesh.ServiceID) uint64 {
	if group, ok := t.services[id]; ok {
		return group.digest
	}
	return 0
}

// Digests returns the digest of every service that has a live record.
func (t *Table) Digests() map[mesh.ServiceID]uint64 {
	digests := make(map[mesh.ServiceID]uint64, len(t.services))
	for id, g := range t.services {
		if g.hasLive() {
			digests[id] = g.digest
		}
	}
	return digests
}

// ExpireTombstones removes the tombstones that have been kept for TombstoneTTL.
func (t *Table) ExpireTombstones(now time.Time) (removed int) {
	ttl := t.TombstoneTTL
	if ttl == 0 {
		ttl = DefaultTombstoneTTL
	}
	for _, e := range t.hosts {
		switch {
		case e.record.State.Live():
		case e.deadSince.IsZero():
			e.deadSince = now
		case now.Sub(e.deadSince) >= ttl:
			t.remove(e)
			removed++
		}
	}
	return removed
}

// Forget removes the record of the host, live or not, without a tombstone. It is
// used by a receiver of a complete list of a service's records that does not include
// the host.
func (t *Table) Forget(host mesh.HostID) (removed bool) {
	item, ok := t.hosts[host]
	if ok {
		t.remove(item)
	}
	return ok
}

func (t *Table) remove(item *entry) {
	t.compacted = max(t.compacted, item.revision)
	id, host := item.record.ID, item.record.Host
	t.unlink(item, id)
	group := t.services[id]
	delete(group.members, host)
	delete(t.hosts, host)
	for _, other := range t.services {
		delete(other.movedAt, host)
	}
	if len(group.members) == 0 && len(group.movedAt) == 0 {
		delete(t.services, id)
	}
}

// MissingFrom returns the live hosts of the service that are not in the complete
// list of its records, sorted.
func (t *Table) MissingFrom(id mesh.ServiceID, complete []Record) (hosts []mesh.HostID) {
	listed := make(map[mesh.HostID]bool, len(complete))
	for _, r := range complete {
		listed[r.Host] = true
	}
	if group, ok := t.services[id]; ok {
		for host := range maps.Keys(group.members) {
			if !listed[host] && group.members[host].record.State.Live() {
				hosts = append(hosts, host)
			}
		}
	}
	slices.Sort(hosts)
	return hosts
}

func sortByHost(records []Record) {
	slices.SortFunc(records, func(left, right Record) int { return cmp.Compare(left.Host, right.Host) })
}
