// Package cmds implements the commands of the program, one file per command.
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

// program is the name of the program, with which each error line starts.
const program = "arbutusstep"

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "ARBUTUSSTEP"

// The exit statuses of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is a command of the program, or a group of commands.
type command struct {
	// Name is one word.
	Name string
	// Arguments follow the name in the usage line.
	Arguments string
	// Summary is one line without a full stop.
	Summary string
	// Example is an invocation without the name of the program; empty for a group.
	Example string
	// Prepare registers the flags of the command and returns the function that runs
	// it; nil for a group.
	Prepare func(flags *flag.FlagSet) runFunc
	// Commands are the commands of a group.
	Commands []command
}

// runFunc runs a command.
type runFunc func(ctx context.Context, c invocation) error

// invocation holds the arguments and the output streams of one invocation.
type invocation struct {
	args []string
	out  io.Writer
	errs io.Writer
}

// commands returns all commands in the order in which the help lists them.
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

// inputError reports invalid input of the user; the exit status is 2.
type inputError struct {
	err error
}

func (e *inputError) Error() string {
	return e.err.Error()
}

func (e *inputError) Unwrap() error {
	return e.err
}

// newInputError returns an inputError with a formatted message.
func newInputError(format string, args ...any) error {
	return &inputError{err: fmt.Errorf(format, args...)}
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
		err = &inputError{err: err}
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(out, usage.String())
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(errs, "%s: %v\n", program, err)
	}
	return exitStatus(err)
}

func exitStatus(err error) (status int) {
	var (
		input      *inputError
		violations conf.Violations
		problem    *client.ProblemError
		group      ffcli.NoExecError
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &input), errors.As(err, &violations), errors.As(err, &group):
		return exitUsage
	case errors.As(err, &problem) && (problem.Problem.Code == forms.CodeInvalid || problem.Problem.Code == forms.CodeViolations):
		return exitUsage
	default:
		return exitFailed
	}
}

// rejectArguments rejects arguments of a command that takes none.
func rejectArguments(c invocation) error {
	if len(c.args) > 0 {
		return newInputError("unexpected argument %q", c.args[0])
	}
	return nil
}
