package cmds

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
)

var versionCommand = command{
	Name:    "version",
	Summary: "prints the version of the program",
	Example: "version",
	Prepare: func(*flag.FlagSet) runFunc { return printVersion },
}

func printVersion(_ context.Context, c invocation) (err error) {
	if err = rejectArguments(c); err != nil {
		return err
	}
	version, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	_, err = fmt.Fprintf(c.out, "%s%s built with %s\n", program, revision, version)
	return err
}
