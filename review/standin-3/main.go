// Command standin-3 runs the cases of the third review. It starts proxies as separate
// processes and plays the platform's store, the upstreams and the clients itself, on
// loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenarios holds the cases by the number of their folder.
var scenarios = map[string]func(r *rig) (broken bool, err error){
	"11": interimInResponse,
	"12": oldVersionChunked,
	"13": pausedReader,
	"14": stopDuringDownload,
	"15": stopWithoutVersion,
}

func main() {
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return exitFailed
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitFailed
	}
	r, err := newRig(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitFailed
	}
	broken, err := play(r)
	r.close()
	switch {
	case err != nil:
		r.note("not run: %v", err)
		status = exitFailed
	case broken:
		r.note("result: the rule was broken")
		status = exitBroken
	default:
		r.note("result: the rule held")
	}
	fmt.Println(strings.TrimSpace(r.lastLine))
	return status
}
