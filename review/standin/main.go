// Command standin plays the cases of this review: it is the store, the servers and the
// clients, and starts the project's proxies as separate processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER BINARY")
		os.Exit(2)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	f := newFleet(rec, os.Args[3])
	broken := play(f, os.Getenv("TROUBLE") != "0")
	f.stop()
	rec.close()
	if broken {
		os.Exit(1)
	}
}

// cases play a case and report whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool){
	"extra":   playExtra,
	"upload":  playUpload,
	"freeze":  playFreeze,
	"weights": playWeights,
}
