package cmds

import (
	"context"
	"errors"
	"flag"
	"io"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/node"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

var nodeCommand = command{
	Name:      "node",
	Arguments: "--config FILE",
	Summary:   "runs the node of one upstream host until it is stopped",
	Example:   "node --config node.yaml",
	Prepare: func(flags *flag.FlagSet) runFunc {
		file := flags.String("config", "", "settings `FILE` in YAML")
		host := flags.String("host", "", "name of the host; takes precedence over the file")
		level := flags.String("log-level", "", "lowest `LEVEL` that is logged; takes precedence over the file")
		return func(ctx context.Context, c invocation) error {
			return runNode(ctx, c, *file, overrides{host: *host, level: *level})
		}
	},
}

// overrides holds the flags that take precedence over the settings file.
type overrides struct {
	host  string
	level string
}

func runNode(ctx context.Context, c invocation, file string, over overrides) (err error) {
	if err = rejectArguments(c); err != nil {
		return err
	}
	if file == "" {
		return newInputError("--config is missing")
	}
	settings, err := conf.LoadWithOverrides(file, func(s *conf.Node) { over.apply(s) })
	if err != nil {
		return &inputError{err: err}
	}
	debug.SetMemoryLimit(settings.Limits.Memory)
	logger := newLogger(c.errs, settings.Log).With().Str("host", string(settings.Host)).Logger()
	n, err := node.Start(settings, logger)
	if err != nil {
		return err
	}
	logger.Info().Stringer("callers", n.CallerAddr()).Stringer("nodes", n.NodeAddr()).
		Stringer("admin", n.AdminAddr()).Msg("started")
	<-ctx.Done()
	return stopNode(n, settings)
}

func (o overrides) apply(settings *conf.Node) {
	if o.host != "" {
		settings.Host = mesh.HostID(o.host)
	}
	if o.level != "" {
		settings.Log.Level = o.level
	}
}

// stopNode drains the node and stops it.
func stopNode(n *node.Node, settings conf.Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), settings.Timing.Stop)
	defer cancel()
	n.Drain()
	return errors.Join(n.WaitStopped(ctx), n.Stop(ctx))
}

func newLogger(w io.Writer, log conf.Log) zerolog.Logger {
	level, err := zerolog.ParseLevel(log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if log.Format == "text" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
