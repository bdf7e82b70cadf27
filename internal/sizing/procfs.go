package sizing

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted from the one after the command's name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

var errStat = errors.New("malformed stat line")

// usage is what a process has used.
type usage struct {
	processor time.Duration
	// resident is in bytes; anonymous is the part of it that no file backs, which
	// is what the process itself has written.
	resident, anonymous int64
}

// readUsage reads what a running process has used so far.
func readUsage(pid int) (u usage, err error) {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	if u, err = parseUsage(line); err != nil {
		return u, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	u.anonymous = parseAnonymous(status)
	return u, err
}

// parseAnonymous reads the anonymous resident memory of /proc/PID/status, zero
// when the kernel does not tell it.
func parseAnonymous(status []byte) (size int64) {
	_, rest, _ := bytes.Cut(status, []byte("RssAnon:"))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	size, _ = strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	return size << 10
}

// parseUsage reads a line of /proc/PID/stat. The command's name stands in
// parentheses and may hold any character.
func parseUsage(line []byte) (u usage, err error) {
	fields := bytes.Fields(line[bytes.LastIndexByte(line, ')')+1:])
	if len(fields) <= fieldResident {
		return u, errStat
	}
	var numbers [3]int64
	for i, f := range []int{fieldUserTime, fieldSystemTime, fieldResident} {
		if numbers[i], err = strconv.ParseInt(string(fields[f]), 10, 64); err != nil {
			return u, fmt.Errorf("%w: %w", errStat, err)
		}
	}
	u.processor = time.Duration(numbers[0]+numbers[1]) * clockTick
	u.resident = numbers[2] * int64(os.Getpagesize())
	return u, nil
}
