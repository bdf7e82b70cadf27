package serve

import (
	"net/http"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// ResponseInfo is what an answer's status and headers tell of the request.
type ResponseInfo struct {
	// RequestID names the request that the answer belongs to; empty when it does not say.
	RequestID string
	// NotRun is true when the upstream did not run the request.
	NotRun bool
	// Misdirected is true when another upstream has the address now.
	Misdirected bool
	// Authentic is true when the answer proves that it is the upstream's own; a
	// success without proof is none.
	Authentic bool
}

// HeaderCodec is how requests to an upstream and its answers are marked.
type HeaderCodec interface {
	// SetRequestHeaders marks a request to one lifetime of an upstream. The time left is zero
	// when the call has no deadline.
	SetRequestHeaders(header http.Header, head *wire.CallHead, instance string, left time.Duration)
	// ParseResponse says what an answer's status and headers tell.
	ParseResponse(status int, header http.Header) ResponseInfo
}

// ownForm is the form of docs/INTERFACE.md.
type ownForm struct{}

// SetRequestHeaders implements HeaderCodec.
func (ownForm) SetRequestHeaders(header http.Header, head *wire.CallHead, _ string, left time.Duration) {
	header[HeaderPriority] = []string{mesh.Priority(head.GetPriority()).String()}
	header[HeaderAttempt] = []string{head.GetAttempt()}
	if head.GetKey() != "" {
		header[HeaderIdempotencyKey] = []string{head.GetKey()}
	}
	if left > 0 {
		header[HeaderTimeout] = []string{left.Round(time.Microsecond).String()}
	}
}

// ParseResponse implements HeaderCodec.
func (ownForm) ParseResponse(status int, header http.Header) ResponseInfo {
	notRun := status == http.StatusServiceUnavailable && header.Get(HeaderOutcome) == peer.NotRun.String()
	return ResponseInfo{NotRun: notRun, Authentic: true}
}
