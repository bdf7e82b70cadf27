package tree

import (
	"fmt"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// AlreadyAcceptedError tells that the change was accepted before: its answer was
// lost, or it was submitted twice.
type AlreadyAcceptedError struct {
	// Version is the one that the change made.
	Version mesh.Version
}

// Error implements error.
func (a *AlreadyAcceptedError) Error() string {
	return fmt.Sprintf("change was already accepted as version %d", a.Version)
}

// ReusedIDError tells that another change of the same ID was accepted.
type ReusedIDError struct {
	// ID is that of both changes.
	ID mesh.ChangeID
	// Version is the one that the accepted change made.
	Version mesh.Version
}

// Error implements error.
func (r *ReusedIDError) Error() string {
	return fmt.Sprintf("change ID %s belongs to another change, version %d", r.ID, r.Version)
}

// ConflictError tells that a change accepted since touches the same settings.
type ConflictError struct {
	// Change is the refused change.
	Change Change
	// Accepted is the latest accepted change that clashes with it.
	Accepted AcceptedChange
	// Conflicts is never empty.
	Conflicts []Conflict
}

// Error implements error.
func (c *ConflictError) Error() string {
	lines := make([]string, 0, 1+len(c.Conflicts))
	lines = append(lines, fmt.Sprintf("change %s by %s clashes with change %s by %s, version %d",
		c.Change.ID, c.Change.Author, c.Accepted.ID, c.Accepted.Author, c.Accepted.Version))
	for _, clash := range c.Conflicts {
		lines = append(lines, fmt.Sprintf("%s, accepted: %s", clash.Proposed, clash.Accepted))
	}
	return strings.Join(lines, "\n")
}

// StaleBaseError tells that the changes since the base are no longer known.
type StaleBaseError struct {
	// Base is the version that the change builds on.
	Base mesh.Version
	// Oldest is the oldest version that a change may build on.
	Oldest mesh.Version
}

// Error implements error.
func (t *StaleBaseError) Error() string {
	return fmt.Sprintf("change builds on version %d, the oldest possible is %d", t.Base, t.Oldest)
}

// FutureBaseError tells that the change builds on a version that is not there.
type FutureBaseError struct {
	// Base is the version that the change builds on.
	Base mesh.Version
	// Version is the present one.
	Version mesh.Version
}

// Error implements error.
func (f *FutureBaseError) Error() string {
	return fmt.Sprintf("change builds on version %d, the present one is %d", f.Base, f.Version)
}

// NoChangeError tells that the edits change nothing.
type NoChangeError struct {
	// ID is that of the change.
	ID mesh.ChangeID
}

// Error implements error.
func (n *NoChangeError) Error() string {
	return fmt.Sprintf("change %s changes nothing", n.ID)
}
