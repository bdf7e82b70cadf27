// Package mesh defines the basic types that all other packages share: names,
// locations, priorities, versions and digests. It does no I/O.
package mesh

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Customer is the name of a customer, the first level below the root of the
// settings tree.
type Customer string

// Region is the name of a region, which consists of one or more availability zones.
type Region string

// Zone is the name of an availability zone.
type Zone string

// Service is the name of a service, unique within its customer.
type Service string

// Account is the name of a client account, which identifies itself by a key.
type Account string

// Release is the version of the software of an upstream; empty if it reports none.
type Release string

// HostID identifies an upstream host and the node that runs on it.
type HostID string

// Place is the location of a host. On a running node both fields are set.
type Place struct {
	Region Region
	// Zone belongs to Region.
	Zone Zone
}

// String returns the place in the form "region/zone".
func (p Place) String() string {
	return string(p.Region) + "/" + string(p.Zone)
}

// ServiceID identifies a service among the services of all customers.
type ServiceID struct {
	// Customer is the owner of the service.
	Customer Customer
	Service  Service
}

// String returns the ID in the form "customer/service".
func (s ServiceID) String() string {
	return string(s.Customer) + "/" + string(s.Service)
}

// MaxNameLength is the longest name that CheckName accepts, in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// CheckName returns an error if a name is not valid in the settings tree, in the
// announcement of an upstream or in a node's settings file. A valid name consists
// of lower-case letters, digits and inner hyphens and has at most MaxNameLength
// bytes.
func CheckName(name string) error {
	if len(name) > MaxNameLength {
		return fmt.Errorf("name of %d bytes exceeds %d", len(name), MaxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q must be lower-case letters, digits and inner hyphens", name)
	}
	return nil
}

// CheckAddress returns an error if connections to the address are impossible: if it is
// missing, its port is 0, or its IP address names no single host.
func CheckAddress(address netip.AddrPort) error {
	switch ip := address.Addr(); {
	case !ip.IsValid():
		return fmt.Errorf("address is missing")
	case address.Port() == 0:
		return fmt.Errorf("address %s has port 0", address)
	case ip.IsUnspecified() || ip.IsMulticast():
		return fmt.Errorf("address %s does not name a host", address)
	}
	return nil
}

// ParseServiceID parses an ID in the form "customer/service" and validates its names.
func ParseServiceID(text string) (id ServiceID, err error) {
	customer, service, found := strings.Cut(text, "/")
	if !found {
		return id, fmt.Errorf("service %q must have the form customer/service", text)
	}
	for _, name := range []string{customer, service} {
		if err = CheckName(name); err != nil {
			return id, err
		}
	}
	return ServiceID{Customer: Customer(customer), Service: Service(service)}, nil
}
