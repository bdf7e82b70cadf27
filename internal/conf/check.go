package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Check returns Violations if a setting is invalid.
func (n *Node) Check() (err error) {
	violations, err := checkFields(n)
	if err != nil {
		return err
	}
	if n.Timing.Lease < 3*n.Timing.Heartbeat {
		violations = append(violations, Violation{
			Path: "timing.lease", Value: n.Timing.Lease.String(),
			Expected: fmt.Sprintf("at least three heartbeats, %s", 3*n.Timing.Heartbeat),
		})
	}
	if len(violations) == 0 {
		return nil
	}
	return violations
}

// checkFields returns a violation for each field whose value its validate tag
// does not allow.
func checkFields(target any) (violations Violations, err error) {
	var fieldErrors validator.ValidationErrors
	if err = newValidator().Struct(target); err != nil && !errors.As(err, &fieldErrors) {
		return nil, err
	}
	violations = make(Violations, 0, len(fieldErrors))
	for _, f := range fieldErrors {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		violations = append(violations, Violation{Path: path, Value: formatValue(f.Value()), Expected: expectedByTag(f)})
	}
	return violations, nil
}

// formatValue returns a value as it appears in a settings file, or the empty
// string if it is missing.
func formatValue(value any) string {
	if address, ok := value.(netip.AddrPort); ok && !address.IsValid() {
		return ""
	}
	return fmt.Sprint(value)
}

// expectedAddress describes the form of an address.
const expectedAddress = "an IP address and port such as 127.0.0.1:8080"

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	checks := []struct {
		tag   string
		check validator.Func
	}{
		{tag: "name", check: isName},
		{tag: "address", check: isAddress},
	}
	for _, c := range checks {
		if err := v.RegisterValidation(c.tag, c.check); err != nil {
			panic(err)
		}
	}
	return v
}

func isName(field validator.FieldLevel) bool {
	return mesh.CheckName(field.Field().String()) == nil
}

func isAddress(field validator.FieldLevel) bool {
	address, ok := field.Field().Interface().(netip.AddrPort)
	return ok && address.IsValid()
}

// expectedByTag describes the values that the failed check allows.
func expectedByTag(field validator.FieldError) string {
	switch field.Tag() {
	case "name":
		return "a name of lower-case letters, digits and inner hyphens"
	case "address":
		return expectedAddress
	case "min":
		return "at least " + field.Param()
	case "max":
		return "at most " + field.Param()
	case "oneof":
		return "one of " + strings.Join(slices.Sorted(slices.Values(strings.Fields(field.Param()))), ", ")
	default:
		return field.Tag()
	}
}
