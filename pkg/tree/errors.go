package tree

import (
	"fmt"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// AlreadyAcceptedError is returned for a change that was accepted before, because
// the response was lost or the change was submitted twice.
type AlreadyAcceptedError struct {
	// Version is the version that the change created.
	Version mesh.Version
}

// Error implements error.
func (a *AlreadyAcceptedError) Error() string {
	return fmt.Sprintf("change was already accepted as version %d", a.Version)
}

// ReusedIDError is returned if a different change with the same ID was accepted
// before.
type ReusedIDError struct {
	// ID is the ID of both changes.
	ID mesh.ChangeID
	// Version is the version that the accepted change created.
	Version mesh.Version
}

// Error implements error.
func (r *ReusedIDError) Error() string {
	return fmt.Sprintf("change ID %s belongs to another change, version %d", r.ID, r.Version)
}

// ConflictError is returned if a change accepted after the base version edits the
// same settings.
type ConflictError struct {
	// Change is the refused change.
	Change Change
	// Accepted is the latest accepted change that conflicts with Change.
	Accepted AcceptedChange
	// Conflicts lists the conflicting edits and is never empty.
	Conflicts []Conflict
}

// Error implements error.
func (c *ConflictError) Error() string {
	lines := make([]string, 0, 1+len(c.Conflicts))
	lines = append(lines, fmt.Sprintf("change %s by %s clashes with change %s by %s, version %d",
		c.Change.ID, c.Change.Author, c.Accepted.ID, c.Accepted.Author, c.Accepted.Version))
	for _, conflict := range c.Conflicts {
		lines = append(lines, fmt.Sprintf("%s, accepted: %s", conflict.Proposed, conflict.Accepted))
	}
	return strings.Join(lines, "\n")
}

// StaleBaseError is returned if the head no longer holds all changes since the
// base version, so that conflicts can't be detected.
type StaleBaseError struct {
	// Base is the base version of the change.
	Base mesh.Version
	// Oldest is the oldest version that is accepted as a base.
	Oldest mesh.Version
}

// Error implements error.
func (s *StaleBaseError) Error() string {
	return fmt.Sprintf("change builds on version %d, the oldest possible is %d", s.Base, s.Oldest)
}

// FutureBaseError is returned if the base version of a change does not exist yet.
type FutureBaseError struct {
	// Base is the base version of the change.
	Base mesh.Version
	// Version is the current version.
	Version mesh.Version
}

// Error implements error.
func (f *FutureBaseError) Error() string {
	return fmt.Sprintf("change builds on version %d, the present one is %d", f.Base, f.Version)
}

// NoChangeError is returned if the edits leave the tree as it is.
type NoChangeError struct {
	// ID is the ID of the change.
	ID mesh.ChangeID
}

// Error implements error.
func (n *NoChangeError) Error() string {
	return fmt.Sprintf("change %s changes nothing", n.ID)
}
