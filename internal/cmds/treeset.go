package cmds

import (
	"context"
	"flag"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/tree"
)

var treeSetCommand = command{
	Name:      "set",
	Arguments: "PATH KEY=VALUE ...",
	Summary:   "sets values at a path, as one change",
	Example:   "tree set trauerhaus/ch-west timeout=4s retry.attempts=2 --note 'shorter waits' --wait",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newChangeFlags(flags)
		return func(ctx context.Context, c invocation) (err error) {
			return editPath(ctx, c, f, "KEY=VALUE", parseAssignment)
		}
	},
}

var treeUnsetCommand = command{
	Name:      "unset",
	Arguments: "PATH KEY ...",
	Summary:   "unsets values at a path, so that they are inherited again, as one change",
	Example:   "tree unset trauerhaus/ch-west timeout",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newChangeFlags(flags)
		return func(ctx context.Context, c invocation) error {
			return editPath(ctx, c, f, "KEY", parseKey)
		}
	},
}

// editPath submits one edit for each argument after the path.
func editPath(
	ctx context.Context, c invocation, f *changeFlags, form string, parse func(text string) (tree.Edit, error),
) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if len(c.args) < 2 {
		return newInputError("want a PATH and at least one %s", form)
	}
	path, err := parsePath(c.args[0])
	if err != nil {
		return err
	}
	edits := make([]tree.Edit, 0, len(c.args)-1)
	for _, text := range c.args[1:] {
		edit, errParse := parse(text)
		if errParse != nil {
			return errParse
		}
		edit.Path = path
		edits = append(edits, edit)
	}
	return f.submit(ctx, c, edits, nil)
}

func parseAssignment(text string) (edit tree.Edit, err error) {
	key, value, found := strings.Cut(text, "=")
	if !found || key == "" {
		return edit, newInputError("%q must be KEY=VALUE", text)
	}
	return tree.Edit{Key: tree.Key(key), Value: value}, nil
}

func parseKey(text string) (edit tree.Edit, err error) {
	if strings.Contains(text, "=") {
		return edit, newInputError("%q must be a KEY alone", text)
	}
	return tree.Edit{Key: tree.Key(text), Unset: true}, nil
}
