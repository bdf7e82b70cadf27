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
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = time.Second
	// logLines bounds the log lines that wait to be written.
	logLines = 2000
)

var proxyCommand = command{
	Name:      "proxy",
	Arguments: "--config FILE",
	Summary:   "runs the proxy beside one upstream on the users' platform",
	Example:   "proxy --config proxy.yaml",
	Prepare: func(flags *flag.FlagSet) action {
		file := flags.String("config", "", "settings `FILE` in YAML")
		return func(ctx context.Context, c call) error { return runProxy(ctx, c, *file) }
	},
}

func runProxy(ctx context.Context, c call, file string) (err error) {
	if err = noArguments(c); err != nil {
		return err
	}
	if file == "" {
		return invalid("--config is missing")
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	settings, err := conf.LoadProxy(file, func(*conf.Proxy) {})
	if err != nil {
		return &invalidError{err: err}
	}
	debug.SetMemoryLimit(settings.Limits.Memory)
	lines := newLines(c.out)
	defer func() { err = errors.Join(err, lines.Close()) }()
	logger := newLogger(lines, settings.Log).With().Str("host", string(settings.Host)).Logger()
	p, err := proxy.Start(settings, usersPlatform(), logger)
	if err != nil {
		return err
	}
	listen := p.Addresses()
	logger.Info().Stringer("callers", listen.Callers).Stringer("nodes", listen.Nodes).Stringer("admin", listen.Admin).
		Stringer("ready", listen.Ready).Str("service", string(settings.Service)).Str("zone", string(settings.Zone)).Msg("started")
	watchSettings(ctx, p, file, hangup, logger)
	return stopProxy(p, logger)
}

// usersPlatform is the platform of the users.
func usersPlatform() proxy.Platform {
	return proxy.Platform{
		Objects: platform.ObjectCodec{}, VersionKind: platform.ConfigKind, RecordKind: platform.NodeKind,
		DecodePlan: platform.DecodePlan, Headers: platform.HeaderCodec{}, Registrations: platform.RegistrationCodec{},
	}
}

// watchSettings applies changed settings until the context ends.
func watchSettings(ctx context.Context, p *proxy.Proxy, file string, hangup <-chan os.Signal, logger zerolog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	changed := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			logger.Info().Msg("reloadAsked")
		case <-ticker.C:
			if now := modified(file); now == changed {
				continue
			}
		}
		changed = modified(file)
		settings, err := conf.LoadProxy(file, func(*conf.Proxy) {})
		if err != nil {
			logger.Error().Err(err).Msg("settingsRefused")
			continue
		}
		p.ApplySettings(settings)
	}
}

// modified returns what tells that a file changed.
func modified(file string) (stamp struct {
	at   time.Time
	size int64
},
) {
	if info, err := os.Stat(file); err == nil {
		stamp.at, stamp.size = info.ModTime(), info.Size()
	}
	// A file that can't be looked at counts as unchanged content; reading it tells why.
	return stamp
}

func stopProxy(p *proxy.Proxy, logger zerolog.Logger) error {
	begun := time.Now()
	logger.Info().Msg("stopping")
	p.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), p.StopDeadline(begun))
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.Stop(ctx) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		// What still runs ends with the process.
		err = ctx.Err()
	}
	logger.Info().AnErr("error", err).Dur("took", time.Since(begun)).Msg("stopped")
	return err
}

// newLines returns a writer that never blocks: lines that the output does not
// take in time are dropped and counted.
func newLines(w io.Writer) diode.Writer {
	return diode.NewWriter(w, logLines, 0, func(missed int) {
		_, _ = io.WriteString(w, `{"level":"warn","message":"logLinesDropped","lines":`+strconv.Itoa(missed)+"}\n")
	})
}
