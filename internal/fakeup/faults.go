package fakeup

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Faults configures the injected faults. The zero Faults injects none.
type Faults struct {
	// Delay is added to the service time of each request.
	Delay time.Duration
	// OverrideLoad makes responses report ReportedLoad instead of the real load.
	OverrideLoad bool
	// ReportedLoad is a percentage of the slots.
	ReportedLoad int
	// DropResponses is the number of coming requests that are run but whose
	// connection is then closed without a response.
	DropResponses int
	// TruncateResponses is the number of coming requests that are run but whose
	// response is cut off half way.
	TruncateResponses int
	// HangRequests is the number of coming requests that occupy a slot but are
	// not run and never get a response.
	HangRequests int
}

// requestFault is the fault injected into one request.
type requestFault int

const (
	faultNone requestFault = iota
	faultDrop
	faultTruncate
	faultHang
)

// faultState holds the current faults.
type faultState struct {
	mutex sync.Mutex
	// current is guarded by mutex.
	current Faults
}

// SetFaults replaces the current faults.
func (u *Upstream) SetFaults(faults Faults) (err error) {
	defer annotate(&err, "set faults")
	if faults.Delay < 0 || faults.DropResponses < 0 || faults.TruncateResponses < 0 || faults.HangRequests < 0 {
		return errors.New("delay and counts must not be negative")
	}
	u.faults.mutex.Lock()
	defer u.faults.mutex.Unlock()
	u.faults.current = faults
	return nil
}

// get returns the current faults.
func (f *faultState) get() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current
}

// next returns the fault for the next request and counts it.
func (f *faultState) next() requestFault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.current.HangRequests > 0:
		f.current.HangRequests--
		return faultHang
	case f.current.DropResponses > 0:
		f.current.DropResponses--
		return faultDrop
	case f.current.TruncateResponses > 0:
		f.current.TruncateResponses--
		return faultTruncate
	}
	return faultNone
}

// decodeFaults decodes the body of PUT /v1/faults.
func decodeFaults(body []byte) (faults Faults, err error) {
	var decoded struct {
		Delay        string `json:"delay"`
		LieAboutLoad bool   `json:"lieAboutLoad"`
		Load         int    `json:"load"`
		Die          int    `json:"die"`
		CutShort     int    `json:"cutShort"`
		Hang         int    `json:"hang"`
	}
	if err = json.Unmarshal(body, &decoded); err != nil {
		return faults, fmt.Errorf("body: %w", err)
	}
	if decoded.Delay != "" {
		if faults.Delay, err = time.ParseDuration(decoded.Delay); err != nil {
			return faults, fmt.Errorf("delay: %w", err)
		}
	}
	faults.OverrideLoad, faults.ReportedLoad = decoded.LieAboutLoad, decoded.Load
	faults.DropResponses, faults.TruncateResponses, faults.HangRequests = decoded.Die, decoded.CutShort, decoded.Hang
	return faults, nil
}
