package serve

import (
	"net/http"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Said is what an answer's status and headers tell of the request.
type Said struct {
	// ID names the request that the answer belongs to; empty when it does not say.
	ID string
	// NotRun is true when the upstream did not run the request.
	NotRun bool
	// Moved is true when another upstream has the address now.
	Moved bool
	// Sealed is true when the answer proves that it is the upstream's own; a
	// success without proof is none.
	Sealed bool
}

// Form is how requests to an upstream and its answers are marked.
type Form interface {
	// Stamp marks a request to one lifetime of an upstream. The time left is zero
	// when the call has no deadline.
	Stamp(header http.Header, head *wire.CallHead, instance string, left time.Duration)
	// Read says what an answer's status and headers tell.
	Read(status int, header http.Header) Said
}

// ownForm is the form of docs/INTERFACE.md.
type ownForm struct{}

// Stamp implements Form.
func (ownForm) Stamp(header http.Header, head *wire.CallHead, _ string, left time.Duration) {
	header[HeaderPriority] = []string{mesh.Priority(head.GetPriority()).String()}
	header[HeaderAttempt] = []string{head.GetAttempt()}
	if head.GetKey() != "" {
		header[HeaderKey] = []string{head.GetKey()}
	}
	if left > 0 {
		header[HeaderTimeout] = []string{left.Round(time.Microsecond).String()}
	}
}

// Read implements Form.
func (ownForm) Read(status int, header http.Header) Said {
	notRun := status == http.StatusServiceUnavailable && header.Get(HeaderOutcome) == peer.NotRun.String()
	return Said{NotRun: notRun, Sealed: true}
}
