package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// newRoot returns the root command for ffcli. Usage texts go to a separate writer,
// since package flag prints them with each error.
func newRoot(usage, out, errs io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(usage)
	root := &ffcli.Command{
		Name:       program,
		ShortUsage: program + " COMMAND [FLAGS] [ARGUMENTS]",
		FlagSet:    flags,
		UsageFunc:  func(*ffcli.Command) string { return helpText() },
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return newInputError("unknown command %q, see %s help", args[0], program)
			}
			return newInputError("no command given, see %s help", program)
		},
	}
	for _, c := range commands() {
		root.Subcommands = append(root.Subcommands, newCommand(program, c, usage, out, errs))
	}
	return root
}

// newCommand converts a command, and the commands of its group, for ffcli.
func newCommand(parent string, c command, usage, out, errs io.Writer) *ffcli.Command {
	name := parent + " " + c.Name
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(usage)
	adapted := &ffcli.Command{
		Name:       c.Name,
		ShortUsage: strings.TrimSpace(fmt.Sprintf("%s [FLAGS] %s", name, c.Arguments)),
		ShortHelp:  c.Summary,
		LongHelp:   c.Summary + "\n\nEXAMPLE\n  " + program + " " + c.Example,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
	}
	if c.Prepare == nil {
		adapted.ShortUsage, adapted.LongHelp = name+" COMMAND [FLAGS] [ARGUMENTS]", c.Summary
		adapted.Exec = func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return newInputError("unknown command %q, see %s -h", c.Name+" "+args[0], name)
			}
			return newInputError("no command given, see %s -h", name)
		}
		for _, s := range c.Commands {
			adapted.Subcommands = append(adapted.Subcommands, newCommand(name, s, usage, out, errs))
		}
		return adapted
	}
	run := c.Prepare(flags)
	adapted.Exec = func(ctx context.Context, args []string) error {
		rest, err := parseMixed(flags, args)
		if err != nil {
			return err
		}
		return run(ctx, invocation{args: rest, out: out, errs: errs})
	}
	return adapted
}

// parseMixed parses flags that follow positional arguments and returns the
// positional arguments.
func parseMixed(flags *flag.FlagSet, args []string) (rest []string, err error) {
	for len(args) > 0 {
		rest = append(rest, args[0])
		if err = flags.Parse(args[1:]); err != nil {
			return nil, &inputError{err: err}
		}
		args = flags.Args()
	}
	return rest, nil
}

// helpText returns the help text of the program, with all commands.
func helpText() string {
	text := &strings.Builder{}
	_, _ = fmt.Fprintf(text, `arbutusstep distributes configuration to the proxies of a service mesh.

USAGE
  %s COMMAND [FLAGS] [ARGUMENTS]

COMMANDS
`, program)
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		listCommand(table, "", c)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(text, `
Every command explains its flags with -h. A flag may be given in the environment
as %s_ and its name in capitals, such as %s_NODE for --node. The exit status is
2 for wrong usage or input, and 1 for any other failure.
`, envPrefix, envPrefix)
	return text.String()
}

func listCommand(table io.Writer, group string, c command) {
	name := strings.TrimSpace(group + " " + c.Name)
	for _, s := range c.Commands {
		listCommand(table, name, s)
	}
	if c.Prepare != nil {
		_, _ = fmt.Fprintf(table, "  %s\t%s\n  \t  %s %s\n", name, c.Summary, program, c.Example)
	}
}
