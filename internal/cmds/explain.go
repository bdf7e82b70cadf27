package cmds

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLogLineBytes bounds the length of a log line in bytes.
const maxLogLineBytes = 1 << 20

var explainCommand = command{
	Name:      "explain",
	Arguments: "ID FILE...",
	Summary:   "prints the log lines of one request from the logs of several proxies, by time",
	Example:   "explain 9c41d07be2a35f68 proxy-1.log proxy-2.log",
	Prepare: func(*flag.FlagSet) runFunc {
		return func(_ context.Context, c invocation) error { return explainRequest(c) }
	},
}

// logLine is one line of a proxy's log.
type logLine struct {
	at   time.Time
	text string
}

func explainRequest(c invocation) (err error) {
	if len(c.args) < 2 {
		return newInputError("explain needs an ID and a FILE")
	}
	var lines []logLine
	for _, file := range c.args[1:] {
		found, readErr := linesWithID(file, c.args[0])
		if readErr != nil {
			return readErr
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line names %q; requests that went well are sampled", c.args[0])
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.text, b.text)) })
	for _, l := range lines {
		if _, err = fmt.Fprintln(c.out, l.text); err != nil {
			return err
		}
	}
	return nil
}

// linesWithID returns the lines of a log file that have the request ID. Text before
// the JSON object of a line, such as the prefix of a log collector, is removed.
func linesWithID(file, id string) (lines []logLine, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s: %w", file, err)
		}
	}()
	logFile, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, logFile.Close()) }()
	reader := bufio.NewReaderSize(logFile, maxLogLineBytes)
	for {
		text, readErr := reader.ReadString('\n')
		start := strings.IndexByte(text, '{')
		var header struct {
			ID   string    `json:"id"`
			Time time.Time `json:"time"`
		}
		if start >= 0 && json.Unmarshal([]byte(text[start:]), &header) == nil && header.ID == id {
			lines = append(lines, logLine{at: header.Time, text: strings.TrimSpace(text[start:])})
		}
		if errors.Is(readErr, io.EOF) {
			return lines, nil
		}
		if readErr != nil {
			return nil, readErr
		}
	}
}
