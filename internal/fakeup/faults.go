package fakeup

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Faults says how an upstream misbehaves. The zero Faults is not at all.
type Faults struct {
	// Delay is added to the service time of each request.
	Delay time.Duration
	// OverrideLoad makes answers tell ReportedLoad in place of the true load.
	OverrideLoad bool
	// ReportedLoad is in percent of the slots.
	ReportedLoad int
	// DropResponses counts the requests to come that are run and whose connection is
	// then closed without an answer.
	DropResponses int
	// TruncateResponses counts the requests to come that are run and whose answer
	// breaks off half way.
	TruncateResponses int
	// HangRequests counts the requests to come that take a slot, are not run and never
	// answer.
	HangRequests int
}

// fate is what becomes of one request.
type fate int

const (
	fateAnswer fate = iota
	fateDie
	fateCutShort
	fateHang
)

// faults holds the faults in force.
type faults struct {
	mutex sync.Mutex
	// current is guarded by mutex.
	current Faults
}

// SetFaults replaces the faults in force.
func (u *Upstream) SetFaults(faults Faults) (err error) {
	defer annotate(&err, "set faults")
	if faults.Delay < 0 || faults.DropResponses < 0 || faults.TruncateResponses < 0 || faults.HangRequests < 0 {
		return errors.New("a number is negative")
	}
	u.faults.mutex.Lock()
	defer u.faults.mutex.Unlock()
	u.faults.current = faults
	return nil
}

// get returns the faults in force.
func (f *faults) get() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current
}

// next decides what becomes of the next request.
func (f *faults) next() fate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.current.HangRequests > 0:
		f.current.HangRequests--
		return fateHang
	case f.current.DropResponses > 0:
		f.current.DropResponses--
		return fateDie
	case f.current.TruncateResponses > 0:
		f.current.TruncateResponses--
		return fateCutShort
	}
	return fateAnswer
}

// decodeFaults reads the JSON form of Faults.
func decodeFaults(body []byte) (faults Faults, err error) {
	var form struct {
		Delay        string `json:"delay"`
		LieAboutLoad bool   `json:"lieAboutLoad"`
		Load         int    `json:"load"`
		Die          int    `json:"die"`
		CutShort     int    `json:"cutShort"`
		Hang         int    `json:"hang"`
	}
	if err = json.Unmarshal(body, &form); err != nil {
		return faults, fmt.Errorf("body: %w", err)
	}
	if form.Delay != "" {
		if faults.Delay, err = time.ParseDuration(form.Delay); err != nil {
			return faults, fmt.Errorf("delay: %w", err)
		}
	}
	faults.OverrideLoad, faults.ReportedLoad = form.LieAboutLoad, form.Load
	faults.DropResponses, faults.TruncateResponses, faults.HangRequests = form.Die, form.CutShort, form.Hang
	return faults, nil
}
