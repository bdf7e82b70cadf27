// Command cmd measures the resource use of the system at several sizes and prints the
// slopes from which docs/CAPACITY.md extrapolates.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"arbutusstep.example/arbutusstep/internal/sizing"
)

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "sizing:", err)
		os.Exit(1)
	}
}

func run() (err error) {
	binary := flag.String("binary", "bin/arbutusstep", "built `PROGRAM` to measure")
	only := flag.String("parts", "", "comma-separated `NAMES` of measurements; all if empty")
	idle := flag.Duration("idle", 30*time.Second, "how long idle processes are measured")
	changes := flag.Int("changes", 20, "number of configuration changes at each size")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	directory, err := os.MkdirTemp("", "arbutusstep-sizing-")
	if err != nil {
		return err
	}
	options := sizing.Options{
		Binary: *binary, Directory: directory, IdleTime: *idle, Changes: *changes, Output: os.Stdout,
	}
	if *only != "" {
		options.Parts = strings.Split(*only, ",")
	}
	if err = sizing.Run(ctx, options); err != nil {
		return fmt.Errorf("%w (settings and logs are in %s)", err, directory)
	}
	return os.RemoveAll(directory)
}
