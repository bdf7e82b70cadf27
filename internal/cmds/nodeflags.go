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

// defaultAdmin is the admin address of a node with the documented ports.
const defaultAdmin = "127.0.0.1:8082"

// The forms of a command's output.
const (
	outputText = "text"
	outputJSON = "json"
	outputHTML = "html"
)

// remote holds the flags of commands that call a node.
type remote struct {
	node   *netip.AddrPort
	output *string
}

func remoteFlags(flags *flag.FlagSet) remote {
	return remote{
		node:   addressFlag(flags, "node", "admin `ADDRESS` of any node", defaultAdmin),
		output: flags.String("output", outputText, "`FORM` of the output: text or json"),
	}
}

func (r remote) client() *client.Client {
	return &client.Client{Address: *r.node}
}

// check refuses a form of output that the command does not have.
func (r remote) check() error {
	return checkOutput(*r.output, outputText, outputJSON)
}

func checkOutput(output string, allowed ...string) error {
	if !slices.Contains(allowed, output) {
		return invalid("--output %q must be %s", output, strings.Join(allowed, " or "))
	}
	return nil
}

// print writes the body as JSON, or by the function that writes text.
func (r remote) print(c call, body any, text func() error) (err error) {
	if *r.output != outputJSON {
		return text()
	}
	return printJSON(c, body)
}

func printJSON(c call, body any) (err error) {
	encoder := json.NewEncoder(c.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}

// versionFlag is a version that need not be given.
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
		return 0, invalid("version %q must be a number", text)
	}
	return mesh.Version(number), nil
}

// parsePath reads a path of the tree; an error is one of the user's input.
func parsePath(text string) (path tree.Path, err error) {
	if path, err = tree.ParsePath(text); err != nil {
		return path, &invalidError{err: err}
	}
	return path, nil
}

// explain turns a refusal into the text that an operator needs. The locator
// tells where a fault stands in a file; nil for none.
func explain(err error, locate func(fault tree.Violation) string) error {
	var refused *client.ProblemError
	if !errors.As(err, &refused) {
		return err
	}
	text := &strings.Builder{}
	switch refused.Problem.Code {
	case forms.CodeViolations:
		text.WriteString("refused whole, nothing was changed")
		for _, f := range refused.Problem.Violations {
			fault := tree.Violation(f)
			text.WriteString("\n  ")
			if locate != nil {
				text.WriteString(locate(fault) + ": ")
			}
			text.WriteString(fault.String())
		}
	case forms.CodeUnavailable:
		text.WriteString("the platform is unavailable, nothing was changed: " + refused.Problem.Message)
	case forms.CodeUnknown:
		text.WriteString("it is unknown whether the change was accepted, repeat it with the same --id: " + refused.Problem.Message)
	case forms.CodeConflict, forms.CodeRefused:
		text.WriteString("refused, nothing was changed: " + refused.Problem.Message)
	default:
		text.WriteString(refused.Problem.Message)
	}
	return &explainedError{text: text.String(), err: err}
}

// explainedError is an error with a text for operators.
type explainedError struct {
	text string
	err  error
}

func (e *explainedError) Error() string {
	return e.text
}

func (e *explainedError) Unwrap() error {
	return e.err
}
