package fakeup

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Headers of requests and responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Arbutus-Attempt"
	HeaderTimeout        = "Arbutus-Timeout"
	HeaderOutcome        = "Arbutus-Outcome"
	HeaderLoad           = "Arbutus-Load"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun means that the request was certainly not run.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request was started and may have taken effect.
	OutcomeUnknown = "unknown"
)

const (
	maxFaultsBody = 64 << 10
	// maxFiller is the maximum filler that a request may ask for, in bytes.
	maxFiller = 1 << 34
)

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Runs []RunCount `json:"runs"`
		}{u.Runs()})
	})
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, u.Stats())
	})
	mux.HandleFunc("PUT /v1/faults", u.putFaults)
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Upstream) putFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultsBody))
	if err == nil {
		var faults Faults
		if faults, err = decodeFaults(body); err == nil {
			err = u.SetFaults(faults)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serve acquires a slot, reads the body, runs the request and responds.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(HeaderAttempt); attempt != "" {
		w.Header().Set(HeaderAttempt, attempt)
	}
	ctx, cancel, filler, err := parseRequest(r)
	if err != nil {
		reject(w, http.StatusBadRequest, OutcomeNotRun, err.Error())
		return
	}
	defer cancel()
	if !u.slots.acquire(u.options.Slots) {
		u.setLoadHeader(w)
		reject(w, http.StatusServiceUnavailable, OutcomeNotRun, "no free slot")
		return
	}
	defer u.slots.release()
	hash := sha256.New()
	if _, err = io.Copy(hash, r.Body); err != nil || ctx.Err() != nil {
		u.slots.increment(&u.slots.stats.Cancelled)
		reject(w, http.StatusGatewayTimeout, OutcomeNotRun, "request ended before it ran")
		return
	}
	fault := u.faults.next()
	if fault == faultHang {
		u.hang(r.Context())
	}
	response := echo{Path: r.URL.Path, Key: runKey(r.Header), Digest: mesh.Digest(hash.Sum(nil))}
	u.runs.add(response.Key)
	if !u.run(ctx) {
		u.slots.increment(&u.slots.stats.Cancelled)
		u.setLoadHeader(w)
		reject(w, http.StatusGatewayTimeout, OutcomeUnknown, "request ended while it ran")
		return
	}
	if fault == faultDrop {
		panic(http.ErrAbortHandler)
	}
	u.setLoadHeader(w)
	u.writeResponse(w, response, filler, fault == faultTruncate)
}

// parseRequest returns a context with the request's deadline and the number of
// filler bytes that the request asks for.
func parseRequest(r *http.Request) (ctx context.Context, cancel context.CancelFunc, filler int64, err error) {
	if text := r.URL.Query().Get("bytes"); text != "" {
		if filler, err = strconv.ParseInt(text, 10, 64); err != nil || filler < 0 || filler > maxFiller {
			return nil, nil, 0, errors.New("bytes is malformed")
		}
	}
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		ctx, cancel = context.WithCancel(r.Context())
		return ctx, cancel, filler, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		return nil, nil, 0, errors.New(HeaderTimeout + " is malformed")
	}
	ctx, cancel = context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, filler, nil
}

// runKey returns the key under which runs of the request are counted. It is
// empty when the request has neither an idempotency key nor an attempt ID.
func runKey(header http.Header) string {
	if key := header.Get(HeaderIdempotencyKey); key != "" {
		return key
	}
	return header.Get(HeaderAttempt)
}

// run waits for the service time and reports whether the request completed.
func (u *Upstream) run(ctx context.Context) bool {
	timer := time.NewTimer(u.serviceTimes.next(time.Now()) + u.faults.get().Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-u.killed:
		panic(http.ErrAbortHandler)
	}
}

// hang occupies the slot and the connection until the client disconnects or the
// upstream is killed.
func (u *Upstream) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-u.killed:
	}
	panic(http.ErrAbortHandler)
}

// setLoadHeader sets the load header to the real load or the overridden one.
func (u *Upstream) setLoadHeader(w http.ResponseWriter) {
	load := u.slots.loadPercent(u.options.Slots)
	if f := u.faults.get(); f.OverrideLoad {
		load = f.ReportedLoad
	}
	w.Header().Set(HeaderLoad, strconv.Itoa(load))
}

// writeResponse writes the echo and the filler, or only the first half of them.
func (u *Upstream) writeResponse(w http.ResponseWriter, response echo, filler int64, truncate bool) {
	line := response.firstLine()
	size := int64(len(line)) + filler
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	body := response.reader(filler)
	if truncate {
		body = io.LimitReader(body, size/2)
	}
	if _, err := io.Copy(w, body); err != nil {
		u.slots.increment(&u.slots.stats.Cancelled)
		panic(http.ErrAbortHandler)
	}
	if truncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	u.slots.increment(&u.slots.stats.Served)
}

func reject(w http.ResponseWriter, status int, outcome, text string) {
	w.Header().Set(HeaderOutcome, outcome)
	http.Error(w, text, status)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}
