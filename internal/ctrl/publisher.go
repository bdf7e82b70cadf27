package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

const (
	// readerHeartbeatInterval is the time between two heartbeats of a reader on a link.
	// A confirmation from this proxy's own parents is passed on at once, but not sooner
	// than minHeartbeatInterval after the last heartbeat.
	readerHeartbeatInterval = 250 * time.Millisecond
	minHeartbeatInterval    = 200 * time.Millisecond
	// maxHeartbeatAge is the age of a confirmation up to which it is passed on.
	maxHeartbeatAge = 5 * time.Second
	// maxBaseVersions is the maximum number of versions kept as compression
	// dictionaries.
	maxBaseVersions = 4
)

// publisher sends versions and records of this proxy on the links that subscribed to
// them, and heartbeats that tell the subscribers whether its data is current.
type publisher struct {
	*cells.Proxy
	codec Codec
	clock SuspensionClock
	alarm board.Alarm
	// lastHeartbeatAt is when the last heartbeats were sent, and lastConfirmed the
	// confirmation that they passed on.
	lastHeartbeatAt, lastConfirmed time.Time
	// lastVerifiedAt is VerifiedAt as the last heartbeats passed it on.
	lastVerifiedAt time.Time
	// probes holds SentAt of the latest probe that was received on each link.
	probes map[cells.LinkID]time.Duration
	// subscribers holds what has been sent on each subscribed link.
	subscribers map[cells.LinkID]*subscriber
	// baseVersions holds recent versions, the oldest first.
	baseVersions []cells.ActiveVersion
	// compressed holds the compressed document in force, by the version that is its
	// dictionary; zero for none.
	compressed map[mesh.Version][]byte
}

// subscriber is what the far end of a link holds.
type subscriber struct {
	version mesh.Version
	// rosterPosition is the position in the roster's changes up to which they were
	// sent; -1 if none were.
	rosterPosition int
}

func newPublisher(proxy *cells.Proxy, codec Codec, clock SuspensionClock) board.Controller {
	p := &publisher{
		Proxy: proxy, codec: codec, clock: clock, probes: make(map[cells.LinkID]time.Duration), subscribers: make(map[cells.LinkID]*subscriber), compressed: make(map[mesh.Version][]byte),
	}
	return board.Controller{
		Name:   "publisher",
		Reads:  []board.Ref{&proxy.LinkEvents, &proxy.ActiveVersion, &proxy.Roster, &proxy.Freshness, &p.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.Rollouts, &proxy.TokenSource, &proxy.StoreEra},
		Writes: []board.Ref{&proxy.LinkCommands, &proxy.LogEvents, &p.alarm},
		Step:   p.step,
	}
}

func (p *publisher) step(now time.Time) {
	for _, e := range p.LinkEvents.Events() {
		p.handleEvent(e)
	}
	p.addBaseVersion()
	for _, l := range p.links() {
		p.sendVersion(l, p.subscribers[l])
		p.sendRoster(l, p.subscribers[l])
	}
	if len(p.subscribers) > 0 {
		p.sendHeartbeatsWhenDue(now)
	}
}

func (p *publisher) handleEvent(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		delete(p.subscribers, e.Link)
		delete(p.probes, e.Link)
		return
	}
	if probe, ok := e.Message.(ctlmsg.Probe); ok {
		p.probes[e.Link] = probe.SentAt
	}
	request, ok := e.Message.(ctlmsg.Subscribe)
	if !ok {
		return
	}
	if request.DocumentOnly {
		if p.ActiveVersion.Get().Plan.Version() > request.Version {
			p.sendDocument(e.Link, &subscriber{version: request.Version})
		}
		return
	}
	if known := p.subscribers[e.Link]; known != nil {
		known.version = request.Version
		return
	}
	p.subscribers[e.Link] = &subscriber{version: request.Version, rosterPosition: -1}
}

// links returns the subscribed links, sorted.
func (p *publisher) links() (links []cells.LinkID) {
	for l := range p.subscribers {
		links = append(links, l)
	}
	slices.Sort(links)
	return links
}

// addBaseVersion adds the version in force to the base versions.
func (p *publisher) addBaseVersion() {
	active := p.ActiveVersion.Get()
	if active.Plan == nil || len(p.baseVersions) > 0 && p.baseVersions[len(p.baseVersions)-1].Plan.Version() == active.Plan.Version() {
		return
	}
	p.baseVersions = append(p.baseVersions, active)
	if len(p.baseVersions) > maxBaseVersions {
		p.baseVersions = slices.Delete(p.baseVersions, 0, 1)
	}
	clear(p.compressed)
}

func (p *publisher) sendVersion(link cells.LinkID, s *subscriber) {
	active := p.ActiveVersion.Get()
	if active.Plan.Version() <= s.version {
		return
	}
	p.sendDocument(link, s)
}

// sendDocument sends the version in force.
func (p *publisher) sendDocument(link cells.LinkID, s *subscriber) {
	active := p.ActiveVersion.Get()
	base, compressed, err := p.compress(s.version)
	if err != nil {
		p.LogEvents.Send(cells.LogEvent{Name: "versionPackFailed", Fields: []cells.LogField{
			{Name: "version", Value: uint64(active.Plan.Version())}, {Name: "reason", Value: err.Error()},
		}})
		return
	}
	s.version = active.Plan.Version()
	proxySend(p.Proxy, link, ctlmsg.Document{Version: s.version, Base: base, Compressed: compressed, Era: active.Era})
}

// compress returns the compressed document in force. If the version that the far end
// holds is still kept here, it serves as the dictionary and is returned as base.
func (p *publisher) compress(heldVersion mesh.Version) (mesh.Version, []byte, error) {
	base := mesh.Version(0)
	var dictionary []byte
	for _, old := range p.baseVersions {
		if heldVersion != 0 && old.Plan.Version() == heldVersion {
			base, dictionary = heldVersion, old.Document
		}
	}
	compressed, found := p.compressed[base]
	if found {
		return base, compressed, nil
	}
	compressed, err := p.codec.Compress(p.ActiveVersion.Get().Document, dictionary)
	if err != nil {
		return 0, nil, err
	}
	p.compressed[base] = compressed
	return base, compressed, nil
}

// sendRoster sends the records that changed since the last time, or all of them if
// the roster no longer keeps those changes.
func (p *publisher) sendRoster(link cells.LinkID, s *subscriber) {
	roster := p.Roster.Read()
	if !roster.Loaded || s.rosterPosition == roster.Position() {
		return
	}
	hosts, known := []mesh.HostID(nil), false
	if s.rosterPosition >= 0 {
		hosts, known = roster.ChangedSince(s.rosterPosition)
	}
	message := ctlmsg.Roster{Revision: roster.Revision, Era: roster.Era, Complete: !known, HasRollouts: p.Rollouts.Get().Loaded}
	if !known {
		hosts = roster.Hosts()
	}
	for _, h := range hosts {
		entry, found := roster.Get(h)
		if !found {
			removedAt := roster.RemovedAt(h)
			entry.Version, entry.Era = removedAt.Revision, removedAt.Era
			entry.Written = entry.Time()
		}
		message.Entries = append(message.Entries, ctlmsg.RosterEntry{
			Host: h, Version: entry.Version, Era: entry.Era, Written: entry.Written, Retired: entry.Retired, Record: entry.Record,
		})
	}
	s.rosterPosition = roster.Position()
	proxySend(p.Proxy, link, message)
}

// sendHeartbeatsWhenDue sends a heartbeat to each subscriber at a fixed interval, and
// earlier if there is a later confirmation to pass on.
func (p *publisher) sendHeartbeatsWhenDue(now time.Time) {
	interval := readerHeartbeatInterval
	freshness := p.Freshness.Get()
	verified := p.Self.Get().Revocation > 0 && freshness.VerifiedAt.After(p.lastVerifiedAt)
	if verified || !freshness.Direct && freshness.ConfirmedAt.After(p.lastConfirmed) {
		interval = minHeartbeatInterval
	}
	if due := p.lastHeartbeatAt.Add(interval); now.Before(due) {
		p.alarm.SetIfEarlier(due)
		return
	}
	p.sendHeartbeats(now)
	p.alarm.SetIfEarlier(now.Add(readerHeartbeatInterval))
}

// sendHeartbeats sends a heartbeat to each subscriber. It says that the data is current
// only if it is complete and a source has confirmed it recently.
func (p *publisher) sendHeartbeats(now time.Time) {
	p.lastHeartbeatAt, p.lastConfirmed = now, p.Freshness.Get().LastRead(now)
	age := now.Sub(p.lastConfirmed)
	loaded := p.ActiveVersion.Get().Plan != nil && p.Roster.Read().Loaded
	message := ctlmsg.ReaderHeartbeat{
		Version: p.ActiveVersion.Get().Plan.Version(), Current: loaded && !p.lastConfirmed.IsZero() && age < maxHeartbeatAge, Age: age,
		Revision: p.Freshness.Get().Revision, Era: p.StoreEra.Get(), VersionEra: p.ActiveVersion.Get().Era,
	}
	message.TokenOwner = p.TokenSource.Get().OwnerHost
	enabled := p.Self.Get().Revocation > 0
	if verified := p.Freshness.Get().Verified(); enabled && !verified.IsZero() {
		// The age is that of now, which is after all probes in p.probes were received.
		message.Verified, message.VerifiedAge = true, verify.Moment{Time: now, Suspended: p.clock.Suspended()}.Sub(verified)
		p.lastVerifiedAt = verified.Time
	}
	for _, l := range p.links() {
		if enabled {
			message.ProbeSentAt = p.probes[l]
		}
		proxySend(p.Proxy, l, message)
	}
}
