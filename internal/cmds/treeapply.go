package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var treeApplyCommand = command{
	Name:      "apply",
	Arguments: "FILE",
	Summary:   "applies a YAML file as one change; what the file does not name stays",
	Example:   "tree apply settings.yaml --dry-run",
	Prepare: func(flags *flag.FlagSet) action {
		f := newChangeFlags(flags)
		dry := flags.Bool("dry-run", false, "print what would change, and change nothing")
		return func(ctx context.Context, c call) error { return applyFile(ctx, c, f, *dry) }
	},
}

func applyFile(ctx context.Context, c call, f *changeFlags, dry bool) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if len(c.args) != 1 {
		return invalid("want one FILE")
	}
	file := c.args[0]
	document, err := readDocument(file)
	if err != nil {
		return err
	}
	if len(document.Edits) == 0 {
		return invalid("%s: nothing is set", file)
	}
	if dry {
		return dryRun(ctx, c, f.remote, file, document)
	}
	return f.submit(ctx, c, document.Edits, locator(file, document))
}

func readDocument(file string) (document *sheet.Document, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &invalidError{err: err}
	}
	if document, err = sheet.ParseYAML(data); err != nil {
		return nil, located(file, err)
	}
	return document, nil
}

// located names the file and the place of a syntax error.
func located(file string, err error) error {
	var syntax *sheet.SyntaxError
	if errors.As(err, &syntax) {
		return invalid("%s:%s", file, syntax)
	}
	return invalid("%s: %w", file, err)
}

// locator tells where the document sets what is at fault: the key, else what
// shares the beginning of the key, else the path.
func locator(file string, document *sheet.Document) func(fault tree.Violation) string {
	return func(fault tree.Violation) string {
		for key := fault.Key; key != ""; key = parentKey(key) {
			if position, ok := document.Locate(tree.Violation{Path: fault.Path, Key: key}); ok {
				return file + ":" + position.String()
			}
		}
		for i, e := range document.Edits {
			if e.Path == fault.Path {
				return file + ":" + document.Positions[i].String()
			}
		}
		return file
	}
}

func parentKey(key tree.Key) tree.Key {
	return key[:max(0, strings.LastIndexByte(string(key), '.'))]
}

// dryRun prints what the document would change, or why it would be refused.
func dryRun(ctx context.Context, c call, f remote, file string, document *sheet.Document) (err error) {
	body, err := f.client().Tree(ctx)
	if err != nil {
		return explain(err, nil)
	}
	present, err := parseTree([]byte(body.YAML))
	if err != nil {
		return err
	}
	edits, faults := tree.Normalize(document.Edits)
	next, err := present.Apply(edits)
	if err == nil && len(faults) == 0 {
		faults = next.Validate()
	}
	if len(faults) > 0 {
		return &invalidError{err: locateFaults(faults, locator(file, document))}
	}
	if err != nil {
		return invalid("%s: %w", file, err)
	}
	return printDifferences(c, f, differences(tree.Diff(present, next), tree.Diff(next, present)))
}

// locateFaults names each fault with its place.
func locateFaults(faults tree.Violations, locate func(fault tree.Violation) string) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("%s: %s", locate(f), f))
	}
	return errors.New(strings.Join(lines, "\n"))
}
