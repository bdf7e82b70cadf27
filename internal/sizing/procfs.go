package sizing

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted from zero after the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

var errStat = errors.New("malformed stat line")

// usage is the resource use of a process.
type usage struct {
	cpu time.Duration
	// resident is the resident memory in bytes. anonymous is the part of it that no
	// file backs: heap and stacks.
	resident, anonymous int64
}

// readUsage reads the resource use of a running process.
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

// parseAnonymous returns the anonymous resident memory from /proc/PID/status, zero if
// the kernel does not report it.
func parseAnonymous(status []byte) (size int64) {
	_, rest, _ := bytes.Cut(status, []byte("RssAnon:"))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	size, _ = strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	return size << 10
}

// parseUsage parses /proc/PID/stat. The command name is in parentheses and may
// contain any character, also parentheses and spaces.
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
	u.cpu = time.Duration(numbers[0]+numbers[1]) * clockTick
	u.resident = numbers[2] * int64(os.Getpagesize())
	return u, nil
}
