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

// nodeForm is the JSON form of a node's record in the platform.
type nodeForm struct {
	Host     mesh.HostID    `json:"host"`
	Region   mesh.Region    `json:"region"`
	Zone     mesh.Zone      `json:"zone"`
	Address  netip.AddrPort `json:"address"`
	Trip     string         `json:"trip,omitempty"`
	Link     int64          `json:"linkBytesPerSecond,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
	Upstream *upstreamForm  `json:"upstream,omitempty"`
}

// upstreamForm is the JSON form of the upstream beside a node.
type upstreamForm struct {
	Instance string         `json:"instance"`
	Born     int64          `json:"bornMilliseconds,omitempty"`
	Sequence uint64         `json:"sequence"`
	Service  mesh.Service   `json:"service"`
	Address  netip.AddrPort `json:"address"`
	State    string         `json:"state"`
	Slots    int            `json:"slots"`
	Cold     int64          `json:"coldMilliseconds,omitempty"`
}

// EncodeNode returns the JSON form of a node's record.
func EncodeNode(n fleet.Node) (data []byte, err error) {
	form := nodeForm{
		Host: n.Host, Region: n.Place.Region, Zone: n.Place.Zone, Address: n.Address, Link: n.LinkRate, Leaving: n.Leaving,
	}
	if n.PlatformRTT > 0 {
		form.Trip = n.PlatformRTT.Round(10 * time.Microsecond).String()
	}
	if u := n.Upstream; u.Instance != "" {
		form.Upstream = &upstreamForm{
			Instance: u.Instance, Born: milliseconds(u.StartedAt), Sequence: u.Sequence, Service: u.Service,
			Address: u.Address, State: u.State.String(), Slots: u.Slots, Cold: u.ColdRemaining.Milliseconds(),
		}
	}
	return json.Marshal(form)
}

// DecodeNode reads the JSON form of a node's record.
func DecodeNode(data []byte) (n fleet.Node, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("node record: %w", err)
		}
	}()
	var form nodeForm
	if err = json.Unmarshal(data, &form); err != nil {
		return n, err
	}
	if err = mesh.CheckName(string(form.Host)); err != nil {
		return n, err
	}
	if !form.Address.IsValid() {
		return n, fmt.Errorf("address is missing")
	}
	n = fleet.Node{
		Host: form.Host, Place: mesh.Place{Region: form.Region, Zone: form.Zone}, Address: form.Address, LinkRate: form.Link, Leaving: form.Leaving,
	}
	if form.Trip != "" {
		if n.PlatformRTT, err = time.ParseDuration(form.Trip); err != nil {
			return n, err
		}
	}
	if u := form.Upstream; u != nil {
		state, err := member.ParseState(u.State)
		if err != nil {
			return n, err
		}
		n.Upstream = fleet.Upstream{
			Instance: u.Instance, StartedAt: fromMilliseconds(u.Born), Sequence: u.Sequence, Service: u.Service,
			Address: u.Address, State: state, Slots: u.Slots, ColdRemaining: time.Duration(u.Cold) * time.Millisecond,
		}
	}
	return n, nil
}

// milliseconds returns Unix milliseconds, zero for the zero time.
func milliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMilliseconds(unix int64) time.Time {
	if unix == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unix)
}
