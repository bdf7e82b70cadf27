package cmds

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

var treeHistoryCommand = command{
	Name:    "history",
	Summary: "lists the recent changes, the newest first",
	Example: "tree history",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		return func(ctx context.Context, c invocation) error { return showHistory(ctx, c, f) }
	},
}

func showHistory(ctx context.Context, c invocation, f nodeFlags) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if err = rejectArguments(c); err != nil {
		return err
	}
	body, err := f.client().History(ctx)
	if err != nil {
		return describeError(err, nil)
	}
	return f.print(c, body, func() error { return writeHistory(c, body) })
}

func writeHistory(c invocation, body forms.History) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VERSION\tAT\tAUTHOR\tEDITS\tID\tNOTE")
	for _, h := range body.Changes {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\t%s\n",
			h.Version, h.At.Format(time.RFC3339), h.Author, len(h.Edits), h.ID, h.Note)
	}
	return table.Flush()
}

var treeDiffCommand = command{
	Name:      "diff",
	Arguments: "FROM TO",
	Summary:   "prints the differences between two recent versions",
	Example:   "tree diff 4 7",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		return func(ctx context.Context, c invocation) error { return showDiff(ctx, c, f) }
	},
}

func showDiff(ctx context.Context, c invocation, f nodeFlags) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if len(c.args) != 2 {
		return newInputError("want two versions, FROM and TO")
	}
	from, err := parseVersion(c.args[0])
	if err != nil {
		return err
	}
	to, err := parseVersion(c.args[1])
	if err != nil {
		return err
	}
	body, err := f.client().History(ctx)
	if err != nil {
		return describeError(err, nil)
	}
	list, err := diffVersions(body, from, to)
	if err != nil {
		return err
	}
	return printDifferences(c, f, list)
}

// diffVersions returns the differences between two versions of the history.
func diffVersions(history forms.History, from, to mesh.Version) (list []difference, err error) {
	if from > to {
		list, err = diffVersions(history, to, from)
		for i, d := range list {
			list[i].Old, list[i].New = d.New, d.Old
		}
		return list, err
	}
	oldest := history.Version
	if n := len(history.Changes); n > 0 {
		oldest = history.Changes[n-1].Version - 1
	}
	if from < oldest || to > history.Version {
		return nil, newInputError("versions must be from %d to %d, which the history holds", oldest, history.Version)
	}
	var steps []difference
	for _, h := range slices.Backward(history.Changes) {
		if h.Version > from && h.Version <= to {
			steps = append(steps, changedValues(forms.ToTreeEdits(h.Edits), forms.ToTreeEdits(h.Inverse))...)
		}
	}
	return mergeDifferences(steps), nil
}
