package tree

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Limits of a head and of its recent changes.
const (
	// MaxScopes is the largest number of chunks of a tree.
	MaxScopes = 2048
	// MaxRecentChanges is the largest number of recent changes in a head.
	MaxRecentChanges = 64
	// MaxRecentBytes is the largest total size of a head's recent changes.
	MaxRecentBytes = 256 << 10
	// MaxChangeBytes is the largest size of one accepted change.
	MaxChangeBytes = 192 << 10
	// MaxChangeIDLength is the longest change ID, in bytes.
	MaxChangeIDLength = 128
	// MaxAuthorLength is the longest author name, in bytes.
	MaxAuthorLength = 128
)

// Manifest lists the chunks of one version by digest.
type Manifest struct {
	// Version is zero only for the initial, empty tree.
	Version mesh.Version
	// Chunks maps the scope of every chunk to its digest.
	Chunks map[Path]mesh.Digest
}

// RootDigest returns one digest over the version and the digests of all chunks.
func (m Manifest) RootDigest() mesh.Digest {
	data := binary.AppendUvarint([]byte("manifest"), uint64(m.Version))
	for _, p := range slices.Sorted(maps.Keys(m.Chunks)) {
		digest := m.Chunks[p]
		data = appendText(data, string(p))
		data = append(data, digest[:]...)
	}
	return mesh.DigestOf(data)
}

// Change is an operator's request to edit the tree.
type Change struct {
	// ID is chosen by the client and stays the same when the change is submitted
	// again, so that a repeated submission is recognized.
	ID mesh.ChangeID
	// Author is the name of the operator.
	Author string
	// At is when the change was accepted; before that, when it was requested.
	At time.Time
	// Note is the author's explanation.
	Note string
	// Base is the version on which the author based the change.
	Base mesh.Version
	// Edits are sorted and in canonical form once the change is accepted.
	Edits []Edit
}

// AcceptedChange is a change that became a version.
type AcceptedChange struct {
	Change
	// Version is the version that the change created.
	Version mesh.Version
	// Inverse holds the edits that revert the change.
	Inverse []Edit
}

// Head describes the current version of the tree. It is stored as a single object,
// and updating that object is what accepts a change.
type Head struct {
	Manifest
	// Recent holds the latest changes in ascending order of version without gaps.
	// The last one created Version. It is empty only for version zero.
	Recent []AcceptedChange
}

// Accept applies the change to t, which must be the tree of this head, and returns
// the next head and tree. If the change is refused, the error is one of
// *AlreadyAcceptedError, *ReusedIDError, *ConflictError, *StaleBaseError,
// *FutureBaseError, *LimitExceededError, *NoChangeError and Violations. A change
// based on an older version is accepted if none of its edits conflicts with the
// changes accepted since.
func (h Head) Accept(t *Tree, change Change, now time.Time) (next Head, nextTree *Tree, err error) {
	if err = change.normalize(); err != nil {
		return next, nil, err
	}
	if err = h.checkAgainstRecent(change); err != nil {
		return next, nil, err
	}
	if t.Manifest(h.Version).RootDigest() != h.RootDigest() {
		return next, nil, fmt.Errorf("tree does not match version %d", h.Version)
	}
	if violations := t.checkUnset(change.Edits); len(violations) > 0 {
		return next, nil, violations
	}
	if nextTree, err = t.Apply(change.Edits); err != nil {
		return next, nil, err
	}
	inverse := Diff(nextTree, t)
	if len(inverse) == 0 {
		return next, nil, &NoChangeError{ID: change.ID}
	}
	if violations := nextTree.Validate(); len(violations) > 0 {
		return next, nil, violations
	}
	change.At = now.UTC().Round(0)
	accepted := AcceptedChange{Change: change, Version: h.Version + 1, Inverse: inverse}
	if size := accepted.maxEncodedSize(); size > MaxChangeBytes {
		return next, nil, &LimitExceededError{Name: "change", Size: size, Limit: MaxChangeBytes}
	}
	next.Manifest = nextTree.Manifest(accepted.Version)
	next.Recent = trimRecent(append(slices.Clone(h.Recent), accepted))
	return next, nextTree, nil
}

// normalize brings the edits into canonical form and makes the checks that need
// no head.
func (c *Change) normalize() error {
	limits := []LimitExceededError{
		{Name: "change ID", Size: len(c.ID), Limit: MaxChangeIDLength},
		{Name: "author", Size: len(c.Author), Limit: MaxAuthorLength},
		{Name: "note", Size: len(c.Note), Limit: MaxValueLength},
		{Name: "list of edits", Size: len(c.Edits), Limit: MaxEdits},
	}
	for i := range limits {
		if limits[i].Size > limits[i].Limit {
			return &limits[i]
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
	edits, violations := Normalize(c.Edits)
	c.Edits = edits
	return violations.asError()
}

// checkAgainstRecent checks the ID, the base and the edits of the change against
// the recent changes.
func (h Head) checkAgainstRecent(change Change) error {
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
		if conflicts := Conflicts(change.Edits, a.Edits); len(conflicts) > 0 {
			return &ConflictError{Change: change, Accepted: a, Conflicts: conflicts}
		}
	}
	return nil
}

// OldestBase returns the oldest version that is accepted as the base of a change.
func (h Head) OldestBase() mesh.Version {
	if len(h.Recent) == 0 {
		return h.Version
	}
	return h.Recent[0].Version - 1
}

// trimRecent drops the oldest changes until the rest is within the limits.
func trimRecent(recent []AcceptedChange) []AcceptedChange {
	if len(recent) > MaxRecentChanges {
		recent = recent[len(recent)-MaxRecentChanges:]
	}
	total := 0
	for i, a := range slices.Backward(recent) {
		if total += a.maxEncodedSize(); total > MaxRecentBytes {
			return slices.Clone(recent[i+1:])
		}
	}
	return recent
}

// Check returns an error if the head violates its invariants or limits.
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

// Upper bounds for the bytes that an encoding adds to each change and edit.
const (
	changeOverhead = 256
	editOverhead   = 64
)

// maxEncodedSize returns an upper bound for the encoded size of the change, in
// bytes, given that escaping at most doubles a text.
func (a AcceptedChange) maxEncodedSize() (size int) {
	size = changeOverhead + 2*(len(a.ID)+len(a.Author)+len(a.Note))
	for _, e := range slices.Concat(a.Edits, a.Inverse) {
		size += editOverhead + len(e.Path) + len(e.Key) + 2*len(e.Value)
	}
	return size
}

// Undo returns a change that reverts an accepted one. Its base is the version that
// the accepted change created, so it conflicts with every later change of the
// same keys.
func Undo(accepted AcceptedChange, id mesh.ChangeID, author string) Change {
	return Change{
		ID:     id,
		Author: author,
		Note:   fmt.Sprintf("undo %s of version %d", accepted.ID, accepted.Version),
		Base:   accepted.Version,
		Edits:  slices.Clone(accepted.Inverse),
	}
}
