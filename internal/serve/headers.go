package serve

import (
	"net/http"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// ResponseInfo is what the status and headers of a response say about the request.
type ResponseInfo struct {
	// RequestID identifies the request that the response belongs to; empty if the
	// response does not contain it.
	RequestID string
	// NotRun is true if the upstream did not run the request.
	NotRun bool
	// Misdirected is true if another upstream has the address now.
	Misdirected bool
	// Authentic is true if the response proves that it was sent by the upstream. A
	// success response that is not authentic is an error.
	Authentic bool
}

// HeaderCodec encodes the headers of requests to an upstream and decodes the
// headers of its responses.
type HeaderCodec interface {
	// SetRequestHeaders sets the headers of a request to one instance of an upstream.
	// remaining is the time until the deadline of the call, zero if it has none.
	SetRequestHeaders(header http.Header, head *wire.CallHead, instance string, remaining time.Duration)
	// ParseResponse evaluates the status and headers of a response.
	ParseResponse(status int, header http.Header) ResponseInfo
}

// defaultCodec implements the headers of docs/INTERFACE.md.
type defaultCodec struct{}

// SetRequestHeaders implements HeaderCodec.
func (defaultCodec) SetRequestHeaders(header http.Header, head *wire.CallHead, _ string, remaining time.Duration) {
	header[HeaderPriority] = []string{mesh.Priority(head.GetPriority()).String()}
	header[HeaderAttempt] = []string{head.GetAttempt()}
	if head.GetKey() != "" {
		header[HeaderIdempotencyKey] = []string{head.GetKey()}
	}
	if remaining > 0 {
		header[HeaderTimeout] = []string{remaining.Round(time.Microsecond).String()}
	}
}

// ParseResponse implements HeaderCodec. The attempt identifies the request, if the
// upstream repeats it.
func (defaultCodec) ParseResponse(status int, header http.Header) ResponseInfo {
	notRun := status == http.StatusServiceUnavailable && header.Get(HeaderOutcome) == peer.NotRun.String()
	return ResponseInfo{RequestID: header.Get(HeaderAttempt), NotRun: notRun, Authentic: true}
}
