// Package tree implements the settings tree: customers, regions and services
// inherit settings from the level above and override individual values. It also
// decides which changes to the tree are accepted. It does no I/O and takes the
// current time as an argument. Its only codec is the canonical chunk encoding,
// from which digests are computed.
package tree

import (
	"fmt"
	"strings"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Level is the depth of a path in the tree.
type Level uint8

// The levels, from the root down.
const (
	RootLevel Level = iota
	CustomerLevel
	RegionLevel
	ServiceLevel
)

const (
	numLevels     = 4
	pathSeparator = "/"
)

var levelNames = [numLevels]string{"root", "customer", "region", "service"}

// String returns the name of the level.
func (l Level) String() string {
	if int(l) >= len(levelNames) {
		return fmt.Sprintf("level(%d)", uint8(l))
	}
	return levelNames[l]
}

// Path identifies a position in the tree: "" for the root, "customer",
// "customer/region" or "customer/region/service".
type Path string

// ParsePath parses and validates a path. It accepts one leading slash and removes it.
func ParsePath(text string) (path Path, err error) {
	path = Path(strings.TrimPrefix(text, pathSeparator))
	if path == "" {
		return path, nil
	}
	names := strings.SplitN(string(path), pathSeparator, numLevels)
	if len(names) >= numLevels {
		return "", fmt.Errorf("path %q has more than %d names", text, numLevels-1)
	}
	for _, n := range names {
		if err = mesh.CheckName(n); err != nil {
			return "", fmt.Errorf("path %q: %w", text, err)
		}
	}
	return path, nil
}

// Join builds a path from its names and ignores everything after the first empty one.
func Join(customer mesh.Customer, region mesh.Region, service mesh.Service) Path {
	switch {
	case customer == "":
		return ""
	case region == "":
		return Path(customer)
	case service == "":
		return Path(string(customer) + pathSeparator + string(region))
	default:
		return Path(string(customer) + pathSeparator + string(region) + pathSeparator + string(service))
	}
}

// Level returns the depth of the path.
func (p Path) Level() Level {
	if p == "" {
		return RootLevel
	}
	return Level(1 + strings.Count(string(p), pathSeparator))
}

// Parent returns the path one level up; the root is its own parent.
func (p Path) Parent() Path {
	if i := strings.LastIndex(string(p), pathSeparator); i >= 0 {
		return p[:i]
	}
	return ""
}

// Customer returns the first name of the path, empty for the root.
func (p Path) Customer() mesh.Customer {
	customer, _, _ := strings.Cut(string(p), pathSeparator)
	return mesh.Customer(customer)
}

// Region returns the second name of the path, empty above RegionLevel.
func (p Path) Region() mesh.Region {
	_, rest, _ := strings.Cut(string(p), pathSeparator)
	region, _, _ := strings.Cut(rest, pathSeparator)
	return mesh.Region(region)
}

// Service returns the third name of the path, empty above ServiceLevel.
func (p Path) Service() mesh.Service {
	if p.Level() != ServiceLevel {
		return ""
	}
	return mesh.Service(p[strings.LastIndex(string(p), pathSeparator)+1:])
}

// Scope returns the path whose chunk stores the values of p. The chunk of a
// region also stores the values of its services; every other path is its own
// scope.
func (p Path) Scope() Path {
	if p.Level() == ServiceLevel {
		return p.Parent()
	}
	return p
}

// String returns the path with a leading slash, the form shown to operators.
func (p Path) String() string {
	return pathSeparator + string(p)
}
