package serve

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

// TestNewConnectionLimitLosesNoUpstream guards against an upstream that counts as unreachable,
// because its limit of connections was changed while a call waited for one.
func TestNewConnectionLimitLosesNoUpstream(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(conn, rawResponse(request.Header.Get("Request"), "s", "good"))
	})
	h := &Handler{Gate: newGate(4), Headers: identifyingCodec{}, OnUnreachable: func() { t.Error("the upstream counts as unreachable") }}
	h.SetTarget(Target{Address: address, MaxConnections: 1, Instance: "i-1"})
	t.Cleanup(func() { h.SetTarget(Target{}) })
	results := make(chan error, 2)
	call := func(id string) {
		_, _, err := doWithID(t.Context(), h, id, http.MethodGet)
		results <- err
	}
	go call("first")
	<-arrived
	go call("second")
	// The second call waits for the connection.
	for h.Gate.Load().Running < 2 {
		time.Sleep(time.Millisecond)
	}
	h.SetTarget(Target{Address: address, MaxConnections: 2, Instance: "i-1"})
	close(release)
	for range 2 {
		err := <-results
		var callErr *peer.CallError
		if errors.As(err, &callErr) {
			assert.Equal(t, callErr.Outcome, peer.NotRun)
			assert.Equal(t, callErr.Reason, ReasonLeaving)
			continue
		}
		assert.NilError(t, err)
	}
}
