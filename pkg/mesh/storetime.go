package mesh

import "cmp"

// StoreTime is the logical time of the platform's store. A store that is restored from an
// older copy gives out revisions again, so that they can be compared within an era only.
type StoreTime struct {
	// Era rises by one each time that the store is restored; zero if the platform does
	// not count eras.
	Era uint64
	// Revision rises with each write of the era.
	Revision uint64
}

// Compare returns -1, 0 or 1 if t is before, equal to or after u.
func (t StoreTime) Compare(u StoreTime) int {
	return cmp.Or(cmp.Compare(t.Era, u.Era), cmp.Compare(t.Revision, u.Revision))
}

// After reports whether t is after u.
func (t StoreTime) After(u StoreTime) bool { return t.Compare(u) > 0 }

// Latest returns the later of the two times.
func (t StoreTime) Latest(u StoreTime) StoreTime {
	if u.After(t) {
		return u
	}
	return t
}
