package wire

import (
	"fmt"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// maxRelaySlot is the highest slot number accepted in an Invite message.
const maxRelaySlot = 1024

// maxProbeNodes is the largest number of nodes accepted in a Probe message.
const maxProbeNodes = 1 << 20

// EncodeControl converts a message to its wire form.
func EncodeControl(message ctlmsg.Message) *Control {
	switch m := message.(type) {
	case ctlmsg.Hello:
		return &Control{Body: &Control_Hello{Hello: encodeHello(m)}}
	case ctlmsg.Heartbeat:
		return &Control{Body: &Control_Beat{Beat: encodeHeartbeat(m)}}
	case ctlmsg.ConfigRequest:
		return &Control{Body: &Control_Held{Held: encodeConfigRequest(m)}}
	case ctlmsg.Config:
		return &Control{Body: &Control_Config{Config: encodeConfig(m)}}
	case ctlmsg.MemberRecords:
		return &Control{Body: &Control_Members{Members: encodeMemberRecords(m)}}
	case ctlmsg.RelayList:
		return &Control{Body: &Control_Relays{Relays: encodeRelayList(m)}}
	case ctlmsg.MembershipDigests:
		return &Control{Body: &Control_Digests{Digests: encodeMembershipDigests(m)}}
	case ctlmsg.RetryLater:
		return &Control{Body: &Control_Later{Later: &Later{AfterMicros: m.After.Microseconds()}}}
	case ctlmsg.RelayInvite:
		return &Control{Body: &Control_Invite{Invite: &Invite{Slot: uint32(m.Slot)}}}
	case ctlmsg.Subscribe:
		return &Control{Body: &Control_Want{Want: &Want{Version: uint64(m.Version), DocumentOnly: m.DocumentOnly}}}
	case ctlmsg.ReaderHeartbeat:
		return &Control{Body: &Control_Pulse{Pulse: encodeReaderHeartbeat(m)}}
	case ctlmsg.Probe:
		return &Control{Body: &Control_Probe{Probe: &Probe{SentMicros: m.SentAt.Microseconds(), Nodes: uint32(m.Nodes)}}}
	case ctlmsg.Document:
		return &Control{Body: &Control_Document{Document: &Document{
			Version: uint64(m.Version), Base: uint64(m.Base), Packed: m.Compressed, Era: m.Era,
		}}}
	case ctlmsg.Roster:
		return &Control{Body: &Control_Roster{Roster: encodeRoster(m)}}
	case ctlmsg.ShiftState:
		return &Control{Body: &Control_Shift{Shift: encodeShiftState(m)}}
	case ctlmsg.ShiftCounts:
		return &Control{Body: &Control_ShiftCounts{ShiftCounts: encodeShiftCounts(m)}}
	default:
		panic(fmt.Sprintf("wire: no encoding for %T", message))
	}
}

// DecodeControl converts a message from its wire form. It returns an error if the
// message is invalid.
func DecodeControl(control *Control) (message ctlmsg.Message, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("control message: %w", err)
		}
	}()
	switch b := control.GetBody().(type) {
	case *Control_Hello:
		return decodeHello(b.Hello)
	case *Control_Beat:
		return decodeHeartbeat(b.Beat)
	case *Control_Held:
		return decodeConfigRequest(b.Held)
	case *Control_Config:
		return decodeConfig(b.Config)
	case *Control_Members:
		return decodeMemberRecords(b.Members)
	case *Control_Relays:
		return decodeRelayList(b.Relays)
	case *Control_Digests:
		return decodeMembershipDigests(b.Digests), nil
	case *Control_Later:
		return ctlmsg.RetryLater{After: time.Duration(max(b.Later.GetAfterMicros(), 0)) * time.Microsecond}, nil
	case *Control_Invite:
		if b.Invite.GetSlot() > maxRelaySlot {
			return nil, fmt.Errorf("relay slot %d exceeds %d", b.Invite.GetSlot(), maxRelaySlot)
		}
		return ctlmsg.RelayInvite{Slot: int(b.Invite.GetSlot())}, nil
	case *Control_Want:
		return ctlmsg.Subscribe{Version: mesh.Version(b.Want.GetVersion()), DocumentOnly: b.Want.GetDocumentOnly()}, nil
	case *Control_Pulse:
		return decodeReaderHeartbeat(b.Pulse), nil
	case *Control_Probe:
		if b.Probe.GetSentMicros() <= 0 || b.Probe.GetNodes() > maxProbeNodes {
			return nil, fmt.Errorf("probe sent at %d for %d nodes", b.Probe.GetSentMicros(), b.Probe.GetNodes())
		}
		return ctlmsg.Probe{SentAt: time.Duration(b.Probe.GetSentMicros()) * time.Microsecond, Nodes: int(b.Probe.GetNodes())}, nil
	case *Control_Document:
		return ctlmsg.Document{
			Version: mesh.Version(b.Document.GetVersion()), Base: mesh.Version(b.Document.GetBase()), Compressed: b.Document.GetPacked(), Era: b.Document.GetEra(),
		}, nil
	case *Control_Roster:
		return decodeRoster(b.Roster)
	case *Control_Shift:
		return decodeShiftState(b.Shift)
	case *Control_ShiftCounts:
		return decodeShiftCounts(b.ShiftCounts)
	default:
		return nil, fmt.Errorf("unknown message type")
	}
}

func encodeReaderHeartbeat(m ctlmsg.ReaderHeartbeat) *Pulse {
	pulse := &Pulse{
		Version: uint64(m.Version), Reached: m.Current, AgeMicros: m.Age.Microseconds(), Revision: m.Revision, ProbeMicros: m.ProbeSentAt.Microseconds(), TokenOwner: string(m.TokenOwner),
		Era: m.Era, VersionEra: m.VersionEra,
	}
	if m.Verified {
		pulse.VerifiedAgeMicros = m.VerifiedAge.Microseconds() + 1
	}
	return pulse
}

func decodeReaderHeartbeat(p *Pulse) ctlmsg.ReaderHeartbeat {
	return ctlmsg.ReaderHeartbeat{
		Version: mesh.Version(p.GetVersion()), Current: p.GetReached(),
		Age: time.Duration(max(0, p.GetAgeMicros())) * time.Microsecond, Revision: p.GetRevision(), Era: p.GetEra(), VersionEra: p.GetVersionEra(),
		Verified: p.GetVerifiedAgeMicros() > 0, VerifiedAge: time.Duration(max(0, p.GetVerifiedAgeMicros())) * time.Microsecond,
		ProbeSentAt: time.Duration(max(0, p.GetProbeMicros())) * time.Microsecond, TokenOwner: mesh.HostID(p.GetTokenOwner()),
	}
}

func encodeAddress(address netip.AddrPort) []byte {
	data, _ := address.MarshalBinary()
	return data
}

func decodeAddress(data []byte) (address netip.AddrPort, err error) {
	if err = address.UnmarshalBinary(data); err != nil {
		return address, fmt.Errorf("address: %w", err)
	}
	return address, nil
}

func decodeDigest(data []byte) (digest mesh.Digest, err error) {
	if len(data) == 0 {
		return digest, nil
	}
	if len(data) != len(digest) {
		return digest, fmt.Errorf("digest of %d bytes, want %d", len(data), len(digest))
	}
	copy(digest[:], data)
	return digest, nil
}

func encodeDigest(digest mesh.Digest) []byte {
	if digest == (mesh.Digest{}) {
		return nil
	}
	return digest[:]
}

func encodeHello(m ctlmsg.Hello) *Hello {
	return &Hello{
		Host: string(m.Host), Region: string(m.Place.Region), Zone: string(m.Place.Zone),
		Node: encodeAddress(m.Node), Incarnation: m.Incarnation,
		Relay: m.Relay, Whole: m.WantsAll, Protocol: m.ProtocolVersion, Reached: m.PlatformReachable,
	}
}

func decodeHello(h *Hello) (message ctlmsg.Message, err error) {
	m := ctlmsg.Hello{
		Host:              mesh.HostID(h.GetHost()),
		Place:             mesh.Place{Region: mesh.Region(h.GetRegion()), Zone: mesh.Zone(h.GetZone())},
		Incarnation:       h.GetIncarnation(),
		Relay:             h.GetRelay(),
		WantsAll:          h.GetWhole(),
		ProtocolVersion:   h.GetProtocol(),
		PlatformReachable: h.GetReached(),
	}
	if m.Node, err = decodeAddress(h.GetNode()); err != nil {
		return nil, err
	}
	for _, name := range []string{h.GetHost(), h.GetRegion(), h.GetZone()} {
		if err = mesh.CheckName(name); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func encodeRecord(r member.Record) *Upstream {
	return &Upstream{
		Host: string(r.Host), Customer: string(r.ID.Customer), Service: string(r.ID.Service),
		Region: string(r.Place.Region), Zone: string(r.Place.Zone), Node: encodeAddress(r.Node),
		Incarnation: r.Stamp.Incarnation, Sequence: r.Stamp.Sequence, State: uint32(r.State),
		Slots: uint32(r.Slots), Connections: uint32(r.Connections), Via: string(r.Relay),
	}
}

func decodeRecord(u *Upstream) (record member.Record, err error) {
	record = member.Record{
		Host:        mesh.HostID(u.GetHost()),
		ID:          mesh.ServiceID{Customer: mesh.Customer(u.GetCustomer()), Service: mesh.Service(u.GetService())},
		Place:       mesh.Place{Region: mesh.Region(u.GetRegion()), Zone: mesh.Zone(u.GetZone())},
		Stamp:       mesh.Stamp{Incarnation: u.GetIncarnation(), Sequence: u.GetSequence()},
		State:       member.State(min(u.GetState(), 255)),
		Relay:       mesh.HostID(u.GetVia()),
		Slots:       int(u.GetSlots()),
		Connections: int(u.GetConnections()),
	}
	if record.Node, err = decodeAddress(u.GetNode()); err != nil {
		return record, err
	}
	return record, record.Validate()
}

func encodeHeartbeat(m ctlmsg.Heartbeat) *Beat {
	heartbeat := &Beat{Version: uint64(m.Version)}
	if m.Upstream.Host != "" {
		heartbeat.Upstream = encodeRecord(m.Upstream)
	}
	if m.RefusedVersion != 0 {
		heartbeat.Refusal = &Refusal{Version: uint64(m.RefusedVersion), Reason: m.RefusalReason}
	}
	return heartbeat
}

func decodeHeartbeat(heartbeat *Beat) (message ctlmsg.Message, err error) {
	m := ctlmsg.Heartbeat{
		Version:        mesh.Version(heartbeat.GetVersion()),
		RefusedVersion: mesh.Version(heartbeat.GetRefusal().GetVersion()),
		RefusalReason:  heartbeat.GetRefusal().GetReason(),
	}
	if heartbeat.GetUpstream() != nil {
		if m.Upstream, err = decodeRecord(heartbeat.GetUpstream()); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func encodeConfigRequest(m ctlmsg.ConfigRequest) *Held {
	request := &Held{Version: uint64(m.Version), Services: encodeServices(m.Services), Reset_: m.FullChunks}
	for _, s := range m.Chunks {
		request.Scopes = append(request.Scopes, &ScopeHeld{Scope: string(s.Scope), Digest: encodeDigest(s.Digest)})
	}
	return request
}

func decodeConfigRequest(request *Held) (message ctlmsg.Message, err error) {
	m := ctlmsg.ConfigRequest{Version: mesh.Version(request.GetVersion()), Services: decodeServices(request.GetServices()), FullChunks: request.GetReset_()}
	for _, s := range request.GetScopes() {
		chunk := ctlmsg.ChunkRequest{}
		if chunk.Scope, err = tree.ParsePath(s.GetScope()); err != nil {
			return nil, err
		}
		if chunk.Digest, err = decodeDigest(s.GetDigest()); err != nil {
			return nil, err
		}
		m.Chunks = append(m.Chunks, chunk)
	}
	return m, nil
}

func encodeServices(ids []mesh.ServiceID) []*ServiceWanted {
	services := make([]*ServiceWanted, 0, len(ids))
	for _, id := range ids {
		services = append(services, &ServiceWanted{Customer: string(id.Customer), Service: string(id.Service)})
	}
	return services
}

func decodeServices(services []*ServiceWanted) []mesh.ServiceID {
	ids := make([]mesh.ServiceID, 0, len(services))
	for _, s := range services {
		ids = append(ids, mesh.ServiceID{Customer: mesh.Customer(s.GetCustomer()), Service: mesh.Service(s.GetService())})
	}
	return ids
}

func encodeMemberRecords(m ctlmsg.MemberRecords) *Members {
	members := &Members{Complete: encodeServices(m.CompleteServices)}
	for _, r := range m.Records {
		members.Upstreams = append(members.Upstreams, encodeRecord(r))
	}
	return members
}

func decodeMemberRecords(m *Members) (message ctlmsg.Message, err error) {
	members := ctlmsg.MemberRecords{CompleteServices: decodeServices(m.GetComplete())}
	for _, u := range m.GetUpstreams() {
		record, err := decodeRecord(u)
		if err != nil {
			return nil, err
		}
		members.Records = append(members.Records, record)
	}
	return members, nil
}

func encodeRelayList(m ctlmsg.RelayList) *Relays {
	relays := &Relays{}
	for _, r := range m.Relays {
		relays.Relays = append(relays.Relays, &Relay{
			Host: string(r.Host), Region: string(r.Place.Region), Zone: string(r.Place.Zone), Node: encodeAddress(r.Node),
		})
	}
	return relays
}

func decodeRelayList(r *Relays) (message ctlmsg.Message, err error) {
	m := ctlmsg.RelayList{}
	for _, e := range r.GetRelays() {
		node, err := decodeAddress(e.GetNode())
		if err != nil {
			return nil, err
		}
		m.Relays = append(m.Relays, relay.Relay{
			Host:  mesh.HostID(e.GetHost()),
			Place: mesh.Place{Region: mesh.Region(e.GetRegion()), Zone: mesh.Zone(e.GetZone())},
			Node:  node,
		})
	}
	return m, nil
}

func encodeMembershipDigests(m ctlmsg.MembershipDigests) *Digests {
	digests := &Digests{}
	for _, s := range m.Services {
		digests.Services = append(digests.Services, &ServiceDigest{
			Customer: string(s.ID.Customer), Service: string(s.ID.Service), Digest: s.Digest,
		})
	}
	return digests
}

func decodeMembershipDigests(d *Digests) ctlmsg.Message {
	m := ctlmsg.MembershipDigests{}
	for _, s := range d.GetServices() {
		m.Services = append(m.Services, ctlmsg.ServiceDigest{
			ID:     mesh.ServiceID{Customer: mesh.Customer(s.GetCustomer()), Service: mesh.Service(s.GetService())},
			Digest: s.GetDigest(),
		})
	}
	return m
}
