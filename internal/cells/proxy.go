package cells

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// Proxy is the blackboard of one proxy. The platform stores the configuration of a
// mesh of proxies as one object and the record of each proxy as another. Proxies are
// called nodes where they act as peers of each other. The zero Proxy is ready to use.
type Proxy struct {
	// LinkEvents receives the events of control links, in order for each link.
	LinkEvents board.Inbox[LinkEvent]
	// ObjectEvents receives the platform's responses.
	ObjectEvents board.Inbox[ObjectEvent]
	// UpstreamReports receives the reports of the local upstream about itself.
	UpstreamReports board.Inbox[PendingReport]
	// HealthResults receives the results of health checks.
	HealthResults board.Inbox[HealthResult]
	// UnreachableInstances receives the instances of upstreams to which connections
	// failed.
	UnreachableInstances board.Inbox[string]
	// Outcomes receives the outcomes of requests after CollectOutcomes.
	Outcomes board.Inbox[OutcomeCounts]
	// LifecycleCommands receives requests to drain or withdraw.
	LifecycleCommands board.Inbox[LifecycleCommand]

	// LinkCommands dials control links, sends on them and closes them.
	LinkCommands board.Outbox[LinkCommand]
	// ObjectCommands reads and writes the platform's objects.
	ObjectCommands board.Outbox[ObjectCommand]
	// HealthChecks starts health checks of the local upstream.
	HealthChecks board.Outbox[HealthCheck]
	// ReportAcks acknowledges reports.
	ReportAcks board.Outbox[ReportAck]
	// SnapshotUpdates signals that Snapshot was replaced, with its version.
	SnapshotUpdates board.Outbox[mesh.Version]
	// MetricsTicks triggers the collection of the traffic threads' counters once a
	// second.
	MetricsTicks board.Outbox[time.Time]
	// CollectOutcomes collects the outcomes of requests that the traffic threads counted.
	CollectOutcomes board.Outbox[time.Time]
	// LogEvents sends state changes to the log.
	LogEvents board.Outbox[LogEvent]

	// Self is set before the board runs and does not change afterwards.
	Self board.Cell[ProxySelf]
	// RolloutViews is the state of the orders if this proxy is a root.
	RolloutViews board.Cell[RolloutViews]
	// Rollouts holds the orders that are in force on this proxy.
	Rollouts board.Cell[Rollouts]
	// Phase is the current phase of the proxy's life cycle.
	Phase board.Cell[Phase]
	// Peers contains the open control links.
	Peers board.State[Peers]
	// LocalUpstream is the state of the upstream on the proxy's host.
	LocalUpstream board.Cell[LocalUpstream]
	// BesideUpstream is the state of a second upstream on the host, of another release; its
	// Instance is empty if there is none.
	BesideUpstream board.Cell[LocalUpstream]
	// StoredRecord is this proxy's record as stored in the platform.
	StoredRecord board.Cell[StoredRecord]
	// Roster contains the records of all nodes.
	Roster board.State[Roster]
	// PlatformStatus is the reachability of the platform.
	PlatformStatus board.Cell[PlatformStatus]
	// ReadsPlatform is true while this proxy reads versions and records from the
	// platform instead of receiving them from a reader.
	ReadsPlatform board.Cell[bool]
	// Tree determines which nodes receive versions and records from which others.
	Tree board.Cell[*fleet.Tree]
	// StoreEra is the highest era of the store that this proxy knows, from the store or
	// from another proxy; zero if the platform counts none. Responses and messages of a
	// lower era are ignored.
	StoreEra board.Cell[uint64]
	// Freshness tells when this proxy's versions and records were last known to be current.
	// The verifier writes VerifiedAt and SuspendedBefore, the sourceSelector the rest.
	Freshness board.Cell[Freshness]
	// TokenSource is the parent from which this proxy gets quota tokens.
	TokenSource board.Cell[TokenSource]
	// ActiveVersion is the version in force.
	ActiveVersion board.Cell[ActiveVersion]
	// Snapshot is the state that traffic threads read.
	Snapshot board.Cell[ProxySnapshot]
}

// ProxySelf is the proxy's identity and settings.
type ProxySelf struct {
	Host  mesh.HostID
	Place mesh.Place
	// Address is the address at which this proxy accepts sessions.
	Address netip.AddrPort
	// LinkRate is the rate of the host's network link in bytes per second; zero if
	// not configured.
	LinkRate int64
	// StartedAt is when the process started.
	StartedAt time.Time
	// Heartbeat is the usual interval between reports of the upstream.
	Heartbeat time.Duration
	// Revocation is the time after the acceptance of a version without a key from which
	// no later request with the key may run; zero for no limit.
	Revocation time.Duration
	// EnforceQuotas is true if the quotas of client accounts are enforced.
	EnforceQuotas bool
	// DirectRollouts is true if this proxy decides about orders while it is a root.
	DirectRollouts bool
}

// TokenSource tells where a proxy gets quota tokens. The zero TokenSource means nowhere.
type TokenSource struct {
	// Host is the parent that passes tokens on; empty if there is none, or if this proxy
	// is the owner of the buckets.
	Host mesh.HostID
	// Address is the address at which Host accepts sessions; invalid if Host is empty.
	Address netip.AddrPort
	// Nodes is the number of nodes, this one included, that get their tokens through
	// this proxy. It is reported to Host in probes.
	Nodes int
	// Owner is true if this proxy holds the buckets, and Share the fraction of the rate
	// at which it fills them, within 0 and 1.
	Owner bool
	Share float64
	// OwnerHost is the proxy that holds the buckets, as far as it is known.
	OwnerHost mesh.HostID
}

// PendingReport is a report of the upstream that is not acknowledged yet.
type PendingReport struct {
	Report fleet.Report
	// ID identifies the report in its ReportAck.
	ID uint64
}

// HealthCheck requests a health check of an upstream.
type HealthCheck struct {
	Address netip.AddrPort
	// Path is the path of the health check endpoint.
	Path string
}

// HealthResult is the result of a HealthCheck.
type HealthResult struct {
	// Address is the address that was checked.
	Address netip.AddrPort
	// Instance is the instance that answered that it serves; empty if none did.
	Instance string
	// Reason is the reason if Instance is empty.
	Reason string
}

// ReportAck acknowledges a report of the upstream.
type ReportAck struct {
	ID     uint64
	Result fleet.ReportResult
	// Recorded is false if the state could not be stored in the platform in time.
	Recorded bool
}

// LocalUpstream is the state of the upstream on the proxy's host.
type LocalUpstream struct {
	fleet.Upstream
	// Unconfirmed is true while the state comes from the stored record of an earlier
	// process and health checks are under way to confirm it.
	Unconfirmed bool
	// AdmitUntil is the time after which no more requests may be sent to the
	// upstream; zero unless it is draining or has left.
	AdmitUntil time.Time
}

// StoredRecord is a proxy's own record as stored in the platform.
type StoredRecord struct {
	// Loaded is true once the platform was read. An earlier process may have left a
	// record.
	Loaded bool
	// Node is the stored record; its Host is empty if there is none.
	Node fleet.Node
	// Version is the version of the object; zero if there is none.
	Version uint64
	// Outdated is true if the store was restored and its object is not known to be Node:
	// it is older or missing.
	Outdated bool
}

// PlatformStatus is the reachability of the platform.
type PlatformStatus struct {
	// Reachable is true after a response and false after a failure.
	Reachable bool
	// Since is when Reachable last changed.
	Since time.Time
	// Reason is the failure that made the platform unreachable; empty while Reachable.
	Reason string
	// RTT is the shortest time in which a connection to the platform was opened; zero
	// before the first.
	RTT time.Duration
}

// Freshness tells when a proxy's data was last known to be current.
type Freshness struct {
	// Direct is true while the platform itself answers this proxy, which confirms its
	// data continuously.
	Direct bool
	// ConfirmedAt is the time of the last confirmation that a reader passed on; zero if
	// there was none.
	ConfirmedAt time.Time
	// Revision is the platform revision, of the era in the cell StoreEra, up to which all
	// versions are known; zero if there is none.
	Revision uint64
	// Behind is true while the store, which was restored from a copy, is not known to have
	// the version in force or a later one. What it says confirms nothing then.
	Behind bool
	// VerifiedAt is the latest time of which it is certain that every version accepted
	// before it is known here; zero if there is none. Unlike ConfirmedAt, it is dated from
	// before the call to the platform, and includes the time on the way from a reader.
	VerifiedAt time.Time
	// SuspendedBefore is the time for which the machine had been suspended when VerifiedAt
	// was determined. What was added to it since then adds to the age of VerifiedAt.
	SuspendedBefore time.Duration
}

// Verified returns the confirmation that VerifiedAt dates; zero if there is none.
func (f Freshness) Verified() verify.Moment {
	return verify.Moment{Time: f.VerifiedAt, Suspended: f.SuspendedBefore}
}

// LastConfirmed returns the time at which the data was last known to be current; zero if
// it never was, or if Behind is true.
func (f Freshness) LastConfirmed(now time.Time) time.Time {
	if f.Behind {
		return time.Time{}
	}
	return f.LastRead(now)
}

// LastRead returns the time at which the data was last known to contain all that the store
// had, even if Behind is true; zero if it never was.
func (f Freshness) LastRead(now time.Time) time.Time {
	if f.Direct {
		return now
	}
	return f.ConfirmedAt
}

// ActiveVersion is the version in force.
type ActiveVersion struct {
	Plan *plan.Plan
	// Document is the document that Plan was read from.
	Document []byte
	// Since is when the version came into force in this process.
	Since time.Time
	// Source is the reader that sent the version; empty if it was read from the platform.
	Source mesh.HostID
	// Era is the highest era of the store in which it had this version or a later one. If
	// it is lower than the current era, the store may have been restored from a copy that
	// is older than the version.
	Era uint64
	// RefusalReason is why the newest document was refused; empty if it was not.
	RefusalReason string
	// RefusedVersion is the version of the refused document; zero if it is unknown.
	RefusedVersion mesh.Version
}

// ProxySnapshot is the state that traffic threads read. It is immutable.
type ProxySnapshot struct {
	// Plan is nil until the first version is in force.
	Plan *plan.Plan
	// CandidateSets contains the upstreams of each service that accept requests.
	CandidateSets map[mesh.Service]*pick.CandidateSet
	// Trials contains the services of which a part of the requests goes to upstreams of
	// another release, which are not in CandidateSets.
	Trials map[mesh.Service]ServiceTrial
	// LastResort contains the services whose CandidateSets are upstreams that an order
	// keeps requests from, because no others are left.
	LastResort map[mesh.Service]bool
	// CountOutcomes contains the services whose outcomes are counted by release.
	CountOutcomes map[mesh.Service]bool
	// LocalUpstream is the upstream on the proxy's host; its Instance is empty if
	// there is none.
	LocalUpstream fleet.Upstream
	// AdmitUntil is the time after which no more requests may be sent to
	// LocalUpstream; zero for no limit.
	AdmitUntil time.Time
	// BesideUpstream and BesideAdmitUntil are the same for a second upstream of another
	// release.
	BesideUpstream   fleet.Upstream
	BesideAdmitUntil time.Time
	// NodeCount is the number of nodes that share budgets, including this one.
	NodeCount int
	// ServiceShare is the fraction of the upstreams in CandidateSets that serve the
	// service of LocalUpstream.
	ServiceShare float64
	// Tokens tells where this proxy gets quota tokens.
	Tokens TokenSource
	Phase  Phase
}
