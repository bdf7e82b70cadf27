package repo

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

// slotBody is the stored form of a relay slot.
type slotBody struct {
	Token  string      `json:"token"`
	Host   mesh.HostID `json:"host"`
	Region mesh.Region `json:"region"`
	Zone   mesh.Zone   `json:"zone"`
	Node   string      `json:"node"`
	Mark   markBody    `json:"mark"`
	// Renewed is when the slot was written, by the writer's clock.
	Renewed time.Time `json:"renewed"`
}

// markBody is the stored form of a relay's report.
type markBody struct {
	Version  mesh.Version  `json:"version"`
	Children int           `json:"children"`
	Behind   int           `json:"behind"`
	Refusals []refusalBody `json:"refusals,omitempty"`
}

// refusalBody is the stored form of one refusal.
type refusalBody struct {
	Host    mesh.HostID  `json:"host"`
	Version mesh.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// maxReasonLength bounds a stored reason, in bytes.
const maxReasonLength = 512

// ReadSlots reads the relay slots of one zone, or of all when it is empty,
// sorted by zone and number. Slots that can't be decoded are left out.
func ReadSlots(ctx context.Context, objects Objects, zone mesh.Zone) (slots []cells.SlotObject, err error) {
	prefix := relayPrefix
	if zone != "" {
		prefix += string(zone) + "/"
	}
	list, _, err := objects.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("relay slots: %w", err)
	}
	for _, o := range list {
		if s, decodeErr := decodeSlot(o); decodeErr == nil {
			slots = append(slots, s)
		}
	}
	slices.SortFunc(slots, func(a, b cells.SlotObject) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Number, b.Number))
	})
	return slots, nil
}

func decodeSlot(object store.Object) (slot cells.SlotObject, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("slot %q: %w", object.Key, err)
		}
	}()
	zone, number, found := strings.Cut(strings.TrimPrefix(object.Key, relayPrefix), "/")
	if !found {
		return slot, fmt.Errorf("key has no number")
	}
	if slot.Number, err = strconv.Atoi(number); err != nil {
		return slot, err
	}
	var body slotBody
	if err = json.Unmarshal(object.Value, &body); err != nil {
		return slot, err
	}
	slot.RenewedAt = body.Renewed
	slot.Zone, slot.Version, slot.Token = mesh.Zone(zone), object.Version, body.Token
	slot.Relay = relay.Relay{Host: body.Host, Place: mesh.Place{Region: body.Region, Zone: body.Zone}}
	if slot.Relay.Node, err = netip.ParseAddrPort(body.Node); err != nil {
		return slot, err
	}
	slot.Summary = relay.Summary{
		Zone: body.Zone, Version: body.Mark.Version, Children: body.Mark.Children, Behind: body.Mark.Behind,
	}
	for _, r := range body.Mark.Refusals {
		slot.Summary.Refusals = append(slot.Summary.Refusals, relay.Refusal(r))
	}
	return slot, nil
}

// writeSlot creates the slot when its version is zero, else updates it.
func (d *Driver) writeSlot(slot cells.SlotObject) (version uint64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write slot: %w", err)
		}
	}()
	body := slotBody{
		Token: slot.Token, Host: slot.Relay.Host, Region: slot.Relay.Place.Region, Zone: slot.Relay.Place.Zone,
		Node: slot.Relay.Node.String(), Renewed: time.Now(),
		Mark: markBody{Version: slot.Summary.Version, Children: slot.Summary.Children, Behind: slot.Summary.Behind},
	}
	for _, r := range slot.Summary.Refusals {
		r.Reason = r.Reason[:min(len(r.Reason), maxReasonLength)]
		body.Mark.Refusals = append(body.Mark.Refusals, refusalBody(r))
	}
	value, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, key := store.WithUrgency(d.ctx), slotKey(slot.Zone, slot.Number)
	var object store.Object
	if slot.Version == 0 {
		object, err = d.objects.Create(ctx, key, value)
	} else {
		object, err = d.objects.Update(ctx, key, value, slot.Version)
	}
	return object.Version, err
}
