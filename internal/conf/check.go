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

// Check returns Violations when a setting is not allowed.
func (n *Node) Check() (err error) {
	faults, err := checkFields(n)
	if err != nil {
		return err
	}
	if n.Timing.Lease < 3*n.Timing.Heartbeat {
		faults = append(faults, Violation{
			Path: "timing.lease", Value: n.Timing.Lease.String(),
			Expected: fmt.Sprintf("at least three heartbeats, %s", 3*n.Timing.Heartbeat),
		})
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// checkFields returns a fault for each field that its tag does not allow.
func checkFields(target any) (faults Violations, err error) {
	var found validator.ValidationErrors
	if err = newValidator().Struct(target); err != nil && !errors.As(err, &found) {
		return nil, err
	}
	faults = make(Violations, 0, len(found))
	for _, f := range found {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		faults = append(faults, Violation{Path: path, Value: written(f.Value()), Expected: wanted(f)})
	}
	return faults, nil
}

// written returns a setting as it stands in a file; one that is missing is empty.
func written(value any) string {
	if address, ok := value.(netip.AddrPort); ok && !address.IsValid() {
		return ""
	}
	return fmt.Sprint(value)
}

// wantAddress says what an address must be.
const wantAddress = "an IP address and port such as 127.0.0.1:8080"

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

// wanted says in words what a failed check allows.
func wanted(fault validator.FieldError) string {
	switch fault.Tag() {
	case "name":
		return "a name of lower-case letters, digits and inner hyphens"
	case "address":
		return wantAddress
	case "min":
		return "at least " + fault.Param()
	case "max":
		return "at most " + fault.Param()
	case "oneof":
		return "one of " + strings.Join(slices.Sorted(slices.Values(strings.Fields(fault.Param()))), ", ")
	default:
		return fault.Tag()
	}
}
