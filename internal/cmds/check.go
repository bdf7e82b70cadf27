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
	Summary:   "checks a file of node settings or of a settings tree and names every fault with its place",
	Example:   "check settings.yaml",
	Prepare: func(*flag.FlagSet) action {
		return func(_ context.Context, c call) error {
			if len(c.args) != 1 {
				return invalid("want one FILE")
			}
			return checkFile(c, c.args[0])
		}
	},
}

// treeStart finds the top-level keys of a settings tree, which node settings don't have.
var treeStart = regexp.MustCompile(`(?m)^(customers|settings)\s*:`)

func checkFile(c call, file string) (err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return &invalidError{err: err}
	}
	kind := "node settings"
	if treeStart.Match(data) {
		kind = "settings tree"
		err = checkTree(file, data)
	} else {
		_, err = conf.Load(file)
	}
	if err != nil {
		return &invalidError{err: err}
	}
	_, err = fmt.Fprintf(c.out, "%s: %s are valid\n", file, kind)
	return err
}

// checkTree names each fault with its place in the file.
func checkTree(file string, data []byte) (err error) {
	document, err := sheet.ParseYAML(data)
	if err != nil {
		return located(file, err)
	}
	edits, faults := tree.Normalize(document.Edits)
	whole, err := new(tree.Tree).Apply(edits)
	if err == nil && len(faults) == 0 {
		faults = whole.Validate()
	}
	var found tree.Violations
	if errors.As(err, &found) {
		faults = append(faults, found...)
	}
	if len(faults) > 0 {
		return locateFaults(faults, locator(file, document))
	}
	return err
}
