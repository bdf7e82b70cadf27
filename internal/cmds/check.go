package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var checkCommand = command{
	Name:      "check",
	Arguments: "FILE",
	Summary:   "checks a file of node settings or of a settings tree and reports every invalid setting with its position",
	Example:   "check settings.yaml",
	Prepare: func(*flag.FlagSet) runFunc {
		return func(_ context.Context, c invocation) error {
			if len(c.args) != 1 {
				return newInputError("want one FILE")
			}
			return checkFile(c, c.args[0])
		}
	},
}

// treeKeyPattern matches the top-level keys of a settings tree, which node
// settings do not have.
var treeKeyPattern = regexp.MustCompile(`(?m)^(customers|settings)\s*:`)

func checkFile(c invocation, file string) (err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return &inputError{err: err}
	}
	kind := "node settings"
	if treeKeyPattern.Match(data) {
		kind = "settings tree"
		err = checkTree(file, data)
	} else {
		_, err = conf.Load(file)
	}
	if err != nil {
		return &inputError{err: err}
	}
	_, err = fmt.Fprintf(c.out, "%s: %s are valid\n", file, kind)
	return err
}

// checkTree reports each invalid setting with its position in the file.
func checkTree(file string, data []byte) (err error) {
	document, err := sheet.ParseYAML(data)
	if err != nil {
		return withPosition(file, err)
	}
	edits, violations := tree.Normalize(document.Edits)
	whole, err := new(tree.Tree).Apply(edits)
	if err == nil && len(violations) == 0 {
		violations = whole.Validate()
	}
	var found tree.Violations
	if errors.As(err, &found) {
		violations = append(violations, found...)
	}
	if len(violations) > 0 {
		return describeViolations(violations, newLocator(file, document))
	}
	return err
}
