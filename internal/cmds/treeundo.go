package cmds

import (
	"context"
	"flag"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var treeUndoCommand = command{
	Name:      "undo",
	Arguments: "VERSION",
	Summary:   "undoes the change of a version by a new version that restores the replaced values",
	Example:   "tree undo 7 --wait",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newChangeFlags(flags)
		return func(ctx context.Context, c invocation) error { return undo(ctx, c, f) }
	},
}

func undo(ctx context.Context, c invocation, f *changeFlags) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if len(c.args) != 1 {
		return newInputError("want one VERSION")
	}
	version, err := parseVersion(c.args[0])
	if err != nil {
		return err
	}
	history, err := f.client().History(ctx)
	if err != nil {
		return describeError(err, nil)
	}
	entry, err := findEntry(history, version)
	if err != nil {
		return err
	}
	change := tree.Undo(tree.AcceptedChange{
		Change: tree.Change{ID: entry.ID}, Version: entry.Version, Inverse: forms.ToTreeEdits(entry.Inverse),
	}, mesh.ChangeID(*f.id), *f.author)
	if *f.note == "" {
		*f.note = change.Note
	}
	if !f.base.given {
		f.base = versionFlag{version: change.Base, given: true}
	}
	return f.submit(ctx, c, change.Edits, nil)
}

func findEntry(history forms.History, version mesh.Version) (entry forms.HistoryEntry, err error) {
	for _, h := range history.Changes {
		if h.Version == version {
			return h, nil
		}
	}
	return entry, newInputError("version %d is not in the history, see %s tree history", version, program)
}
