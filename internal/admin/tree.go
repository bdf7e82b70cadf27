package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cloudwego/hertz/pkg/app"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// platformTimeout bounds how long one request waits for the platform.
const platformTimeout = 10 * time.Second

// read returns the head and its tree. If it fails, it has written the response.
func (a *API) read(ctx context.Context, c *app.RequestContext) (head tree.Head, settings *tree.Tree, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	head, settings, _, err := a.Configuration.Read(ctx)
	if err != nil {
		writeError(c, err)
		return head, nil, false
	}
	return head, settings, true
}

func (a *API) tree(ctx context.Context, c *app.RequestContext) {
	head, settings, ok := a.read(ctx, c)
	if !ok {
		return
	}
	text, err := sheet.RenderYAML(settings)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, forms.Tree{Version: head.Version, YAML: string(text)})
}

func (a *API) effective(ctx context.Context, c *app.RequestContext) {
	path, err := tree.ParsePath(c.Query("path"))
	if err != nil {
		writeError(c, &invalidError{err: err})
		return
	}
	head, settings, ok := a.read(ctx, c)
	if !ok {
		return
	}
	effective, err := settings.EffectiveSettings(path)
	if err != nil {
		writeError(c, err)
		return
	}
	body := forms.Effective{Version: head.Version, Path: path}
	for _, o := range effective.Origins {
		body.Origins = append(body.Origins, forms.Origin(o))
	}
	c.JSON(http.StatusOK, body)
}

func (a *API) submit(ctx context.Context, c *app.RequestContext) {
	var body forms.Change
	if err := decodeBody(c, &body); err != nil {
		writeError(c, err)
		return
	}
	if err := checkChange(body); err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	version, err := a.Configuration.Submit(ctx, tree.Change{
		ID: body.ID, Author: body.Author, Note: body.Note, Base: body.Base, Edits: forms.ToTreeEdits(body.Edits),
	})
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, forms.Accepted{Version: version})
}

// checkChange rejects changes that lack a required field, or whose texts contain
// control characters, which must not get into the history.
func checkChange(body forms.Change) (err error) {
	if body.ID == "" {
		return &invalidError{err: errors.New("id is missing")}
	}
	if body.Author == "" {
		return &invalidError{err: errors.New("author is missing")}
	}
	if len(body.Edits) == 0 {
		return &invalidError{err: errors.New("edits are missing")}
	}
	for _, text := range []string{string(body.ID), body.Author, body.Note} {
		if strings.ContainsFunc(text, unicode.IsControl) {
			return &invalidError{err: fmt.Errorf("%q contains control characters", text)}
		}
	}
	return nil
}

func (a *API) history(ctx context.Context, c *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	head, _, err := a.Configuration.Head(ctx)
	if err != nil {
		writeError(c, err)
		return
	}
	body := forms.History{Version: head.Version, Changes: []forms.HistoryEntry{}}
	for _, r := range slices.Backward(head.Recent) {
		body.Changes = append(body.Changes, forms.HistoryEntry{
			Version: r.Version, ID: r.ID, Author: r.Author, Note: r.Note, At: r.At,
			Edits: forms.FromTreeEdits(r.Edits), Inverse: forms.FromTreeEdits(r.Inverse),
		})
	}
	c.JSON(http.StatusOK, body)
}

func (a *API) rollout(ctx context.Context, c *app.RequestContext) {
	number, err := strconv.ParseUint(c.Query("version"), 10, 64)
	if err != nil {
		writeError(c, &invalidError{err: fmt.Errorf("version: %w", err)})
		return
	}
	version := mesh.Version(number)
	progress, _, err := a.readProgress(ctx)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, rolloutOf(version, progress))
}

// readProgress merges the reports of all relays.
func (a *API) readProgress(ctx context.Context) (progress relay.Progress, relays []forms.Relay, err error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	slots, err := a.Slots.ReadSlots(ctx)
	if err != nil {
		return progress, nil, err
	}
	summaries := make([]relay.Summary, 0, len(slots))
	for _, s := range slots {
		summaries = append(summaries, a.currentSummary(s, time.Now()))
		relays = append(relays, forms.Relay{
			Host: s.Relay.Host, Region: s.Relay.Place.Region, Zone: s.Zone, Node: s.Relay.Node,
			Slot: s.Number, Nodes: s.Summary.Children,
		})
	}
	return relay.Merge(summaries), relays, nil
}

// currentSummary returns the report of a relay. If the slot has not been renewed
// within StaleAfter, it returns an empty report, so that the zone counts as
// silent unless another of its relays reports.
func (a *API) currentSummary(slot cells.SlotObject, now time.Time) relay.Summary {
	if a.StaleAfter > 0 && !slot.RenewedAt.IsZero() && now.Sub(slot.RenewedAt) > a.StaleAfter {
		return relay.Summary{Zone: slot.Zone}
	}
	return slot.Summary
}

func rolloutOf(version mesh.Version, progress relay.Progress) forms.Rollout {
	expected := make([]relay.ExpectedZone, 0, len(progress.Zones))
	for _, z := range progress.Zones {
		// The zone has at least one host, the relay that reports on it.
		expected = append(expected, relay.ExpectedZone{Zone: z.Zone, Hosts: 1})
	}
	status := progress.Status(version, expected)
	body := forms.Rollout{Version: version, InForce: status.InForce && len(progress.Zones) > 0, Zones: []forms.ZoneProgress{}}
	for _, z := range progress.Zones {
		zone := forms.ZoneProgress{
			Zone: z.Zone, Version: z.Version, Nodes: z.Children, Behind: z.Behind, State: "inForce",
		}
		for _, r := range z.Refusals {
			zone.Refusals = append(zone.Refusals, forms.Refusal(r))
		}
		switch {
		case slices.Contains(status.Refused, z.Zone):
			zone.State = "refused"
		case slices.Contains(status.Silent, z.Zone):
			zone.State = "silent"
		case slices.Contains(status.Behind, z.Zone):
			zone.State = "behind"
		}
		body.Zones = append(body.Zones, zone)
	}
	return body
}

func (a *API) fleet(ctx context.Context, c *app.RequestContext) {
	progress, relays, err := a.readProgress(ctx)
	if err != nil {
		writeError(c, err)
		return
	}
	version := progress.Version()
	for _, z := range progress.Zones {
		version = max(version, z.Version)
	}
	c.JSON(http.StatusOK, forms.Fleet{Version: version, Zones: rolloutOf(version, progress).Zones, Relays: relays})
}
