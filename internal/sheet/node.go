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
	StoreEra    uint64         `json:"storeEra,omitempty"`
	Version     mesh.Version   `json:"version,omitempty"`
	Upstream    *upstreamJSON  `json:"upstream,omitempty"`
	Beside      *upstreamJSON  `json:"beside,omitempty"`
}

// upstreamJSON is the JSON form of a node's local upstream.
type upstreamJSON struct {
	Instance      string         `json:"instance"`
	StartedAt     int64          `json:"bornMilliseconds,omitempty"`
	Sequence      uint64         `json:"sequence"`
	Service       mesh.Service   `json:"service"`
	Release       mesh.Release   `json:"release,omitempty"`
	Address       netip.AddrPort `json:"address"`
	State         string         `json:"state"`
	Slots         int            `json:"slots"`
	ColdRemaining int64          `json:"coldMilliseconds,omitempty"`
}

// EncodeNode encodes a node's record as JSON.
func EncodeNode(n fleet.Node) (data []byte, err error) {
	body := nodeJSON{
		Host: n.Host, Region: n.Place.Region, Zone: n.Place.Zone, Address: n.Address, LinkRate: n.LinkRate, Leaving: n.Leaving,
		StoreEra: n.StoreEra, Version: n.Version,
	}
	if n.PlatformRTT > 0 {
		body.PlatformRTT = n.PlatformRTT.Round(fleet.MinPlatformRTT).String()
	}
	body.Upstream, body.Beside = encodeUpstream(n.Upstream), encodeUpstream(n.Beside)
	return json.Marshal(body)
}

// encodeUpstream returns nil if there is no upstream.
func encodeUpstream(u fleet.Upstream) *upstreamJSON {
	if u.Instance == "" {
		return nil
	}
	return &upstreamJSON{
		Instance: u.Instance, StartedAt: unixMilli(u.StartedAt), Sequence: u.Sequence, Service: u.Service, Release: u.Release,
		Address: u.Address, State: u.State.String(), Slots: u.Slots, ColdRemaining: u.ColdRemaining.Milliseconds(),
	}
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
	if err = mesh.CheckAddress(body.Address); err != nil {
		return n, err
	}
	if body.LinkRate < 0 || body.LinkRate > fleet.MaxLinkRate {
		return n, fmt.Errorf("link rate of %d bytes per second is out of range", body.LinkRate)
	}
	n = fleet.Node{
		Host: body.Host, Place: mesh.Place{Region: body.Region, Zone: body.Zone}, Address: body.Address, LinkRate: body.LinkRate, Leaving: body.Leaving,
		StoreEra: body.StoreEra, Version: body.Version,
	}
	if body.PlatformRTT != "" {
		if n.PlatformRTT, err = time.ParseDuration(body.PlatformRTT); err != nil {
			return n, err
		}
		if n.PlatformRTT != 0 && n.PlatformRTT < fleet.MinPlatformRTT {
			return n, fmt.Errorf("round-trip time %s is out of range", n.PlatformRTT)
		}
	}
	if body.Upstream != nil {
		if n.Upstream, err = body.Upstream.decode(); err != nil {
			return n, err
		}
	}
	if body.Beside != nil {
		n.Beside, err = body.Beside.decode()
	}
	return n, err
}

// decode checks the fields and returns the upstream.
func (u *upstreamJSON) decode() (upstream fleet.Upstream, err error) {
	state, err := member.ParseState(u.State)
	if err != nil {
		return upstream, err
	}
	if err = mesh.CheckAddress(u.Address); err != nil {
		return upstream, fmt.Errorf("upstream: %w", err)
	}
	if u.Slots < 1 || u.Slots > fleet.MaxSlots {
		return upstream, fmt.Errorf("%d slots, want 1 to %d", u.Slots, fleet.MaxSlots)
	}
	if u.ColdRemaining < 0 || u.ColdRemaining > fleet.MaxColdTime.Milliseconds() {
		return upstream, fmt.Errorf("cold for %d ms, want 0 to %d", u.ColdRemaining, fleet.MaxColdTime.Milliseconds())
	}
	return fleet.Upstream{
		Instance: u.Instance, StartedAt: timeFromUnixMilli(u.StartedAt), Sequence: u.Sequence, Service: u.Service, Release: u.Release,
		Address: u.Address, State: state, Slots: u.Slots, ColdRemaining: time.Duration(u.ColdRemaining) * time.Millisecond,
	}, nil
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
