package tree

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Bounds of a head and of the changes in it.
const (
	// MaxScopes bounds the chunks of a tree.
	MaxScopes = 2048
	// MaxRecentChanges bounds the recent changes that a head names.
	MaxRecentChanges = 64
	// MaxRecentBytes bounds the size of all recent changes together.
	MaxRecentBytes = 256 << 10
	// MaxChangeBytes bounds the size of one accepted change.
	MaxChangeBytes = 192 << 10
	// MaxChangeIDLength bounds a change's ID, in bytes.
	MaxChangeIDLength = 128
	// MaxAuthorLength bounds the name of an author, in bytes.
	MaxAuthorLength = 128
)

// Manifest names the chunks of one version.
type Manifest struct {
	// Version is zero only for the empty tree that was there at first.
	Version mesh.Version
	// Chunks holds the digest of every chunk by its scope.
	Chunks map[Path]mesh.Digest
}

// RootDigest returns the digest of the version and of every chunk's digest.
func (m Manifest) RootDigest() mesh.Digest {
	data := binary.AppendUvarint([]byte("manifest"), uint64(m.Version))
	for _, p := range slices.Sorted(maps.Keys(m.Chunks)) {
		digest := m.Chunks[p]
		data = appendText(data, string(p))
		data = append(data, digest[:]...)
	}
	return mesh.DigestOf(data)
}

// Change is what an operator asks for.
type Change struct {
	// ID is chosen by the operator's side and is the same in a repeated submission.
	ID mesh.ChangeID
	// Author is who asks.
	Author string
	// At is when the change was accepted, and before that when it was asked for.
	At time.Time
	// Note says why.
	Note string
	// Base is the version that the author saw.
	Base mesh.Version
	// Edits are sorted and canonical once the change is accepted.
	Edits []Edit
}

// AcceptedChange is a change that was accepted.
type AcceptedChange struct {
	Change
	// Version is the one that the change made.
	Version mesh.Version
	// Inverse restores what the change replaced.
	Inverse []Edit
}

// Head is the one object that says what is in force.
type Head struct {
	Manifest
	// Recent holds the latest changes by rising version without a gap, the
	// last of which made this head's version; it is empty for version zero.
	Recent []AcceptedChange
}

// Accept decides whether the change may follow this head, whose tree is t. It
// gives the next head and its tree, or one of *AlreadyAcceptedError,
// *ReusedIDError, *ConflictError, *StaleBaseError, *FutureBaseError, *LimitExceededError,
// *NoChangeError and Violations. A change that saw an older version is accepted if
// its edits touch nothing that was changed since.
func (h Head) Accept(t *Tree, change Change, now time.Time) (next Head, nextTree *Tree, err error) {
	if err = change.normalize(); err != nil {
		return next, nil, err
	}
	if err = h.admit(change); err != nil {
		return next, nil, err
	}
	if t.Manifest(h.Version).RootDigest() != h.RootDigest() {
		return next, nil, fmt.Errorf("tree is not that of version %d", h.Version)
	}
	if faults := t.checkUnset(change.Edits); len(faults) > 0 {
		return next, nil, faults
	}
	if nextTree, err = t.Apply(change.Edits); err != nil {
		return next, nil, err
	}
	inverse := Diff(nextTree, t)
	if len(inverse) == 0 {
		return next, nil, &NoChangeError{ID: change.ID}
	}
	if faults := nextTree.Validate(); len(faults) > 0 {
		return next, nil, faults
	}
	change.At = now.UTC().Round(0)
	accepted := AcceptedChange{Change: change, Version: h.Version + 1, Inverse: inverse}
	if size := accepted.size(); size > MaxChangeBytes {
		return next, nil, &LimitExceededError{Name: "change", Size: size, Limit: MaxChangeBytes}
	}
	next.Manifest = nextTree.Manifest(accepted.Version)
	next.Recent = trimRecent(append(slices.Clone(h.Recent), accepted))
	return next, nextTree, nil
}

// normalize brings the edits into canonical form and checks what can be told
// without a head.
func (c *Change) normalize() error {
	bounds := []LimitExceededError{
		{Name: "change ID", Size: len(c.ID), Limit: MaxChangeIDLength},
		{Name: "author", Size: len(c.Author), Limit: MaxAuthorLength},
		{Name: "note", Size: len(c.Note), Limit: MaxValueLength},
		{Name: "list of edits", Size: len(c.Edits), Limit: MaxEdits},
	}
	for i := range bounds {
		if bounds[i].Size > bounds[i].Limit {
			return &bounds[i]
		}
	}
	for _, text := range []string{string(c.ID), c.Author, c.Note} {
		if err := checkText(text); err != nil {
			return err
		}
	}
	if c.ID == "" {
		return fmt.Errorf("change has no ID")
	}
	edits, faults := Normalize(c.Edits)
	c.Edits = edits
	return faults.err()
}

// admit checks the change against the recent ones.
func (h Head) admit(change Change) error {
	for _, a := range h.Recent {
		if a.ID != change.ID {
			continue
		}
		if !slices.Equal(a.Edits, change.Edits) {
			return &ReusedIDError{ID: change.ID, Version: a.Version}
		}
		return &AlreadyAcceptedError{Version: a.Version}
	}
	if change.Base > h.Version {
		return &FutureBaseError{Base: change.Base, Version: h.Version}
	}
	if oldest := h.OldestBase(); change.Base < oldest {
		return &StaleBaseError{Base: change.Base, Oldest: oldest}
	}
	for _, a := range slices.Backward(h.Recent) {
		if a.Version <= change.Base {
			break
		}
		if clashes := Conflicts(change.Edits, a.Edits); len(clashes) > 0 {
			return &ConflictError{Change: change, Accepted: a, Conflicts: clashes}
		}
	}
	return nil
}

// OldestBase returns the oldest version on which a change may build.
func (h Head) OldestBase() mesh.Version {
	if len(h.Recent) == 0 {
		return h.Version
	}
	return h.Recent[0].Version - 1
}

// trimRecent drops the oldest changes until the rest is within bounds.
func trimRecent(recent []AcceptedChange) []AcceptedChange {
	if len(recent) > MaxRecentChanges {
		recent = recent[len(recent)-MaxRecentChanges:]
	}
	total := 0
	for i, a := range slices.Backward(recent) {
		if total += a.size(); total > MaxRecentBytes {
			return slices.Clone(recent[i+1:])
		}
	}
	return recent
}

// Check reports whether the head keeps its invariants and bounds.
func (h Head) Check() error {
	if len(h.Chunks) > MaxScopes {
		return &LimitExceededError{Name: "head", Size: len(h.Chunks), Limit: MaxScopes}
	}
	for s := range h.Chunks {
		if path, err := ParsePath(string(s)); err != nil || path != s || s.Scope() != s {
			return fmt.Errorf("%q is not a scope", string(s))
		}
	}
	if len(h.Recent) > MaxRecentChanges {
		return &LimitExceededError{Name: "list of recent changes", Size: len(h.Recent), Limit: MaxRecentChanges}
	}
	if len(h.Recent) == 0 && h.Version > 0 {
		return fmt.Errorf("version %d has no recent change", h.Version)
	}
	version := h.Version
	for _, a := range slices.Backward(h.Recent) {
		if a.Version != version || version == 0 {
			return fmt.Errorf("recent change %s has version %d, want %d", a.ID, a.Version, version)
		}
		version--
	}
	return nil
}

// Allowances for what an encoding adds, in bytes.
const (
	changeOverhead = 256
	editOverhead   = 64
)

// size bounds the bytes of the change in an encoding that escapes by doubling.
func (a AcceptedChange) size() (size int) {
	size = changeOverhead + 2*(len(a.ID)+len(a.Author)+len(a.Note))
	for _, e := range slices.Concat(a.Edits, a.Inverse) {
		size += editOverhead + len(e.Path) + len(e.Key) + 2*len(e.Value)
	}
	return size
}

// Undo returns a new change that restores what an accepted one replaced. It
// builds on the version that the change made, so it clashes with any later
// change of the same keys.
func Undo(accepted AcceptedChange, id mesh.ChangeID, author string) Change {
	return Change{
		ID:     id,
		Author: author,
		Note:   fmt.Sprintf("undo %s of version %d", accepted.ID, accepted.Version),
		Base:   accepted.Version,
		Edits:  slices.Clone(accepted.Inverse),
	}
}
