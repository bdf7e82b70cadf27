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
// A Left or Lost record stays as a tombstone for TombstoneTTL after the first
// ExpireTombstones that sees it, then it is forgotten. A stale record of the host can
// come back to life only if it arrives later than that: records must not travel
// for TombstoneTTL or longer, and no relay may resend from a cursor that old.
type Table struct {
	// TombstoneTTL is how long tombstones are kept; zero means
	// DefaultTombstoneTTL.
	TombstoneTTL time.Duration

	// revision rises by one with each change.
	revision uint64
	// floor is the revision of the latest change that was forgotten.
	floor uint64
	// hosts holds every entry, by host.
	hosts map[mesh.HostID]*entry
	// services holds one group for each service with an entry.
	services map[mesh.ServiceID]*group
	// places holds one copy of each place, so that records share its strings.
	places map[mesh.Place]mesh.Place
	// changes lists every entry, the last changed one last.
	changes list
	// live counts the entries whose state is live.
	live int
}

// entry is one host's record with its place in the lists of changes.
type entry struct {
	record Record
	// revision is the table's revision at the last change of record.
	revision uint64
	// hash is record.hash().
	hash uint64
	// buried is when ExpireTombstones first saw the record dead; zero before that.
	buried time.Time
	// links is the position in Table.changes.
	links links
}

// group is one service's part of the table.
type group struct {
	// id is the one copy of the service's ID that its records share.
	id mesh.ServiceID
	// members holds the entries whose records name the service.
	members map[mesh.HostID]*entry
	// moved holds the revision at which a host began to serve another service.
	moved map[mesh.HostID]uint64
	// digest is the sum of the hashes of the live members.
	digest uint64
	// last is the revision of the group's last change.
	last uint64
}

// Merge takes in a record and reports whether the table changed. Merging is
// commutative, associative and idempotent.
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
	record.Place = t.place(record.Place)
	if ok {
		record.Host = item.record.Host
	}
	if via, known := t.hosts[record.Relay]; known {
		record.Relay = via.record.Host
	}
	t.revision++
	item.record, item.revision, item.hash, item.buried = record, t.revision, record.hash(), time.Time{}
	group.members[record.Host] = item
	delete(group.moved, record.Host)
	group.last = t.revision
	if record.State.Live() {
		group.digest += item.hash
		t.live++
	}
	t.changes.pushBack(item)
	return true
}

// unlink takes an entry out of the indexes before its record is replaced by
// one that names the service next.
func (t *Table) unlink(item *entry, next mesh.ServiceID) {
	group := t.services[item.record.ID]
	if item.record.State.Live() {
		group.digest -= item.hash
		t.live--
	}
	t.changes.remove(item)
	if item.record.ID == next {
		return
	}
	delete(group.members, item.record.Host)
	if group.moved == nil {
		group.moved = make(map[mesh.HostID]uint64)
	}
	group.last = t.revision + 1
	group.moved[item.record.Host] = group.last
}

func (t *Table) init() {
	if t.hosts == nil {
		t.hosts = make(map[mesh.HostID]*entry)
		t.services = make(map[mesh.ServiceID]*group)
		t.places = make(map[mesh.Place]mesh.Place)
	}
}

func (t *Table) group(id mesh.ServiceID) *group {
	created, ok := t.services[id]
	if !ok {
		created = &group{id: id, members: make(map[mesh.HostID]*entry)}
		t.services[id] = created
	}
	return created
}

func (t *Table) place(place mesh.Place) mesh.Place {
	if known, ok := t.places[place]; ok {
		return known
	}
	t.places[place] = place
	return place
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
		if g.anyLive() {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(left, right mesh.ServiceID) int {
		return cmp.Or(cmp.Compare(left.Customer, right.Customer), cmp.Compare(left.Service, right.Service))
	})
	return ids
}

func (g *group) anyLive() bool {
	for _, e := range g.members {
		if e.record.State.Live() {
			return true
		}
	}
	return false
}

// All returns every record, tombstones too, sorted by host.
func (t *Table) All() []Record {
	records := make([]Record, 0, len(t.hosts))
	for _, e := range t.hosts {
		records = append(records, e.record)
	}
	sortByHost(records)
	return records
}

// Len returns how many records the table holds, tombstones too.
func (t *Table) Len() int {
	return len(t.hosts)
}

// LiveCount returns how many live records the table holds.
func (t *Table) LiveCount() int {
	return t.live
}

// Revision returns the revision of the last change.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Digest returns the combined hash of the service's live records. Tombstones
// don't count, since tables forget them at different times.
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
		if g.anyLive() {
			digests[id] = g.digest
		}
	}
	return digests
}

// ExpireTombstones forgets the tombstones that were kept for TombstoneTTL.
func (t *Table) ExpireTombstones(now time.Time) (forgotten int) {
	keep := t.TombstoneTTL
	if keep == 0 {
		keep = DefaultTombstoneTTL
	}
	for _, e := range t.hosts {
		switch {
		case e.record.State.Live():
		case e.buried.IsZero():
			e.buried = now
		case now.Sub(e.buried) >= keep:
			t.remove(e)
			forgotten++
		}
	}
	return forgotten
}

// Forget removes the host's record, live or not, without a tombstone. It is for
// a receiver whose sender listed a service's records in full without the host.
func (t *Table) Forget(host mesh.HostID) (removed bool) {
	item, ok := t.hosts[host]
	if ok {
		t.remove(item)
	}
	return ok
}

func (t *Table) remove(item *entry) {
	t.floor = max(t.floor, item.revision)
	id, host := item.record.ID, item.record.Host
	t.unlink(item, id)
	group := t.services[id]
	delete(group.members, host)
	delete(t.hosts, host)
	for _, other := range t.services {
		delete(other.moved, host)
	}
	if len(group.members) == 0 && len(group.moved) == 0 {
		delete(t.services, id)
	}
}

// MissingFrom reports the hosts of the service that the table holds live and that
// the full list of its records leaves out, sorted.
func (t *Table) MissingFrom(id mesh.ServiceID, full []Record) (hosts []mesh.HostID) {
	listed := make(map[mesh.HostID]bool, len(full))
	for _, r := range full {
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
