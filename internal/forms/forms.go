// Package forms holds the JSON bodies of a node's admin API, shared by the node
// and by the commands that call it.
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

// Change asks for a change of the settings tree, whole or not at all.
type Change struct {
	// ID is chosen by the caller; the same ID is accepted once.
	ID     mesh.ChangeID `json:"id"`
	Author string        `json:"author"`
	Note   string        `json:"note,omitempty"`
	// Base is the version that the caller saw.
	Base  mesh.Version `json:"base"`
	Edits []Edit       `json:"edits"`
}

// Accepted answers an accepted change.
type Accepted struct {
	Version mesh.Version `json:"version"`
}

// Violation is one reason for a refusal.
type Violation struct {
	Path     tree.Path `json:"path"`
	Key      tree.Key  `json:"key,omitempty"`
	Value    string    `json:"value,omitempty"`
	Expected string    `json:"want"`
}

// The kinds of failures.
const (
	// CodeInvalid: the request is malformed or too large.
	CodeInvalid = "invalid"
	// CodeViolations: the change is refused for the faults that are named.
	CodeViolations = "faults"
	// CodeConflict: another accepted change touches the same settings.
	CodeConflict = "clash"
	// CodeRefused: the change builds on a version that is not known, reuses an
	// ID, or changes nothing.
	CodeRefused = "refused"
	// CodeUnavailable: the platform can't be reached; nothing was changed.
	CodeUnavailable = "unavailable"
	// CodeUnknown: the platform did not answer; the change may be accepted.
	CodeUnknown = "unknown"
	// CodeFailed: any other failure.
	CodeFailed = "failed"
)

// Problem answers every request that failed.
type Problem struct {
	// Code names the kind of failure, one of the Code constants.
	Code       string      `json:"code"`
	Message    string      `json:"message"`
	Violations []Violation `json:"faults,omitempty"`
	// ConflictsWith is the accepted change that a refused one clashes with.
	ConflictsWith mesh.ChangeID `json:"other,omitempty"`
}

// Tree is the settings tree at one version.
type Tree struct {
	Version mesh.Version `json:"version"`
	// YAML is the tree in the form that apply reads.
	YAML string `json:"yaml"`
}

// Origin is one effective setting and where it comes from.
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

// Refusal says that a node does not apply a version.
type Refusal struct {
	Host    mesh.HostID  `json:"host"`
	Version mesh.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// ZoneProgress says how far a version has come in one availability zone.
type ZoneProgress struct {
	Zone mesh.Zone `json:"zone"`
	// Version is in force at every node of the zone that reports.
	Version mesh.Version `json:"version"`
	Nodes   int          `json:"nodes"`
	Behind  int          `json:"behind"`
	// State is inForce, behind, refused or silent.
	State    string    `json:"state"`
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Rollout says how far a version has come.
type Rollout struct {
	Version mesh.Version   `json:"version"`
	InForce bool           `json:"inForce"`
	Zones   []ZoneProgress `json:"zones"`
}

// Announcement is an upstream's announcement.
type Announcement struct {
	Customer    mesh.Customer  `json:"customer"`
	Service     mesh.Service   `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
}

// Renewal answers an announcement.
type Renewal struct {
	// RenewWithin is a Go duration.
	RenewWithin string `json:"renewWithin"`
}

// Status is what one node says of itself.
type Status struct {
	Host   mesh.HostID `json:"host"`
	Region mesh.Region `json:"region"`
	Zone   mesh.Zone   `json:"zone"`
	Phase  string      `json:"phase"`
	// Version is in force; Pending waits; Refused is not applied, for Reason.
	Version mesh.Version `json:"version"`
	Pending mesh.Version `json:"pending,omitempty"`
	Missing []string     `json:"missing,omitempty"`
	Refused mesh.Version `json:"refused,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	// Relay is true for a relay, Lead for the one that crosses regions.
	Relay   bool `json:"relay"`
	Lead    bool `json:"lead"`
	Uplinks int  `json:"uplinks"`
	// Upstream is the service and state of the host's upstream, empty for none.
	Upstream      string `json:"upstream,omitempty"`
	UpstreamState string `json:"upstreamState,omitempty"`
	Slots         int    `json:"slots,omitempty"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	Limit         int    `json:"limit"`
	Services      int    `json:"services"`
}

// Fleet lists the relays and what they report.
type Fleet struct {
	// Version is the newest accepted one.
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

// ToTreeEdits returns the edits of the form.
func ToTreeEdits(edits []Edit) []tree.Edit {
	list := make([]tree.Edit, 0, len(edits))
	for _, e := range edits {
		list = append(list, tree.Edit(e))
	}
	return list
}

// FromTreeEdits returns the form of the edits.
func FromTreeEdits(edits []tree.Edit) []Edit {
	list := make([]Edit, 0, len(edits))
	for _, e := range edits {
		list = append(list, Edit(e))
	}
	return list
}
