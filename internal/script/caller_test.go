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

// headers collects the values of a flag that repeats.
type headers []string

func (h *headers) String() string {
	return strings.Join(*h, ", ")
}

func (h *headers) Set(text string) error {
	*h = append(*h, text)
	return nil
}

// callOptions are those of the program caller, which stands for a caller that
// has nothing but an HTTP client.
type callOptions struct {
	method  string
	body    string
	key     string
	headers headers
	count   int
	every   time.Duration
	urls    []string
}

// callMain makes calls and prints how they ended. With one call it prints the
// whole answer; with several, it counts them and checks that each answer is
// the whole one of its own request. A signal ends it early.
func callMain(args []string, out, errs io.Writer) (status int) {
	flags := flag.NewFlagSet("caller", flag.ContinueOnError)
	flags.SetOutput(errs)
	var o callOptions
	flags.StringVar(&o.method, "X", "GET", "method")
	flags.StringVar(&o.body, "d", "", "body")
	flags.StringVar(&o.key, "key", "", "start of the idempotency keys")
	flags.Var(&o.headers, "H", "header")
	flags.IntVar(&o.count, "n", 1, "calls at most")
	flags.DurationVar(&o.every, "every", 10*time.Millisecond, "time between calls")
	if flags.Parse(args) != nil {
		return 2
	}
	o.urls = flags.Args()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if o.count == 1 {
		return o.one(out, errs)
	}
	return o.many(ctx, out)
}

func (o *callOptions) request(number int) (request *http.Request, err error) {
	request, err = http.NewRequest(o.method, o.urls[number%len(o.urls)], strings.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	for _, h := range o.headers {
		name, value, _ := strings.Cut(h, ":")
		request.Header.Set(name, strings.TrimSpace(value))
	}
	if o.key != "" && o.count == 1 {
		request.Header.Set(fakeup.HeaderIdempotencyKey, o.key)
	} else if o.key != "" {
		request.Header.Set(fakeup.HeaderIdempotencyKey, fmt.Sprintf("%s-%d", o.key, number))
	}
	return request, nil
}

func (o *callOptions) one(out, errs io.Writer) (status int) {
	request, err := o.request(0)
	if err != nil {
		fmt.Fprintln(errs, err)
		return 2
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	defer response.Body.Close()
	fmt.Fprintln(out, "status", response.StatusCode)
	for _, k := range slices.Sorted(maps.Keys(response.Header)) {
		fmt.Fprintf(out, "%s: %s\n", k, response.Header.Get(k))
	}
	if _, err = io.Copy(out, response.Body); err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	return 0
}

func (o *callOptions) many(ctx context.Context, out io.Writer) (status int) {
	var (
		mutex  sync.Mutex
		ends   = make(map[string]int)
		group  sync.WaitGroup
		ticker = time.NewTicker(o.every)
	)
	defer ticker.Stop()
	for i := 0; i < o.count && ctx.Err() == nil; i++ {
		group.Go(func() {
			end := o.call(i)
			mutex.Lock()
			defer mutex.Unlock()
			ends[end]++
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	group.Wait()
	for _, e := range slices.Sorted(maps.Keys(ends)) {
		fmt.Fprintf(out, "%d %s\n", ends[e], e)
	}
	return 0
}

// call makes one call and returns how it ended.
func (o *callOptions) call(number int) (end string) {
	request, err := o.request(number)
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d %s", response.StatusCode, response.Header.Get("Arbutus-Reason"))
	}
	key := request.Header.Get(fakeup.HeaderIdempotencyKey)
	if key == "" {
		// The answer repeats the attempt's name, which only the mesh knows.
		_, err = io.Copy(io.Discard, response.Body)
	} else {
		err = fakeup.VerifyResponse(response.Body, request.URL.Path, key, []byte(o.body), 0)
	}
	if err != nil {
		return "broken answer: " + err.Error()
	}
	return "answered"
}
