package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
)

// heartbeat sends heartbeats on this node's links. The nodes that serve it get a
// complete one on a new link and whenever its content changes, and otherwise one
// per interval that leaves out the record. The nodes that it serves get one with
// only the version, so that both ends of a link detect when it delivers no messages.
type heartbeat struct {
	*cells.Node
	alarm board.Alarm
	// lastLinks are the uplinks at the last step, and lastMessage is the content
	// that was sent on them.
	lastLinks   []cells.LinkID
	lastMessage ctlmsg.Heartbeat
	// nextAt is the time of the next heartbeat, and nextInterRegionAt that of the
	// next one on links between regions.
	nextAt, nextInterRegionAt time.Time
}

func newHeartbeat(node *cells.Node) board.Controller {
	h := &heartbeat{Node: node}
	return board.Controller{
		Name:   "heartbeat",
		Reads:  []board.Ref{&node.Uplinks, &node.LocalRecord, &node.Config, &node.Adoption, &h.alarm},
		Uses:   []board.Ref{&node.Self, &node.Peers},
		Writes: []board.Ref{&node.LinkCommands, &h.alarm},
		Step:   h.step,
	}
}

func (h *heartbeat) step(now time.Time) {
	links := h.Uplinks.Get().Links
	message := h.message()
	changed := message != h.lastMessage
	due, interRegionDue := !now.Before(h.nextAt), !now.Before(h.nextInterRegionAt)
	withoutRecord := message
	withoutRecord.Upstream = member.Record{}
	for _, l := range links {
		switch {
		case changed || !slices.Contains(h.lastLinks, l):
			send(h.Node, l, message)
		case due, interRegionDue && h.crossesRegions(l):
			send(h.Node, l, withoutRecord)
		}
	}
	h.lastLinks, h.lastMessage = links, message
	if due {
		h.sendToChildren(links)
		h.nextAt = now.Add(h.Self.Get().Heartbeat)
	}
	if interRegionDue {
		h.nextInterRegionAt = now.Add(h.Self.Get().Heartbeat / 2)
	}
	h.alarm.Set(h.nextAt)
	if h.Uplinks.Get().Lead {
		h.alarm.SetIfEarlier(h.nextInterRegionAt)
	}
}

// crossesRegions reports whether a link leads to a relay of another region.
func (h *heartbeat) crossesRegions(link cells.LinkID) bool {
	p := h.Peers.Read().Get(link)
	return p != nil && betweenRegions(h.Self.Get(), p)
}

// sendToChildren sends a heartbeat with only the version on each link that is not
// an uplink.
func (h *heartbeat) sendToChildren(uplinks []cells.LinkID) {
	for _, p := range h.Peers.Read().Identified() {
		if !slices.Contains(uplinks, p.Link) {
			send(h.Node, p.Link, ctlmsg.Heartbeat{Version: h.lastMessage.Version})
		}
	}
}

func (h *heartbeat) message() ctlmsg.Heartbeat {
	status := h.Adoption.Get()
	return ctlmsg.Heartbeat{
		Upstream:       h.LocalRecord.Get(),
		Version:        h.Config.Get().Manifest.Version,
		RefusedVersion: status.Refused,
		RefusalReason:  status.Reason,
	}
}
