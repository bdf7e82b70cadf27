// Package cmds holds the commands of the program, one file a command.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"arbutusstep.example/arbutusstep/internal/client"
	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/forms"
)

// program is the name that starts each error line.
const program = "arbutusstep"

// envPrefix starts the environment variables that stand for flags.
const envPrefix = "ARBUTUSSTEP"

// The exit statuses of the program.
const (
	statusDone    = 0
	statusFailed  = 1
	statusInvalid = 2
)

// command is one command of the program, or a group of commands.
type command struct {
	// Name is one word.
	Name string
	// Arguments stand after the name in the usage line.
	Arguments string
	// Summary is one line without a full stop.
	Summary string
	// Example is a call without the program's name; empty for a group.
	Example string
	// Prepare registers the command's flags and returns its action; nil for a group.
	Prepare func(flags *flag.FlagSet) action
	// Commands are those of a group.
	Commands []command
}

// action runs a command with the arguments that stand beside the flags.
type action func(ctx context.Context, c call) error

// call is one run of a command.
type call struct {
	args []string
	out  io.Writer
	errs io.Writer
}

// commands lists every command in the order of the help.
func commands() []command {
	return []command{
		demoCommand,
		nodeCommand,
		proxyCommand,
		explainCommand,
		platformCommand,
		upstreamCommand,
		treeCommand,
		rolloutCommand,
		statusCommand,
		fleetCommand,
		drainCommand,
		reportCommand,
		specsCommand,
		checkCommand,
		versionCommand,
	}
}

// invalidError is an error of the user's input, which ends with status 2.
type invalidError struct {
	err error
}

func (e *invalidError) Error() string {
	return e.err.Error()
}

func (e *invalidError) Unwrap() error {
	return e.err
}

// invalid makes an error of the user's input.
func invalid(format string, args ...any) error {
	return &invalidError{err: fmt.Errorf(format, args...)}
}

// Main runs the command that the arguments name and returns the exit status.
func Main(args []string, out, errs io.Writer) (status int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if len(args) > 0 && args[0] == "help" {
		args = append(args[1:len(args):len(args)], "-h")
	}
	usage := &strings.Builder{}
	root := newRoot(usage, out, errs)
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = &invalidError{err: err}
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(out, usage.String())
		return statusDone
	}
	if err != nil {
		_, _ = fmt.Fprintf(errs, "%s: %v\n", program, err)
	}
	return statusOf(err)
}

func statusOf(err error) (status int) {
	var (
		wrong   *invalidError
		faults  conf.Violations
		refused *client.ProblemError
		group   ffcli.NoExecError
	)
	switch {
	case err == nil:
		return statusDone
	case errors.As(err, &wrong), errors.As(err, &faults), errors.As(err, &group):
		return statusInvalid
	case errors.As(err, &refused) && (refused.Problem.Code == forms.CodeInvalid || refused.Problem.Code == forms.CodeViolations):
		return statusInvalid
	default:
		return statusFailed
	}
}

// noArguments refuses arguments that a command does not take.
func noArguments(c call) error {
	if len(c.args) > 0 {
		return invalid("unexpected argument %q", c.args[0])
	}
	return nil
}
