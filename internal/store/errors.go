package store

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// The ways in which a call fails, for errors.Is.
var (
	// ErrNotFound: there is no such object.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrConflict: the object has another version, or exists already. The
	// error is a *ConflictError.
	ErrConflict = merry.Sentinel("version conflict")
	// ErrGone: the events after the asked revision are not kept any more.
	// List again and watch from the revision of the list. The error is a
	// *GoneError.
	ErrGone = merry.Sentinel("revision gone")
	// ErrUnavailable: the call had certainly no effect.
	ErrUnavailable = merry.Sentinel("object API unavailable")
	// ErrOutcomeUnknown: a write was sent and got no answer; it may have taken effect.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the write unknown")
	// ErrInvalid: the platform, or the client before sending, refused the
	// arguments. A repeat fails as well.
	ErrInvalid = merry.Sentinel("invalid call of the object API")
)

// ConflictError is an ErrConflict with what the server holds.
type ConflictError struct {
	// Current is the present object when HasCurrent is true.
	Current Object
	// HasCurrent is true when the server told the present object.
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

// GoneError is an ErrGone with the store's revision.
type GoneError struct {
	// Revision is the store's revision at the time of the answer.
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

// annotate names the call in its error.
func annotate(err *error, name, key string) {
	if *err != nil {
		*err = merry.Prependf(*err, "%s %q", name, key)
	}
}

// checkKey refuses keys that can't be sent as they are.
func checkKey(key string) (err error) {
	if key == "" || len(key) > MaxKeyLength {
		return fmt.Errorf("%w: key of %d bytes", ErrInvalid, len(key))
	}
	for s := range strings.SplitSeq(key, "/") {
		if s == "" || s == "." || s == ".." {
			return fmt.Errorf("%w: key with the segment %q", ErrInvalid, s)
		}
	}
	return nil
}

// checkValue refuses values that no platform takes.
func checkValue(value []byte) (err error) {
	if len(value) > MaxValueSize {
		return fmt.Errorf("%w: value of %d bytes", ErrInvalid, len(value))
	}
	return nil
}

// checkWrite refuses writes that can't be sent as they are.
func checkWrite(key string, value []byte) (err error) {
	if err = checkKey(key); err != nil {
		return err
	}
	return checkValue(value)
}
