package cmds

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var treeCommand = command{
	Name:    "tree",
	Summary: "reads and changes the settings tree",
	Commands: []command{
		treeShowCommand, treeEffectiveCommand, treeSetCommand, treeUnsetCommand, treeApplyCommand,
		treeHistoryCommand, treeDiffCommand, treeUndoCommand,
	},
}

var treeShowCommand = command{
	Name:      "show",
	Arguments: "[PATH]",
	Summary:   "prints the settings tree, or the part at and below a path, as YAML",
	Example:   "tree show trauerhaus/ch-west",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		return func(ctx context.Context, c invocation) error { return showTree(ctx, c, f) }
	},
}

func showTree(ctx context.Context, c invocation, f nodeFlags) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if len(c.args) > 1 {
		return newInputError("want at most one PATH")
	}
	path := tree.Path("")
	if len(c.args) == 1 {
		if path, err = parsePath(c.args[0]); err != nil {
			return err
		}
	}
	body, err := f.client().Tree(ctx)
	if err != nil {
		return describeError(err, nil)
	}
	if path != "" {
		if body.YAML, err = subtree(body.YAML, path); err != nil {
			return err
		}
	}
	return f.print(c, body, func() error {
		_, errPrint := fmt.Fprintf(c.out, "# version %d\n%s", body.Version, body.YAML)
		return errPrint
	})
}

// subtree returns the part of the document at and below the path.
func subtree(text string, path tree.Path) (part string, err error) {
	whole, err := parseTree([]byte(text))
	if err != nil {
		return "", err
	}
	edits := tree.Diff(nil, whole)
	kept := edits[:0]
	for _, e := range edits {
		if e.Path == path || strings.HasPrefix(string(e.Path), string(path)+"/") {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return "", newInputError("nothing is set at or below %s", path)
	}
	selected, err := new(tree.Tree).Apply(kept)
	if err != nil {
		return "", err
	}
	data, err := sheet.RenderYAML(selected)
	return string(data), err
}

func parseTree(text []byte) (settings *tree.Tree, err error) {
	document, err := sheet.ParseYAML(text)
	if err != nil {
		return nil, err
	}
	return new(tree.Tree).Apply(document.Edits)
}

var treeEffectiveCommand = command{
	Name:      "effective",
	Arguments: "PATH",
	Summary:   "prints the effective settings of a path, each with the level that sets it",
	Example:   "tree effective trauerhaus/ch-west/notices",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		return func(ctx context.Context, c invocation) error { return showEffective(ctx, c, f) }
	},
}

func showEffective(ctx context.Context, c invocation, f nodeFlags) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if len(c.args) != 1 {
		return newInputError("want one PATH, / for the root")
	}
	path, err := parsePath(c.args[0])
	if err != nil {
		return err
	}
	body, err := f.client().Effective(ctx, path)
	if err != nil {
		return describeError(err, nil)
	}
	return f.print(c, body, func() error { return writeEffective(c, body) })
}

func writeEffective(c invocation, body forms.Effective) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "KEY\tVALUE\tFROM")
	for _, o := range body.Origins {
		from := o.From.String()
		if o.Default {
			from = "default"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", o.Key, o.Value, from)
	}
	return table.Flush()
}
