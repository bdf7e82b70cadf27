package lease

import "time"

// Action is what a holder asks its caller to do: a Claim, Renew, Release,
// ReadBack or Wait.
type Action interface {
	intention()
}

// Claim asks for a conditional update that writes the token if the object's
// version is Expected; zero means that the object must not exist.
type Claim struct {
	Expected Fence
	Token    Token
}

// Renew asks for the same write as Claim, by the present holder.
type Renew struct {
	Expected Fence
	Token    Token
}

// Release asks for a conditional update that leaves the lease vacant, by an
// empty token or by deleting the object.
type Release struct {
	Expected Fence
}

// ReadObject asks for a read of the object.
type ReadObject struct{}

// Wait asks for nothing until that time, or until something is answered.
type Wait struct {
	Until time.Time
}

func (Claim) intention()      {}
func (Renew) intention()      {}
func (Release) intention()    {}
func (ReadObject) intention() {}
func (Wait) intention()       {}

// Outcome is how a write ended.
type Outcome uint8

// The outcomes of a write.
const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Conflict means that the object's version was another.
	Conflict
	// Failed means that the write did not take effect and never will.
	Failed
	// Unknown means that the write may have taken effect or still may.
	Unknown
)

// WriteResult is how a Claim or Renew ended. The caller answers each one, by Unknown
// when it gives up waiting.
type WriteResult struct {
	// Token is the token of the write.
	Token   Token
	Outcome Outcome
	// Fence is the object's new version when Outcome is Applied.
	Fence Fence
}
