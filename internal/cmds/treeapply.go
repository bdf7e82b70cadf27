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
	Summary:   "applies a YAML file as one change; settings that the file does not name stay unchanged",
	Example:   "tree apply settings.yaml --dry-run",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newChangeFlags(flags)
		dry := flags.Bool("dry-run", false, "print what would change without changing it")
		return func(ctx context.Context, c invocation) error { return applyFile(ctx, c, f, *dry) }
	},
}

func applyFile(ctx context.Context, c invocation, f *changeFlags, dry bool) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if len(c.args) != 1 {
		return newInputError("want one FILE")
	}
	file := c.args[0]
	document, err := readDocument(file)
	if err != nil {
		return err
	}
	if len(document.Edits) == 0 {
		return newInputError("%s: nothing is set", file)
	}
	if dry {
		return dryRun(ctx, c, f.nodeFlags, file, document)
	}
	return f.submit(ctx, c, document.Edits, newLocator(file, document))
}

func readDocument(file string) (document *sheet.Document, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &inputError{err: err}
	}
	if document, err = sheet.ParseYAML(data); err != nil {
		return nil, withPosition(file, err)
	}
	return document, nil
}

// withPosition adds the file, and the position of a syntax error, to an error.
func withPosition(file string, err error) error {
	var syntax *sheet.SyntaxError
	if errors.As(err, &syntax) {
		return newInputError("%s:%s", file, syntax)
	}
	return newInputError("%s: %w", file, err)
}

// newLocator returns a function that locates an invalid setting in the document:
// at its key, else at the closest enclosing group, else at the first setting of
// its path.
func newLocator(file string, document *sheet.Document) func(violation tree.Violation) string {
	return func(violation tree.Violation) string {
		for key := violation.Key; key != ""; key = parentKey(key) {
			if position, ok := document.Locate(tree.Violation{Path: violation.Path, Key: key}); ok {
				return file + ":" + position.String()
			}
		}
		for i, e := range document.Edits {
			if e.Path == violation.Path {
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
func dryRun(ctx context.Context, c invocation, f nodeFlags, file string, document *sheet.Document) (err error) {
	body, err := f.client().Tree(ctx)
	if err != nil {
		return describeError(err, nil)
	}
	current, err := parseTree([]byte(body.YAML))
	if err != nil {
		return err
	}
	edits, violations := tree.Normalize(document.Edits)
	next, err := current.Apply(edits)
	if err == nil && len(violations) == 0 {
		violations = next.Validate()
	}
	if len(violations) > 0 {
		return &inputError{err: describeViolations(violations, newLocator(file, document))}
	}
	if err != nil {
		return newInputError("%s: %w", file, err)
	}
	return printDifferences(c, f, changedValues(tree.Diff(current, next), tree.Diff(next, current)))
}

// describeViolations lists the violations with their positions.
func describeViolations(violations tree.Violations, locate func(violation tree.Violation) string) error {
	lines := make([]string, 0, len(violations))
	for _, f := range violations {
		lines = append(lines, fmt.Sprintf("%s: %s", locate(f), f))
	}
	return errors.New(strings.Join(lines, "\n"))
}
