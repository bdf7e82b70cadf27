package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

// sized answers with a body of the length that the request's body names.
func sized(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var length int
	_, _ = fmt.Sscan(string(data), &length)
	w.Header().Set("Content-Length", fmt.Sprint(length))
	_, _ = io.WriteString(w, strings.Repeat("x", length))
}

func TestPacedAnswersAreWhole(t *testing.T) {
	tests := []struct {
		name   string
		length int
	}{
		{name: "short", length: 10},
		{name: "as long as is not paced", length: longAnswer},
		{name: "paced", length: longAnswer + 1},
		{name: "many steps", length: 20*paceStep + 7},
		{name: "too long to be held", length: longestHeld + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHandler(t, sized)
			h.Pace.SetRate(64 << 20)
			body := fmt.Sprint(tt.length)
			_, got, err := do(t.Context(), h, callHead(body), body)
			assert.NilError(t, err)
			assert.Equal(t, len(got), tt.length)
			assert.Equal(t, h.Gate.Load().Running, 0)
		})
	}
}

func TestPacedAnswerHoldsNoSlot(t *testing.T) {
	h := newHandler(t, sized)
	h.Gate = newGate(1)
	// The burst passes at once; the rest would take hours.
	h.Pace.SetRate(1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	reply, err := (&peer.Local{Handler: h}).Call(ctx, &peer.Call{Head: callHead("200000"), Body: strings.NewReader("200000")})
	assert.NilError(t, err)
	go func() {
		_, copyErr := io.Copy(io.Discard, reply.Body)
		ended <- copyErr
	}()
	_, got, err := do(t.Context(), h, callHead("10"), "10")
	assert.NilError(t, err)
	assert.Equal(t, len(got), 10)
	cancel()
	assert.Assert(t, <-ended != nil, "an answer that was cut must not look whole")
}

func TestCutLongAnswerIsUnknown(t *testing.T) {
	h := newHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte("half"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	h.Pace.SetRate(64 << 20)
	_, _, err := do(t.Context(), h, callHead(""), "")
	var failed *peer.CallError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Outcome, peer.Unknown)
}
