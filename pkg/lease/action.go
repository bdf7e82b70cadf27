package lease

import "time"

// Action is what a Holder asks its caller to do: Claim, Renew, Release,
// ReadObject or Wait.
type Action interface {
	action()
}

// Claim asks for a conditional update that writes Token if the object's version
// is Expected. Zero means that the object must not exist.
type Claim struct {
	Expected Fence
	Token    Token
}

// Renew asks for the same write as Claim, for a holder that already has the
// lease.
type Renew struct {
	Expected Fence
	Token    Token
}

// Release asks for a conditional update that makes the lease vacant, either by
// writing an empty token or by deleting the object.
type Release struct {
	Expected Fence
}

// ReadObject asks for a read of the object.
type ReadObject struct{}

// Wait asks the caller to wait until the given time or until the result of a read
// or write arrives.
type Wait struct {
	Until time.Time
}

func (Claim) action()      {}
func (Renew) action()      {}
func (Release) action()    {}
func (ReadObject) action() {}
func (Wait) action()       {}

// Outcome is the result of a write.
type Outcome uint8

// Outcomes of a write.
const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Conflict means that the object had a version other than the expected one.
	Conflict
	// Failed means that the write did not take effect and never will.
	Failed
	// Unknown means that the write may have taken effect or still may.
	Unknown
)

// WriteResult is the result of a Claim or Renew. The caller reports one for each,
// with the outcome Unknown if it stops waiting.
type WriteResult struct {
	// Token is the token of the write.
	Token   Token
	Outcome Outcome
	// Fence is the object's new version, if Outcome is Applied.
	Fence Fence
}
