package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
)

// beat sends this node's heartbeat to the nodes that serve it: at once when it
// says something new, else at the heartbeat's interval and without the record. The nodes that it serves
// get an empty one, so that either end notices a link that fell silent.
type beat struct {
	*cells.Set
	alarm board.Alarm
	// links and last are what was sent last, and to whom.
	links []cells.LinkID
	last  ctlmsg.Heartbeat
	// due is the time of the next heartbeat, and dueAbroad that of the next one
	// on links between regions.
	due, dueAbroad time.Time
}

func newBeat(set *cells.Set) board.Controller {
	b := &beat{Set: set}
	return board.Controller{
		Name:   "beat",
		Reads:  []board.Ref{&set.Uplinks, &set.LocalRecord, &set.Config, &set.Adoption, &b.alarm},
		Uses:   []board.Ref{&set.Self, &set.Peers},
		Writes: []board.Ref{&set.LinkCommands, &b.alarm},
		Step:   b.step,
	}
}

func (b *beat) step(now time.Time) {
	links := b.Uplinks.Get().Links
	message := b.message()
	changed := message != b.last
	due, dueAbroad := !now.Before(b.due), !now.Before(b.dueAbroad)
	short := message
	short.Upstream = member.Record{}
	for _, l := range links {
		switch {
		case changed || !slices.Contains(b.links, l):
			send(b.Set, l, message)
		case due, dueAbroad && b.abroad(l):
			send(b.Set, l, short)
		}
	}
	b.links, b.last = links, message
	if due {
		b.answer(links)
		b.due = now.Add(b.Self.Get().Heartbeat)
	}
	if dueAbroad {
		b.dueAbroad = now.Add(b.Self.Get().Heartbeat / 2)
	}
	b.alarm.Set(b.due)
	if b.Uplinks.Get().Lead {
		b.alarm.SetIfEarlier(b.dueAbroad)
	}
}

// abroad reports whether a link joins this lead to one of another region.
func (b *beat) abroad(link cells.LinkID) bool {
	p := b.Peers.Read().Get(link)
	return p != nil && betweenRegions(b.Self.Get(), p)
}

// answer shows the nodes that this one serves that the link is alive.
func (b *beat) answer(uplinks []cells.LinkID) {
	for _, p := range b.Peers.Read().Identified() {
		if !slices.Contains(uplinks, p.Link) {
			send(b.Set, p.Link, ctlmsg.Heartbeat{Version: b.last.Version})
		}
	}
}

func (b *beat) message() ctlmsg.Heartbeat {
	status := b.Adoption.Get()
	return ctlmsg.Heartbeat{
		Upstream:       b.LocalRecord.Get(),
		Version:        b.Config.Get().Manifest.Version,
		RefusedVersion: status.Refused,
		RefusalReason:  status.Reason,
	}
}
