// Package conf holds the settings of one node, read from a YAML file with
// camel-case keys, and checks them.
package conf

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Node holds the settings of one node.
type Node struct {
	// Host names the upstream host; unique in the mesh.
	Host mesh.HostID `yaml:"host" validate:"name"`
	// Region and Zone are the location of the host.
	Region mesh.Region `yaml:"region" validate:"name"`
	Zone   mesh.Zone   `yaml:"zone" validate:"name"`
	// Listen holds the addresses of the node.
	Listen Listen `yaml:"listen"`
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort `yaml:"platform" validate:"address"`
	// PlatformRegion is the region of the platform; with it, changes are sent to
	// other regions as deltas. Empty if it is not known.
	PlatformRegion mesh.Region `yaml:"platformRegion" validate:"omitempty,name"`
	// Peers are nodes of the zone that the node joins while the platform is
	// unreachable.
	Peers []netip.AddrPort `yaml:"peers" validate:"max=64,dive,address"`
	// Customer is assumed for requests that name no customer; empty for none.
	Customer mesh.Customer `yaml:"customer" validate:"omitempty,name"`
	// Relays is the number of relay slots in each availability zone.
	Relays int `yaml:"relays" validate:"min=1,max=16"`
	// Timing holds the intervals of the control protocol.
	Timing Timing `yaml:"timing"`
	// Limits holds the resource limits of the node.
	Limits Limits `yaml:"limits"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// Listen holds the addresses of a node.
type Listen struct {
	// Callers is the address on which the node accepts requests.
	Callers netip.AddrPort `yaml:"callers" validate:"address"`
	// Nodes is the address on which the node accepts other nodes.
	Nodes netip.AddrPort `yaml:"nodes" validate:"address"`
	// Admin is the address of the admin API, used by the local upstream and by
	// operators.
	Admin netip.AddrPort `yaml:"admin" validate:"address"`
}

// Timing holds the intervals of the control protocol.
type Timing struct {
	// Heartbeat is the interval between the heartbeats of a node.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=100ms,max=1m"`
	// Lease is how long a relay slot stays held without renewal.
	Lease time.Duration `yaml:"lease" validate:"min=1s,max=5m"`
	// Stop bounds a graceful shutdown; calls still in progress then are cut off.
	Stop time.Duration `yaml:"stop" validate:"min=1s,max=10m"`
}

// Limits holds the resource limits of a node.
type Limits struct {
	// Memory is the soft memory limit of the Go runtime in bytes.
	Memory int64 `yaml:"memory" validate:"min=16777216,max=1099511627776"`
	// PlatformRate is the number of calls per second to the platform.
	PlatformRate float64 `yaml:"platformRate" validate:"min=0.1,max=1000"`
	// ClaimRate is the number of calls per second to the platform that claim
	// idempotency keys.
	ClaimRate float64 `yaml:"claimRate" validate:"min=0.1,max=1000"`
	// LinkRate is the number of bytes per second that calls may send to other
	// regions.
	LinkRate int `yaml:"linkRate" validate:"min=1024,max=1073741824"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Format is json, or text for human readers.
	Format string `yaml:"format" validate:"oneof=json text"`
}

// Default returns the settings that apply unless the file sets them.
func Default() Node {
	return Node{
		Relays: 3,
		Timing: Timing{Heartbeat: 2 * time.Second, Lease: 12 * time.Second, Stop: 30 * time.Second},
		Limits: Limits{Memory: 24 << 20, PlatformRate: 5, ClaimRate: 20, LinkRate: 1 << 20},
		Log:    Log{Level: "info", Format: "json"},
	}
}
