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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

var explainCommand = command{
	Name:      "explain",
	Arguments: "ID FILE...",
	Summary:   "prints what the logs of several proxies tell of one request, in order",
	Example:   "explain 9c41d07be2a35f68 proxy-1.log proxy-2.log",
	Prepare: func(*flag.FlagSet) action {
		return func(_ context.Context, c call) error { return explainRequest(c) }
	},
}

// logLine is a line of a proxy's log.
type logLine struct {
	at   time.Time
	text string
}

func explainRequest(c call) (err error) {
	if len(c.args) < 2 {
		return invalid("explain needs an ID and a FILE")
	}
	var lines []logLine
	for _, file := range c.args[1:] {
		found, readErr := linesOf(file, c.args[0])
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

// linesOf returns the lines of a log that name the request. What stands before
// the JSON of a line, such as a collector's mark, is left out.
func linesOf(file, id string) (lines []logLine, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s: %w", file, err)
		}
	}()
	source, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, source.Close()) }()
	reader := bufio.NewReaderSize(source, maxLogLine)
	for {
		text, readErr := reader.ReadString('\n')
		start := strings.IndexByte(text, '{')
		var named struct {
			ID   string    `json:"id"`
			Time time.Time `json:"time"`
		}
		if start >= 0 && json.Unmarshal([]byte(text[start:]), &named) == nil && named.ID == id {
			lines = append(lines, logLine{at: named.Time, text: strings.TrimSpace(text[start:])})
		}
		if errors.Is(readErr, io.EOF) {
			return lines, nil
		}
		if readErr != nil {
			return nil, readErr
		}
	}
}
