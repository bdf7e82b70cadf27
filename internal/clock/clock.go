// Package clock reads the clock that counts the time for which the machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadGap is the longest time between two readings of one clock between which the
	// other one is read. A thread that is interrupted in between would take the
	// interruption for a suspension.
	maxReadGap = 200 * time.Microsecond
	// maxReads is the number of attempts to read the clocks within maxReadGap.
	maxReads = 10
)

// Boot compares CLOCK_BOOTTIME, which counts the time for which the machine was suspended,
// with CLOCK_MONOTONIC, which does not. The zero Boot is ready to use.
type Boot struct {
	// read replaces the system call in tests; nil means the system call.
	read func(id int32) (time.Duration, error)
}

// Suspended returns the time for which the machine was suspended since it started. It is
// always zero where one of the clocks is missing.
func (b Boot) Suspended() (suspended time.Duration) {
	read := b.read
	if read == nil {
		read = readClock
	}
	for range maxReads {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0
		}
		boot, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0
		}
		suspended = boot - before
		if after-before <= maxReadGap {
			break
		}
	}
	return suspended
}

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
