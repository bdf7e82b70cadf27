package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", values...)
}

// summary writes a line to the record and to standard output.
func (r *record) summary(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
