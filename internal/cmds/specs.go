package cmds

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"arbutusstep.example/arbutusstep/pkg/tree"
)

var specsCommand = command{
	Name:    "specs",
	Summary: "lists every setting of the tree with its allowed values, its default and a description",
	Example: "specs --output json",
	Prepare: func(flags *flag.FlagSet) runFunc {
		output := flags.String("output", outputText, "`FORMAT` of the output: text or json")
		return func(_ context.Context, c invocation) (err error) {
			if err = rejectArguments(c); err != nil {
				return err
			}
			if err = checkOutput(*output, outputText, outputJSON); err != nil {
				return err
			}
			return showSpecs(c, *output)
		}
	},
}

// specLine describes one setting.
type specLine struct {
	Key     string   `json:"key"`
	Kind    string   `json:"kind"`
	Want    string   `json:"want"`
	Default string   `json:"default"`
	Levels  []string `json:"levels"`
	Local   bool     `json:"local"`
	Doc     string   `json:"doc"`
}

func showSpecs(c invocation, output string) (err error) {
	specs := tree.Specs()
	lines := make([]specLine, 0, len(specs))
	for _, s := range specs {
		line := specLine{
			Key: s.Pattern, Kind: s.Kind.String(), Want: s.Expected(), Default: s.Default, Local: s.Local, Doc: s.Doc,
		}
		for _, l := range s.Levels {
			line.Levels = append(line.Levels, l.String())
		}
		lines = append(lines, line)
	}
	if output == outputJSON {
		return printJSON(c, lines)
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "KEY\tDEFAULT\tWANT\tDOES")
	for _, l := range lines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", l.Key, l.Default, l.Want, l.Doc)
	}
	return table.Flush()
}
