// Package forms defines the JSON bodies of a node's admin API, which the node
// and the commands that call it share.
package forms

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Edit sets or removes one value of the settings tree.
type Edit struct {
	Path  tree.Path `json:"path"`
	Key   tree.Key  `json:"key"`
	Value string    `json:"value,omitempty"`
	Unset bool      `json:"unset,omitempty"`
}

// Change requests a change of the settings tree, which is applied as a whole or
// not at all.
type Change struct {
	// ID is chosen by the client; a change is accepted once for each ID.
	ID     mesh.ChangeID `json:"id"`
	Author string        `json:"author"`
	Note   string        `json:"note,omitempty"`
	// Base is the version that the change builds on.
	Base  mesh.Version `json:"base"`
	Edits []Edit       `json:"edits"`
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Version mesh.Version `json:"version"`
}

// Violation is one reason why a change is refused.
type Violation struct {
	Path     tree.Path `json:"path"`
	Key      tree.Key  `json:"key,omitempty"`
	Value    string    `json:"value,omitempty"`
	Expected string    `json:"want"`
}

// The codes of failures.
const (
	// CodeInvalid means that the request is malformed or too large.
	CodeInvalid = "invalid"
	// CodeViolations means that settings in the change are invalid; the problem
	// lists them.
	CodeViolations = "faults"
	// CodeConflict means that another accepted change touches the same settings.
	CodeConflict = "clash"
	// CodeRefused means that the change builds on an unknown version, reuses an ID,
	// or changes nothing.
	CodeRefused = "refused"
	// CodeUnavailable means that the platform can't be reached; nothing was changed.
	CodeUnavailable = "unavailable"
	// CodeUnknown means that the platform did not answer; the change may have been
	// accepted.
	CodeUnknown = "unknown"
	// CodeFailed means any other failure.
	CodeFailed = "failed"
)

// Problem is the response to a request that failed.
type Problem struct {
	// Code is one of the Code constants.
	Code       string      `json:"code"`
	Message    string      `json:"message"`
	Violations []Violation `json:"faults,omitempty"`
	// ConflictsWith is the accepted change that conflicts with the refused one.
	ConflictsWith mesh.ChangeID `json:"other,omitempty"`
}

// Tree is the settings tree at one version.
type Tree struct {
	Version mesh.Version `json:"version"`
	// YAML is the tree in the format that the command "tree apply" reads.
	YAML string `json:"yaml"`
}

// Origin is one effective setting and the level that sets it.
type Origin struct {
	Key   tree.Key  `json:"key"`
	Value string    `json:"value"`
	From  tree.Path `json:"from"`
	// Default is true when no level sets the value.
	Default bool `json:"default,omitempty"`
}

// Effective lists the effective settings of a path.
type Effective struct {
	Version mesh.Version `json:"version"`
	Path    tree.Path    `json:"path"`
	Origins []Origin     `json:"origins"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Version mesh.Version  `json:"version"`
	ID      mesh.ChangeID `json:"id"`
	Author  string        `json:"author"`
	Note    string        `json:"note,omitempty"`
	At      time.Time     `json:"at"`
	Edits   []Edit        `json:"edits"`
	// Inverse undoes the change.
	Inverse []Edit `json:"inverse"`
}

// History lists recent changes, the newest first.
type History struct {
	Version mesh.Version   `json:"version"`
	Changes []HistoryEntry `json:"changes"`
}

// Refusal reports that a node does not apply a version.
type Refusal struct {
	Host    mesh.HostID  `json:"host"`
	Version mesh.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// ZoneProgress reports the rollout of a version in one availability zone.
type ZoneProgress struct {
	Zone mesh.Zone `json:"zone"`
	// Version is in force on every node of the zone that reports.
	Version mesh.Version `json:"version"`
	Nodes   int          `json:"nodes"`
	Behind  int          `json:"behind"`
	// State is inForce, behind, refused or silent.
	State    string    `json:"state"`
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Rollout reports the rollout of a version.
type Rollout struct {
	Version mesh.Version   `json:"version"`
	InForce bool           `json:"inForce"`
	Zones   []ZoneProgress `json:"zones"`
}

// Announcement is the announcement of an upstream to its node.
type Announcement struct {
	Customer    mesh.Customer  `json:"customer"`
	Service     mesh.Service   `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
}

// Renewal is the response to an announcement.
type Renewal struct {
	// RenewWithin is the interval within which the upstream must announce itself
	// again, as a Go duration.
	RenewWithin string `json:"renewWithin"`
}

// Status is the present state of one node.
type Status struct {
	Host   mesh.HostID `json:"host"`
	Region mesh.Region `json:"region"`
	Zone   mesh.Zone   `json:"zone"`
	Phase  string      `json:"phase"`
	// Version is in force. Pending waits for the upstreams of the services in
	// Missing. Refused is not applied, because of Reason.
	Version mesh.Version `json:"version"`
	Pending mesh.Version `json:"pending,omitempty"`
	Missing []string     `json:"missing,omitempty"`
	Refused mesh.Version `json:"refused,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	// Relay is true if the node holds a relay slot, and Lead if it exchanges control
	// messages with other regions on behalf of its region.
	Relay   bool `json:"relay"`
	Lead    bool `json:"lead"`
	Uplinks int  `json:"uplinks"`
	// Upstream is the service of the local upstream; empty if there is none.
	Upstream      string `json:"upstream,omitempty"`
	UpstreamState string `json:"upstreamState,omitempty"`
	Slots         int    `json:"slots,omitempty"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	Limit         int    `json:"limit"`
	Services      int    `json:"services"`
}

// Fleet lists the relays and the zones on which they report.
type Fleet struct {
	// Version is the newest version that a relay reports.
	Version mesh.Version   `json:"version"`
	Zones   []ZoneProgress `json:"zones"`
	Relays  []Relay        `json:"relays"`
}

// Relay is one relay slot.
type Relay struct {
	Host   mesh.HostID    `json:"host"`
	Region mesh.Region    `json:"region"`
	Zone   mesh.Zone      `json:"zone"`
	Node   netip.AddrPort `json:"node"`
	Slot   int            `json:"slot"`
	Nodes  int            `json:"nodes"`
}

// ToTreeEdits converts the edits of a body to edits of the tree.
func ToTreeEdits(edits []Edit) []tree.Edit {
	list := make([]tree.Edit, 0, len(edits))
	for _, e := range edits {
		list = append(list, tree.Edit(e))
	}
	return list
}

// FromTreeEdits converts edits of the tree to the edits of a body.
func FromTreeEdits(edits []tree.Edit) []Edit {
	list := make([]Edit, 0, len(edits))
	for _, e := range edits {
		list = append(list, Edit(e))
	}
	return list
}
