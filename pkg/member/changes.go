package member

import (
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// ChangesSince returns the records that changed after the revision, in the order of
// their changes, and the revision to pass to the next call. Its cost grows with the
// number of changes and not with the size of the table.
//
// A follower whose revision is below CompactedRevision may have missed tombstones
// that have since expired. It needs All and must drop the records that are not in
// it.
func (t *Table) ChangesSince(revision uint64) (records []Record, next uint64) {
	for e := t.changes.last; e != nil && e.revision > revision; e = e.links.previous {
		records = append(records, e.record)
	}
	slices.Reverse(records)
	return records, t.revision
}

// ServiceChangesSince returns the records of the service that changed after the
// revision, in the order of their changes, and the revision to pass to the next
// call. A host that switched to another service is included with its new record, so
// that the receiver removes it from this service.
func (t *Table) ServiceChangesSince(id mesh.ServiceID, revision uint64) (records []Record, next uint64) {
	group, ok := t.services[id]
	if !ok || group.lastChange <= revision {
		return nil, t.revision
	}
	var changed []*entry
	for _, e := range group.members {
		if e.revision > revision {
			changed = append(changed, e)
		}
	}
	for host, moved := range group.movedAt {
		if moved > revision {
			changed = append(changed, t.hosts[host])
		}
	}
	slices.SortFunc(changed, func(left, right *entry) int {
		if left.revision < right.revision {
			return -1
		}
		return 1
	})
	for _, e := range changed {
		records = append(records, e.record)
	}
	return records, t.revision
}

// CompactedRevision returns the revision of the latest change that the table no
// longer holds. A follower at a lower revision needs the full list.
func (t *Table) CompactedRevision() uint64 {
	return t.compacted
}

// list is a doubly linked list of entries in the order of their last change.
type list struct {
	first, last *entry
}

// links holds the neighbours of an entry in a list; nil at the ends.
type links struct {
	previous, next *entry
}

func (l *list) pushBack(item *entry) {
	item.links = links{previous: l.last}
	if l.last == nil {
		l.first = item
	} else {
		l.last.links.next = item
	}
	l.last = item
}

func (l *list) remove(item *entry) {
	if item.links.previous == nil {
		l.first = item.links.next
	} else {
		item.links.previous.links.next = item.links.next
	}
	if item.links.next == nil {
		l.last = item.links.previous
	} else {
		item.links.next.links.previous = item.links.previous
	}
	item.links = links{}
}
