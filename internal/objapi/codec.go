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

// Default and maximum of the wait that a watch may request.
const (
	DefaultWatchWait = 20 * time.Second
	MaxWatchWait     = 60 * time.Second
)

var errTooLarge = errors.New("value is too large")

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+(/[A-Za-z0-9._:-]+)*$`)

var prefixPattern = regexp.MustCompile(`^([A-Za-z0-9._:-]+/)*[A-Za-z0-9._:-]*$`)

// validateKey returns an error unless the key is valid for an object.
func validateKey(key string) (err error) {
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

// validatePrefix returns an error unless valid keys can start with the prefix.
func validatePrefix(prefix string) (err error) {
	if len(prefix) > MaxKeyLength || !prefixPattern.MatchString(prefix) {
		return fmt.Errorf("prefix %.80q is malformed", prefix)
	}
	return nil
}

// decodeWrite decodes the body of a create or update. An update requires a
// version and a create must not have one.
func decodeWrite(body []byte, update bool) (value []byte, version uint64, err error) {
	var write struct {
		Value   *[]byte `json:"value"`
		Version uint64  `json:"version"`
	}
	if err = decodeStrict(body, &write); err != nil {
		return nil, 0, err
	}
	switch {
	case write.Value == nil:
		return nil, 0, errors.New("body has no value")
	case update && write.Version == 0:
		return nil, 0, errors.New("an update needs a version")
	case !update && write.Version != 0:
		return nil, 0, errors.New("a create has no version")
	case len(*write.Value) > MaxValueSize:
		return nil, 0, errTooLarge
	}
	return *write.Value, write.Version, nil
}

// decodeFaults decodes the body of PUT /v1/faults.
func decodeFaults(body []byte) (faults Faults, err error) {
	var decoded faultsBody
	if err = decodeStrict(body, &decoded); err != nil {
		return faults, err
	}
	faults = Faults{
		Latency: time.Duration(decoded.Latency), Outage: decoded.Outage, LoseResponses: decoded.LoseResponses,
		FreezeWatches: decoded.FreezeWatches, EventDelay: time.Duration(decoded.EventDelay),
		DuplicateEvents: decoded.DuplicateEvents, ShuffleEvents: decoded.ShuffleEvents,
		WritesPerSecond: decoded.WritesPerSecond, ReadsPerSecond: decoded.ReadsPerSecond,
	}
	return faults, faults.validate()
}

// faultsBody is the JSON encoding of Faults.
type faultsBody struct {
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

func encodeFaults(f Faults) faultsBody {
	return faultsBody{
		Latency: duration(f.Latency), Outage: f.Outage, LoseResponses: f.LoseResponses,
		FreezeWatches: f.FreezeWatches, EventDelay: duration(f.EventDelay),
		DuplicateEvents: f.DuplicateEvents, ShuffleEvents: f.ShuffleEvents,
		WritesPerSecond: f.WritesPerSecond, ReadsPerSecond: f.ReadsPerSecond,
	}
}

// duration is a time.Duration encoded in JSON as a string such as "1.5s".
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

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(body []byte, target any) (err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(target); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if _, err = decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body: more than one JSON value")
	}
	return nil
}

// decodeVersion parses a version or revision of the query; empty means zero.
func decodeVersion(text string) (version uint64, err error) {
	if text == "" {
		return 0, nil
	}
	if version, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, fmt.Errorf("revision %.40q is malformed", text)
	}
	return version, nil
}

// decodeWait parses the wait of a watch; empty means DefaultWatchWait.
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
