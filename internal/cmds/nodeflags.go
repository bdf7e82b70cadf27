package cmds

import (
	"encoding/json"
	"errors"
	"flag"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"arbutusstep.example/arbutusstep/internal/client"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// defaultAdminAddress is the default address of a node's admin API.
const defaultAdminAddress = "127.0.0.1:8082"

// The output formats of commands.
const (
	outputText = "text"
	outputJSON = "json"
	outputHTML = "html"
)

// nodeFlags holds the flags of the commands that call a node.
type nodeFlags struct {
	node   *netip.AddrPort
	output *string
}

func newNodeFlags(flags *flag.FlagSet) nodeFlags {
	return nodeFlags{
		node:   addressFlag(flags, "node", "admin `ADDRESS` of any node", defaultAdminAddress),
		output: flags.String("output", outputText, "`FORMAT` of the output: text or json"),
	}
}

func (f nodeFlags) client() *client.Client {
	return &client.Client{Address: *f.node}
}

// check rejects output formats that the command does not support.
func (f nodeFlags) check() error {
	return checkOutput(*f.output, outputText, outputJSON)
}

func checkOutput(output string, allowed ...string) error {
	if !slices.Contains(allowed, output) {
		return newInputError("--output %q must be %s", output, strings.Join(allowed, " or "))
	}
	return nil
}

// print writes the body as JSON, or calls text to write it as text.
func (f nodeFlags) print(c invocation, body any, text func() error) (err error) {
	if *f.output != outputJSON {
		return text()
	}
	return printJSON(c, body)
}

func printJSON(c invocation, body any) (err error) {
	encoder := json.NewEncoder(c.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}

// versionFlag is an optional version.
type versionFlag struct {
	version mesh.Version
	given   bool
}

// String implements flag.Value.
func (v *versionFlag) String() string {
	if !v.given {
		return ""
	}
	return strconv.FormatUint(uint64(v.version), 10)
}

// Set implements flag.Value.
func (v *versionFlag) Set(text string) (err error) {
	v.version, err = parseVersion(text)
	v.given = err == nil
	return err
}

func parseVersion(text string) (version mesh.Version, err error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newInputError("version %q must be a number", text)
	}
	return mesh.Version(number), nil
}

// parsePath parses a path of the settings tree.
func parsePath(text string) (path tree.Path, err error) {
	if path, err = tree.ParsePath(text); err != nil {
		return path, &inputError{err: err}
	}
	return path, nil
}

// describeError adds a message for operators to a problem that the node reported.
// The function locate returns the position of an invalid setting in a file; nil
// if there is no file.
func describeError(err error, locate func(violation tree.Violation) string) error {
	var problem *client.ProblemError
	if !errors.As(err, &problem) {
		return err
	}
	text := &strings.Builder{}
	switch problem.Problem.Code {
	case forms.CodeViolations:
		text.WriteString("refused whole, nothing was changed")
		for _, v := range problem.Problem.Violations {
			violation := tree.Violation(v)
			text.WriteString("\n  ")
			if locate != nil {
				text.WriteString(locate(violation) + ": ")
			}
			text.WriteString(violation.String())
		}
	case forms.CodeUnavailable:
		text.WriteString("the platform is unavailable, nothing was changed: " + problem.Problem.Message)
	case forms.CodeUnknown:
		text.WriteString("it is unknown whether the change was accepted, repeat it with the same --id: " + problem.Problem.Message)
	case forms.CodeConflict, forms.CodeRefused:
		text.WriteString("refused, nothing was changed: " + problem.Problem.Message)
	default:
		text.WriteString(problem.Problem.Message)
	}
	return &describedError{text: text.String(), err: err}
}

// describedError is an error with a message for operators.
type describedError struct {
	text string
	err  error
}

func (e *describedError) Error() string {
	return e.text
}

func (e *describedError) Unwrap() error {
	return e.err
}
