package cmds

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/proxy"
	"arbutusstep.example/arbutusstep/platform"
)

const (
	// reloadInterval is the interval at which the settings file is checked for
	// changes.
	reloadInterval = time.Second
	// logBufferLines bounds the number of log lines that are buffered for output.
	logBufferLines = 2000
)

var proxyCommand = command{
	Name:      "proxy",
	Arguments: "--config FILE",
	Summary:   "runs the proxy beside one upstream on the users' platform",
	Example:   "proxy --config proxy.yaml",
	Prepare: func(flags *flag.FlagSet) runFunc {
		file := flags.String("config", "", "settings `FILE` in YAML")
		return func(ctx context.Context, c invocation) error { return runProxy(ctx, c, *file) }
	},
}

func runProxy(ctx context.Context, c invocation, file string) (err error) {
	if err = rejectArguments(c); err != nil {
		return err
	}
	if file == "" {
		return newInputError("--config is missing")
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	settings, err := conf.LoadProxy(file, func(*conf.Proxy) {})
	if err != nil {
		return &inputError{err: err}
	}
	debug.SetMemoryLimit(settings.Limits.HeapBytes())
	logWriter := newLogWriter(c.out)
	defer func() { err = errors.Join(err, logWriter.Close()) }()
	logger := newLogger(logWriter, settings.Log).With().Str("host", string(settings.Host)).Logger()
	p, err := proxy.Start(settings, newPlatform(), logger)
	if err != nil {
		return err
	}
	listen := p.Addresses()
	logger.Info().Stringer("callers", listen.Callers).Stringer("nodes", listen.Nodes).Stringer("admin", listen.Admin).
		Stringer("ready", listen.Ready).Str("service", string(settings.Service)).Str("zone", string(settings.Zone)).Msg("started")
	watchSettings(ctx, p, file, hangup, logger)
	return stopProxy(p, logger)
}

// newPlatform returns the adapters to the users' platform.
func newPlatform() proxy.Platform {
	return proxy.Platform{
		Objects: platform.ObjectCodec{}, VersionKind: platform.ConfigKind, RecordKind: platform.NodeKind,
		Rollouts:   proxy.Rollouts{Kind: platform.RolloutKind, EncodeStatus: platform.EncodeRolloutStatus, Decode: platform.DecodeRollout},
		DecodePlan: platform.DecodePlan, RedactPlan: platform.RedactConfig, Headers: platform.HeaderCodec{}, Registrations: platform.RegistrationCodec{},
	}
}

// watchSettings reloads the settings file when it changes or on SIGHUP, until the
// context ends.
func watchSettings(ctx context.Context, p *proxy.Proxy, file string, hangup <-chan os.Signal, logger zerolog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := fileState(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			logger.Info().Msg("reloadAsked")
		case <-ticker.C:
			if now := fileState(file); now == last {
				continue
			}
		}
		last = fileState(file)
		settings, err := conf.LoadProxy(file, func(*conf.Proxy) {})
		if err != nil {
			logger.Error().Err(err).Msg("settingsRefused")
			continue
		}
		p.ApplySettings(settings)
	}
}

// fileState returns the modification time and size of a file, by which changes are
// detected.
func fileState(file string) (state struct {
	at   time.Time
	size int64
},
) {
	if info, err := os.Stat(file); err == nil {
		state.at, state.size = info.ModTime(), info.Size()
	}
	// If the file can't be examined the result is zero; loading it reports why.
	return state
}

func stopProxy(p *proxy.Proxy, logger zerolog.Logger) error {
	started := time.Now()
	logger.Info().Msg("stopping")
	p.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), p.StopDeadline(started))
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.Stop(ctx) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		// Calls still in progress end with the process.
		err = ctx.Err()
	}
	logger.Info().AnErr("error", err).Dur("took", time.Since(started)).Msg("stopped")
	return err
}

// newLogWriter returns a log writer that never blocks: lines that the output does
// not accept in time are dropped and counted.
func newLogWriter(w io.Writer) diode.Writer {
	return diode.NewWriter(w, logBufferLines, 0, func(missed int) {
		_, _ = io.WriteString(w, `{"level":"warn","message":"logLinesDropped","lines":`+strconv.Itoa(missed)+"}\n")
	})
}
