package sheet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// nodeJSON is the JSON form of a node's record on the platform.
type nodeJSON struct {
	Host        mesh.HostID    `json:"host"`
	Region      mesh.Region    `json:"region"`
	Zone        mesh.Zone      `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	PlatformRTT string         `json:"trip,omitempty"`
	LinkRate    int64          `json:"linkBytesPerSecond,omitempty"`
	Leaving     bool           `json:"leaving,omitempty"`
	Upstream    *upstreamJSON  `json:"upstream,omitempty"`
}

// upstreamJSON is the JSON form of a node's local upstream.
type upstreamJSON struct {
	Instance      string         `json:"instance"`
	StartedAt     int64          `json:"bornMilliseconds,omitempty"`
	Sequence      uint64         `json:"sequence"`
	Service       mesh.Service   `json:"service"`
	Address       netip.AddrPort `json:"address"`
	State         string         `json:"state"`
	Slots         int            `json:"slots"`
	ColdRemaining int64          `json:"coldMilliseconds,omitempty"`
}

// EncodeNode encodes a node's record as JSON.
func EncodeNode(n fleet.Node) (data []byte, err error) {
	body := nodeJSON{
		Host: n.Host, Region: n.Place.Region, Zone: n.Place.Zone, Address: n.Address, LinkRate: n.LinkRate, Leaving: n.Leaving,
	}
	if n.PlatformRTT > 0 {
		body.PlatformRTT = n.PlatformRTT.Round(10 * time.Microsecond).String()
	}
	if u := n.Upstream; u.Instance != "" {
		body.Upstream = &upstreamJSON{
			Instance: u.Instance, StartedAt: unixMilli(u.StartedAt), Sequence: u.Sequence, Service: u.Service,
			Address: u.Address, State: u.State.String(), Slots: u.Slots, ColdRemaining: u.ColdRemaining.Milliseconds(),
		}
	}
	return json.Marshal(body)
}

// DecodeNode decodes a node's record.
func DecodeNode(data []byte) (n fleet.Node, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("node record: %w", err)
		}
	}()
	var body nodeJSON
	if err = json.Unmarshal(data, &body); err != nil {
		return n, err
	}
	if err = mesh.CheckName(string(body.Host)); err != nil {
		return n, err
	}
	if !body.Address.IsValid() {
		return n, fmt.Errorf("address is missing")
	}
	n = fleet.Node{
		Host: body.Host, Place: mesh.Place{Region: body.Region, Zone: body.Zone}, Address: body.Address, LinkRate: body.LinkRate, Leaving: body.Leaving,
	}
	if body.PlatformRTT != "" {
		if n.PlatformRTT, err = time.ParseDuration(body.PlatformRTT); err != nil {
			return n, err
		}
	}
	if u := body.Upstream; u != nil {
		state, err := member.ParseState(u.State)
		if err != nil {
			return n, err
		}
		n.Upstream = fleet.Upstream{
			Instance: u.Instance, StartedAt: timeFromUnixMilli(u.StartedAt), Sequence: u.Sequence, Service: u.Service,
			Address: u.Address, State: state, Slots: u.Slots, ColdRemaining: time.Duration(u.ColdRemaining) * time.Millisecond,
		}
	}
	return n, nil
}

// unixMilli returns the Unix time in milliseconds, zero for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFromUnixMilli(unix int64) time.Time {
	if unix == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unix)
}
