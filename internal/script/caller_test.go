package script_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"arbutusstep.example/arbutusstep/internal/fakeup"
)

// headerFlag collects the values of a flag that may be repeated.
type headerFlag []string

func (h *headerFlag) String() string {
	return strings.Join(*h, ", ")
}

func (h *headerFlag) Set(text string) error {
	*h = append(*h, text)
	return nil
}

// callerOptions are the options of the program caller, an HTTP client that uses no
// code of the product for its requests.
type callerOptions struct {
	method   string
	body     string
	key      string
	header   headerFlag
	count    int
	interval time.Duration
	urls     []string
}

// callerMain sends calls and prints their outcomes. For a single call it prints the
// whole response. For several it counts the outcomes, and with -key it checks that
// each response is whole and belongs to its request. SIGINT and SIGTERM end it early.
func callerMain(args []string, out, errOut io.Writer) (status int) {
	flags := flag.NewFlagSet("caller", flag.ContinueOnError)
	flags.SetOutput(errOut)
	var options callerOptions
	flags.StringVar(&options.method, "X", "GET", "method")
	flags.StringVar(&options.body, "d", "", "body")
	flags.StringVar(&options.key, "key", "", "prefix of the idempotency keys")
	flags.Var(&options.header, "H", "header")
	flags.IntVar(&options.count, "n", 1, "maximum number of calls")
	flags.DurationVar(&options.interval, "every", 10*time.Millisecond, "time between calls")
	if flags.Parse(args) != nil {
		return 2
	}
	options.urls = flags.Args()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if options.count == 1 {
		return options.sendOne(out, errOut)
	}
	return options.sendMany(ctx, out)
}

func (o *callerOptions) newRequest(n int) (request *http.Request, err error) {
	request, err = http.NewRequest(o.method, o.urls[n%len(o.urls)], strings.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	for _, h := range o.header {
		name, value, _ := strings.Cut(h, ":")
		request.Header.Set(name, strings.TrimSpace(value))
	}
	if o.key != "" && o.count == 1 {
		request.Header.Set(fakeup.HeaderIdempotencyKey, o.key)
	} else if o.key != "" {
		request.Header.Set(fakeup.HeaderIdempotencyKey, fmt.Sprintf("%s-%d", o.key, n))
	}
	return request, nil
}

func (o *callerOptions) sendOne(out, errOut io.Writer) (status int) {
	request, err := o.newRequest(0)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 2
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	defer response.Body.Close()
	fmt.Fprintln(out, "status", response.StatusCode)
	for _, k := range slices.Sorted(maps.Keys(response.Header)) {
		fmt.Fprintf(out, "%s: %s\n", k, response.Header.Get(k))
	}
	if _, err = io.Copy(out, response.Body); err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

func (o *callerOptions) sendMany(ctx context.Context, out io.Writer) (status int) {
	var (
		mutex    sync.Mutex
		outcomes = make(map[string]int)
		group    sync.WaitGroup
		ticker   = time.NewTicker(o.interval)
	)
	defer ticker.Stop()
	for i := 0; i < o.count && ctx.Err() == nil; i++ {
		group.Go(func() {
			outcome := o.send(i)
			mutex.Lock()
			defer mutex.Unlock()
			outcomes[outcome]++
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	group.Wait()
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(out, "%d %s\n", outcomes[outcome], outcome)
	}
	return 0
}

// send sends one call and returns its outcome.
func (o *callerOptions) send(n int) (outcome string) {
	request, err := o.newRequest(n)
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no response: " + err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d %s", response.StatusCode, response.Header.Get("Arbutus-Reason"))
	}
	key := request.Header.Get(fakeup.HeaderIdempotencyKey)
	if key == "" {
		// The body holds the ID of the attempt, which only the mesh knows, so it can't
		// be verified.
		_, err = io.Copy(io.Discard, response.Body)
	} else {
		err = fakeup.VerifyResponse(response.Body, request.URL.Path, key, []byte(o.body), 0)
	}
	if err != nil {
		return "invalid response: " + err.Error()
	}
	return "answered"
}
