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

// Header names of requests and answers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Arbutus-Attempt"
	HeaderTimeout        = "Arbutus-Timeout"
	HeaderOutcome        = "Arbutus-Outcome"
	HeaderLoad           = "Arbutus-Load"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun: the request was certainly not run.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown: the request was begun and may have taken effect.
	OutcomeUnknown = "unknown"
)

const (
	maxFaultsBody = 64 << 10
	// maxFiller bounds the filler that an answer may be asked for, in bytes.
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

// serve takes a slot, reads the body, runs the request and answers.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel, filler, err := limits(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, OutcomeNotRun, err.Error())
		return
	}
	defer cancel()
	if !u.work.take(u.options.Slots) {
		u.tellLoad(w)
		refuse(w, http.StatusServiceUnavailable, OutcomeNotRun, "no free slot")
		return
	}
	defer u.work.release()
	hash := sha256.New()
	if _, err = io.Copy(hash, r.Body); err != nil || ctx.Err() != nil {
		u.work.bump(&u.work.stats.Cancelled)
		refuse(w, http.StatusGatewayTimeout, OutcomeNotRun, "request ended before it ran")
		return
	}
	fate := u.faults.next()
	if fate == fateHang {
		u.hang(r.Context())
	}
	e := echo{Path: r.URL.Path, Key: requestKey(r.Header), Digest: mesh.Digest(hash.Sum(nil))}
	u.runs.add(e.Key)
	if !u.run(ctx) {
		u.work.bump(&u.work.stats.Cancelled)
		u.tellLoad(w)
		refuse(w, http.StatusGatewayTimeout, OutcomeUnknown, "request ended while it ran")
		return
	}
	if fate == fateDie {
		panic(http.ErrAbortHandler)
	}
	u.tellLoad(w)
	u.answer(w, e, filler, fate == fateCutShort)
}

// limits reads the deadline and the size of the filler from the request.
func limits(r *http.Request) (ctx context.Context, cancel context.CancelFunc, filler int64, err error) {
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

// requestKey returns what the request's runs are counted by, empty for nothing.
func requestKey(header http.Header) string {
	if key := header.Get(HeaderIdempotencyKey); key != "" {
		return key
	}
	return header.Get(HeaderAttempt)
}

// run takes the service time and reports whether the request came to its end.
func (u *Upstream) run(ctx context.Context) bool {
	timer := time.NewTimer(u.clock.next(time.Now()) + u.faults.get().Delay)
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

// hang keeps the slot and the connection until either end closes it.
func (u *Upstream) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-u.killed:
	}
	panic(http.ErrAbortHandler)
}

// tellLoad sets the load header, true or not.
func (u *Upstream) tellLoad(w http.ResponseWriter) {
	load := u.work.load(u.options.Slots)
	if f := u.faults.get(); f.OverrideLoad {
		load = f.ReportedLoad
	}
	w.Header().Set(HeaderLoad, strconv.Itoa(load))
}

// answer writes the echo and the filler, or only a half of that.
func (u *Upstream) answer(w http.ResponseWriter, e echo, filler int64, cutShort bool) {
	line := e.line()
	size := int64(len(line)) + filler
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	body := e.body(filler)
	if cutShort {
		body = io.LimitReader(body, size/2)
	}
	if _, err := io.Copy(w, body); err != nil {
		u.work.bump(&u.work.stats.Cancelled)
		panic(http.ErrAbortHandler)
	}
	if cutShort {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	u.work.bump(&u.work.stats.Served)
}

func refuse(w http.ResponseWriter, status int, outcome, text string) {
	w.Header().Set(HeaderOutcome, outcome)
	http.Error(w, text, status)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
