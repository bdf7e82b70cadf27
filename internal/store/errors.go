package store

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Errors of calls, for errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrConflict means that the object has a different version, or that it
	// already exists. The error is a *ConflictError.
	ErrConflict = merry.Sentinel("version conflict")
	// ErrGone means that the server no longer keeps the events after the
	// requested revision. The caller must list again and watch from the
	// revision of the list. The error is a *GoneError.
	ErrGone = merry.Sentinel("revision no longer in history")
	// ErrNewEra means that the store was restored from a copy after the data was read on
	// which the call rests. The call had no effect, unless the error is an
	// ErrOutcomeUnknown too. The caller must read again.
	ErrNewEra = merry.Sentinel("store was restored")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = merry.Sentinel("object API unavailable")
	// ErrOutcomeUnknown means that a write was sent but its outcome was not
	// received. It may have taken effect.
	ErrOutcomeUnknown = merry.Sentinel("write outcome unknown")
	// ErrInvalid means that the platform, or the client before sending,
	// rejected the arguments. A retry fails as well.
	ErrInvalid = merry.Sentinel("invalid object API request")
)

// ConflictError is an ErrConflict with the object that the server holds.
type ConflictError struct {
	// Current is the stored object when HasCurrent is true.
	Current Object
	// HasCurrent is true when the response contained the stored object.
	HasCurrent bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: current version %d", ErrConflict, e.Current.Version)
}

// Is reports that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return errors.Is(ErrConflict, target)
}

// GoneError is an ErrGone with the store's current revision.
type GoneError struct {
	// Revision is the store's revision when the server answered.
	Revision uint64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("%v: current revision %d", ErrGone, e.Revision)
}

// Is reports that the error is an ErrGone.
func (e *GoneError) Is(target error) bool {
	return errors.Is(ErrGone, target)
}

// annotate prefixes a non-nil error with the call's name and key.
func annotate(err *error, name, key string) {
	if *err != nil {
		*err = merry.Prependf(*err, "%s %q", name, key)
	}
}

// validateKey rejects keys that are empty, too long, or changed by URL path
// normalization.
func validateKey(key string) (err error) {
	if key == "" || len(key) > MaxKeyLength {
		return fmt.Errorf("%w: key is empty or too long: %d bytes", ErrInvalid, len(key))
	}
	for s := range strings.SplitSeq(key, "/") {
		if s == "" || s == "." || s == ".." {
			return fmt.Errorf("%w: key contains path segment %q", ErrInvalid, s)
		}
	}
	return nil
}

// validateValue rejects values over MaxValueSize, which no platform accepts.
func validateValue(value []byte) (err error) {
	if len(value) > MaxValueSize {
		return fmt.Errorf("%w: value too large: %d bytes", ErrInvalid, len(value))
	}
	return nil
}

// validateWrite rejects writes with an invalid key or value.
func validateWrite(key string, value []byte) (err error) {
	if err = validateKey(key); err != nil {
		return err
	}
	return validateValue(value)
}
