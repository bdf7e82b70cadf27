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

// storedSlot is the JSON encoding of a relay slot.
type storedSlot struct {
	Token   string        `json:"token"`
	Host    mesh.HostID   `json:"host"`
	Region  mesh.Region   `json:"region"`
	Zone    mesh.Zone     `json:"zone"`
	Node    string        `json:"node"`
	Summary storedSummary `json:"mark"`
	// Renewed is the time of the write by the writer's clock.
	Renewed time.Time `json:"renewed"`
}

// storedSummary is the JSON encoding of a relay.Summary.
type storedSummary struct {
	Version  mesh.Version    `json:"version"`
	Children int             `json:"children"`
	Behind   int             `json:"behind"`
	Refusals []storedRefusal `json:"refusals,omitempty"`
}

// storedRefusal is the JSON encoding of a relay.Refusal.
type storedRefusal struct {
	Host    mesh.HostID  `json:"host"`
	Version mesh.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// maxReasonLength is the maximum length of a stored reason in bytes. Longer
// reasons are truncated.
const maxReasonLength = 512

// ReadSlots returns the relay slots of a zone, or of all zones when zone is
// empty, sorted by zone and number. Slots that cannot be decoded are skipped.
func ReadSlots(ctx context.Context, objects Objects, zone mesh.Zone) (slots []cells.SlotObject, err error) {
	prefix := relayPrefix
	if zone != "" {
		prefix += string(zone) + "/"
	}
	list, _, err := objects.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("read relay slots: %w", err)
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
		return slot, fmt.Errorf("key has no slot number")
	}
	if slot.Number, err = strconv.Atoi(number); err != nil {
		return slot, err
	}
	var stored storedSlot
	if err = json.Unmarshal(object.Value, &stored); err != nil {
		return slot, err
	}
	slot.RenewedAt = stored.Renewed
	slot.Zone, slot.Version, slot.Token = mesh.Zone(zone), object.Version, stored.Token
	slot.Relay = relay.Relay{Host: stored.Host, Place: mesh.Place{Region: stored.Region, Zone: stored.Zone}}
	if slot.Relay.Node, err = netip.ParseAddrPort(stored.Node); err != nil {
		return slot, err
	}
	slot.Summary = relay.Summary{
		Zone: stored.Zone, Version: stored.Summary.Version, Children: stored.Summary.Children, Behind: stored.Summary.Behind,
	}
	for _, r := range stored.Summary.Refusals {
		slot.Summary.Refusals = append(slot.Summary.Refusals, relay.Refusal(r))
	}
	return slot, nil
}

// writeSlot creates the slot's object when slot.Version is zero and otherwise
// updates it. It returns the new version of the object.
func (d *Driver) writeSlot(slot cells.SlotObject) (version uint64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write relay slot: %w", err)
		}
	}()
	stored := storedSlot{
		Token: slot.Token, Host: slot.Relay.Host, Region: slot.Relay.Place.Region, Zone: slot.Relay.Place.Zone,
		Node: slot.Relay.Node.String(), Renewed: time.Now(),
		Summary: storedSummary{Version: slot.Summary.Version, Children: slot.Summary.Children, Behind: slot.Summary.Behind},
	}
	for _, r := range slot.Summary.Refusals {
		r.Reason = r.Reason[:min(len(r.Reason), maxReasonLength)]
		stored.Summary.Refusals = append(stored.Summary.Refusals, storedRefusal(r))
	}
	value, err := json.Marshal(stored)
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
