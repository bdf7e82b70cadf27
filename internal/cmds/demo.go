package cmds

import (
	"context"
	"errors"
	"flag"
	"strings"

	"github.com/rs/zerolog"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/demo"
)

var demoCommand = command{
	Name:    "demo",
	Summary: "runs a small deployment in this process and checks its guarantees",
	Example: "demo --output json",
	Prepare: func(flags *flag.FlagSet) runFunc {
		deployment := flags.String("deployment", "trauerhaus", "`NAME` of the deployment: trauerhaus or kylvoelehti")
		output := flags.String("output", "table", "`FORMAT` of the result: table or json")
		verbose := flags.Bool("verbose", false, "print the logs of the nodes")
		return func(ctx context.Context, c invocation) error {
			if err := rejectArguments(c); err != nil {
				return err
			}
			return runDemo(ctx, c, *deployment, *output, *verbose)
		}
	},
}

func runDemo(ctx context.Context, c invocation, deployment, output string, verbose bool) (err error) {
	if output != "table" && output != "json" {
		return newInputError("--output %q must be table or json", output)
	}
	options := demo.Options{Deployment: deployment, Progress: c.errs, Logger: zerolog.Nop()}
	if verbose {
		options.Logger = newLogger(c.errs, conf.Log{Level: "info", Format: "text"})
	}
	result, err := demo.Run(ctx, options)
	if errors.Is(err, demo.ErrUnknownDeployment) {
		return &inputError{err: err}
	}
	if err != nil {
		return err
	}
	write := result.WriteTable
	if output == "json" {
		write = result.WriteJSON
	}
	if err = write(c.out); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errors.New("guarantees not met: " + strings.Join(result.Violations, "; "))
	}
	return nil
}
