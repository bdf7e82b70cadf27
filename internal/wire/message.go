package wire

import (
	"fmt"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/talk"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// maxRelaySlot is the highest slot number accepted in an Invite message.
const maxRelaySlot = 1024

// EncodeControl converts a message to its wire form.
func EncodeControl(message talk.Message) *Control {
	switch m := message.(type) {
	case talk.Hello:
		return &Control{Body: &Control_Hello{Hello: encodeHello(m)}}
	case talk.Beat:
		return &Control{Body: &Control_Beat{Beat: encodeBeat(m)}}
	case talk.Held:
		return &Control{Body: &Control_Held{Held: encodeHeld(m)}}
	case talk.Config:
		return &Control{Body: &Control_Config{Config: encodeConfig(m)}}
	case talk.Members:
		return &Control{Body: &Control_Members{Members: encodeMembers(m)}}
	case talk.Relays:
		return &Control{Body: &Control_Relays{Relays: encodeRelays(m)}}
	case talk.Digests:
		return &Control{Body: &Control_Digests{Digests: encodeDigests(m)}}
	case talk.Later:
		return &Control{Body: &Control_Later{Later: &Later{AfterMicros: m.After.Microseconds()}}}
	case talk.Invite:
		return &Control{Body: &Control_Invite{Invite: &Invite{Slot: uint32(m.Slot)}}}
	case talk.Want:
		return &Control{Body: &Control_Want{Want: &Want{Version: uint64(m.Version)}}}
	case talk.Pulse:
		return &Control{Body: &Control_Pulse{Pulse: &Pulse{Version: uint64(m.Version), Reached: m.Reached}}}
	case talk.Document:
		return &Control{Body: &Control_Document{Document: &Document{
			Version: uint64(m.Version), Base: uint64(m.Base), Packed: m.Packed,
		}}}
	case talk.Roster:
		return &Control{Body: &Control_Roster{Roster: encodeRoster(m)}}
	default:
		panic(fmt.Sprintf("wire: no encoding for %T", message))
	}
}

// DecodeControl converts a message from its wire form. It returns an error if the
// message is invalid.
func DecodeControl(control *Control) (message talk.Message, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("control message: %w", err)
		}
	}()
	switch b := control.GetBody().(type) {
	case *Control_Hello:
		return decodeHello(b.Hello)
	case *Control_Beat:
		return decodeBeat(b.Beat)
	case *Control_Held:
		return decodeHeld(b.Held)
	case *Control_Config:
		return decodeConfig(b.Config)
	case *Control_Members:
		return decodeMembers(b.Members)
	case *Control_Relays:
		return decodeRelays(b.Relays)
	case *Control_Digests:
		return decodeDigests(b.Digests), nil
	case *Control_Later:
		return talk.Later{After: time.Duration(max(b.Later.GetAfterMicros(), 0)) * time.Microsecond}, nil
	case *Control_Invite:
		if b.Invite.GetSlot() > maxRelaySlot {
			return nil, fmt.Errorf("relay slot %d exceeds %d", b.Invite.GetSlot(), maxRelaySlot)
		}
		return talk.Invite{Slot: int(b.Invite.GetSlot())}, nil
	case *Control_Want:
		return talk.Want{Version: mesh.Version(b.Want.GetVersion())}, nil
	case *Control_Pulse:
		return talk.Pulse{Version: mesh.Version(b.Pulse.GetVersion()), Reached: b.Pulse.GetReached()}, nil
	case *Control_Document:
		return talk.Document{
			Version: mesh.Version(b.Document.GetVersion()), Base: mesh.Version(b.Document.GetBase()), Packed: b.Document.GetPacked(),
		}, nil
	case *Control_Roster:
		return decodeRoster(b.Roster)
	default:
		return nil, fmt.Errorf("unknown message type")
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

func encodeHello(m talk.Hello) *Hello {
	return &Hello{
		Host: string(m.Host), Region: string(m.Place.Region), Zone: string(m.Place.Zone),
		Node: encodeAddress(m.Node), Incarnation: m.Incarnation,
		Relay: m.Relay, Whole: m.Whole, Protocol: m.Protocol, Reached: m.Reached,
	}
}

func decodeHello(h *Hello) (message talk.Message, err error) {
	m := talk.Hello{
		Host:        mesh.HostID(h.GetHost()),
		Place:       mesh.Place{Region: mesh.Region(h.GetRegion()), Zone: mesh.Zone(h.GetZone())},
		Incarnation: h.GetIncarnation(),
		Relay:       h.GetRelay(),
		Whole:       h.GetWhole(),
		Protocol:    h.GetProtocol(),
		Reached:     h.GetReached(),
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

func encodeBeat(m talk.Beat) *Beat {
	b := &Beat{Version: uint64(m.Version)}
	if m.Upstream.Host != "" {
		b.Upstream = encodeRecord(m.Upstream)
	}
	if m.Refused != 0 {
		b.Refusal = &Refusal{Version: uint64(m.Refused), Reason: m.Reason}
	}
	return b
}

func decodeBeat(b *Beat) (message talk.Message, err error) {
	m := talk.Beat{
		Version: mesh.Version(b.GetVersion()),
		Refused: mesh.Version(b.GetRefusal().GetVersion()),
		Reason:  b.GetRefusal().GetReason(),
	}
	if b.GetUpstream() != nil {
		if m.Upstream, err = decodeRecord(b.GetUpstream()); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func encodeHeld(m talk.Held) *Held {
	h := &Held{Version: uint64(m.Version), Services: encodeServices(m.Services), Reset_: m.Reset}
	for _, s := range m.Scopes {
		h.Scopes = append(h.Scopes, &ScopeHeld{Scope: string(s.Path), Digest: encodeDigest(s.Digest)})
	}
	return h
}

func decodeHeld(h *Held) (message talk.Message, err error) {
	m := talk.Held{Version: mesh.Version(h.GetVersion()), Services: decodeServices(h.GetServices()), Reset: h.GetReset_()}
	for _, s := range h.GetScopes() {
		scope := talk.Scope{}
		if scope.Path, err = tree.ParsePath(s.GetScope()); err != nil {
			return nil, err
		}
		if scope.Digest, err = decodeDigest(s.GetDigest()); err != nil {
			return nil, err
		}
		m.Scopes = append(m.Scopes, scope)
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

func encodeMembers(m talk.Members) *Members {
	members := &Members{Complete: encodeServices(m.Complete)}
	for _, r := range m.Records {
		members.Upstreams = append(members.Upstreams, encodeRecord(r))
	}
	return members
}

func decodeMembers(m *Members) (message talk.Message, err error) {
	members := talk.Members{Complete: decodeServices(m.GetComplete())}
	for _, u := range m.GetUpstreams() {
		record, err := decodeRecord(u)
		if err != nil {
			return nil, err
		}
		members.Records = append(members.Records, record)
	}
	return members, nil
}

func encodeRelays(m talk.Relays) *Relays {
	relays := &Relays{}
	for _, r := range m.Relays {
		relays.Relays = append(relays.Relays, &Relay{
			Host: string(r.Host), Region: string(r.Place.Region), Zone: string(r.Place.Zone), Node: encodeAddress(r.Node),
		})
	}
	return relays
}

func decodeRelays(r *Relays) (message talk.Message, err error) {
	m := talk.Relays{}
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

func encodeDigests(m talk.Digests) *Digests {
	digests := &Digests{}
	for _, s := range m.Services {
		digests.Services = append(digests.Services, &ServiceDigest{
			Customer: string(s.ID.Customer), Service: string(s.ID.Service), Digest: s.Digest,
		})
	}
	return digests
}

func decodeDigests(d *Digests) talk.Message {
	m := talk.Digests{}
	for _, s := range d.GetServices() {
		m.Services = append(m.Services, talk.ServiceDigest{
			ID:     mesh.ServiceID{Customer: mesh.Customer(s.GetCustomer()), Service: mesh.Service(s.GetService())},
			Digest: s.GetDigest(),
		})
	}
	return m
}
