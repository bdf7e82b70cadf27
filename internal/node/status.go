package node

import (
	"context"
	"io"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// adminNode implements admin.Node.
type adminNode struct{ *Node }

// Announce implements admin.Node.
func (a adminNode) Announce(announcement cells.Announcement) {
	if announcement.Kind == cells.Announce {
		a.setUpstream(announcement.Address, announcement.Connections)
	}
	a.cells.Announcements.Post(announcement)
}

// Drain implements admin.Node.
func (a adminNode) Drain() {
	a.Node.Drain()
}

// Burn implements admin.Node.
func (a adminNode) Burn() burn.Report {
	return a.burn.Report(time.Now())
}

// WriteMetrics implements admin.Node.
func (a adminNode) WriteMetrics(w io.Writer) error {
	return a.Node.WriteMetrics(w)
}

// Status implements admin.Node.
func (a adminNode) Status() forms.Status {
	return a.Node.Status()
}

// Status returns the present state of the node.
func (n *Node) Status() forms.Status {
	traffic := n.cells.Snapshot.Load()
	adoption := n.cells.Adoption.Load()
	uplinks := n.cells.Uplinks.Load()
	load := n.gate.Load()
	status := forms.Status{
		Host: n.settings.Host, Region: n.settings.Region, Zone: n.settings.Zone,
		Phase:   string(n.cells.Phase.Load()),
		Version: n.cells.Config.Load().Manifest.Version, Pending: adoption.Pending,
		Refused: adoption.Refused, Reason: adoption.Reason,
		Relay: n.cells.RelaySlot.Load().Held, Lead: uplinks.Lead, Uplinks: len(uplinks.Links),
		Running: load.Running, Waiting: load.Waiting, Limit: load.Limit,
		Services: len(traffic.CandidateSets),
	}
	for _, id := range adoption.Missing {
		status.Missing = append(status.Missing, id.String())
	}
	if traffic.LocalRecord.Host != "" {
		status.Upstream, status.UpstreamState = traffic.LocalRecord.ID.String(), traffic.LocalRecord.State.String()
		status.Slots = traffic.LocalRecord.Slots
	}
	return status
}

// updateGauges sets the gauges from the counters of the traffic threads. It runs
// on the control thread.
func (n *Node) updateGauges(time.Time) {
	server := n.server.Stats()
	var sent, received, controlSent, controlReceived uint64
	for _, r := range n.pool.Stats() {
		sent += r.Traffic.Sent
		received += r.Traffic.Received
		controlSent += r.Control.Sent
		controlReceived += r.Control.Received
	}
	load := n.gate.Load()
	counters := n.handler.Counters()
	gauges := []struct {
		name  string
		value float64
	}{
		{"version_in_force", float64(n.cells.Config.Load().Manifest.Version)},
		{"gate_running", float64(load.Running)},
		{"gate_waiting", float64(load.Waiting)},
		{"gate_limit", float64(load.Limit)},
		{"calls_answered", float64(counters.Answered.Load())},
		{"calls_replayed", float64(counters.Replayed.Load())},
		{"calls_not_run", float64(counters.NotRun.Load())},
		{"calls_unknown", float64(counters.Unknown.Load())},
		{"calls_cut", float64(counters.Truncated.Load())},
		{"sessions_accepted", float64(server.Sessions)},
		{"platform_calls", float64(n.store.Calls())},
		{"control_bytes_sent", float64(server.Control.Sent + controlSent)},
		{"control_bytes_received", float64(server.Control.Received + controlReceived)},
		{"traffic_bytes_sent", float64(server.Traffic.Sent + sent)},
		{"traffic_bytes_received", float64(server.Traffic.Received + received)},
	}
	for _, g := range gauges {
		n.metrics.Scope.Gauge(g.name).Update(g.value)
	}
}

// CandidateCount returns the number of upstreams of the service that accept new
// calls. It counts them once this node also distributes idempotency keys among them.
func (n *Node) CandidateCount(id mesh.ServiceID) int {
	applied := n.applied.snapshot.Load()
	if applied == nil {
		return 0
	}
	return len(applied.CandidateSets[id].Candidates())
}

// ControlBytesSent returns the bytes of control traffic that this node has sent.
func (n *Node) ControlBytesSent() (sent uint64) {
	sent = n.server.Stats().Control.Sent
	for _, r := range n.pool.Stats() {
		sent += r.Control.Sent
	}
	return sent
}

// Submit applies an operator's change, or returns why it is refused.
func (n *Node) Submit(ctx context.Context, change tree.Change) (version mesh.Version, err error) {
	return n.edits.Submit(ctx, change)
}
