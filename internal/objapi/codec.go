package objapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Bounds of the wait that a watch may ask for.
const (
	DefaultWatchWait = 20 * time.Second
	MaxWatchWait     = 60 * time.Second
)

var errTooLarge = errors.New("value is too large")

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+(/[A-Za-z0-9._:-]+)*$`)

var prefixPattern = regexp.MustCompile(`^([A-Za-z0-9._:-]+/)*[A-Za-z0-9._:-]*$`)

// checkKey reports whether the key may name an object.
func checkKey(key string) (err error) {
	if len(key) > MaxKeyLength || !keyPattern.MatchString(key) {
		return fmt.Errorf("key %.80q is malformed", key)
	}
	for s := range strings.SplitSeq(key, "/") {
		if s == "." || s == ".." {
			return fmt.Errorf("key %.80q has the segment %q", key, s)
		}
	}
	return nil
}

// checkPrefix reports whether keys may start with the prefix.
func checkPrefix(prefix string) (err error) {
	if len(prefix) > MaxKeyLength || !prefixPattern.MatchString(prefix) {
		return fmt.Errorf("prefix %.80q is malformed", prefix)
	}
	return nil
}

// decodeWrite reads the body of a create or update; a create has no version.
func decodeWrite(body []byte, update bool) (value []byte, version uint64, err error) {
	var form struct {
		Value   *[]byte `json:"value"`
		Version uint64  `json:"version"`
	}
	if err = decodeStrict(body, &form); err != nil {
		return nil, 0, err
	}
	switch {
	case form.Value == nil:
		return nil, 0, errors.New("body has no value")
	case update && form.Version == 0:
		return nil, 0, errors.New("an update needs a version")
	case !update && form.Version != 0:
		return nil, 0, errors.New("a create has no version")
	case len(*form.Value) > MaxValueSize:
		return nil, 0, errTooLarge
	}
	return *form.Value, form.Version, nil
}

// decodeFaults reads the body of the admin call that sets the faults.
func decodeFaults(body []byte) (faults Faults, err error) {
	var form faultsForm
	if err = decodeStrict(body, &form); err != nil {
		return faults, err
	}
	faults = Faults{
		Latency: time.Duration(form.Latency), Outage: form.Outage, LoseResponses: form.LoseResponses,
		FreezeWatches: form.FreezeWatches, EventDelay: time.Duration(form.EventDelay),
		DuplicateEvents: form.DuplicateEvents, ShuffleEvents: form.ShuffleEvents,
		WritesPerSecond: form.WritesPerSecond, ReadsPerSecond: form.ReadsPerSecond,
	}
	return faults, faults.check()
}

// faultsForm is the JSON form of Faults.
type faultsForm struct {
	Latency         duration `json:"latency"`
	Outage          Outage   `json:"down"`
	LoseResponses   int      `json:"loseAnswers"`
	FreezeWatches   bool     `json:"freezeWatches"`
	EventDelay      duration `json:"watchDelay"`
	DuplicateEvents bool     `json:"watchTwice"`
	ShuffleEvents   bool     `json:"watchShuffle"`
	WritesPerSecond int      `json:"writesPerSecond"`
	ReadsPerSecond  int      `json:"readsPerSecond"`
}

func encodeFaults(f Faults) faultsForm {
	return faultsForm{
		Latency: duration(f.Latency), Outage: f.Outage, LoseResponses: f.LoseResponses,
		FreezeWatches: f.FreezeWatches, EventDelay: duration(f.EventDelay),
		DuplicateEvents: f.DuplicateEvents, ShuffleEvents: f.ShuffleEvents,
		WritesPerSecond: f.WritesPerSecond, ReadsPerSecond: f.ReadsPerSecond,
	}
}

// duration is a time.Duration that stands in JSON as in "1.5s".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() (text []byte, err error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) (err error) {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

// decodeStrict reads exactly one JSON value without unknown fields.
func decodeStrict(body []byte, form any) (err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(form); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if _, err = decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body: more than one JSON value")
	}
	return nil
}

// decodeVersion reads a revision from the query; an empty text is zero.
func decodeVersion(text string) (version uint64, err error) {
	if text == "" {
		return 0, nil
	}
	if version, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, fmt.Errorf("revision %.40q is malformed", text)
	}
	return version, nil
}

// decodeWait reads how long a watch may wait.
func decodeWait(text string) (wait time.Duration, err error) {
	if text == "" {
		return DefaultWatchWait, nil
	}
	if wait, err = time.ParseDuration(text); err != nil {
		return 0, fmt.Errorf("wait %.40q is malformed", text)
	}
	if wait < 0 || wait > MaxWatchWait {
		return 0, fmt.Errorf("wait %v is not within 0s and %v", wait, MaxWatchWait)
	}
	return wait, nil
}
