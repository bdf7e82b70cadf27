package ctrl

import (
	"math/rand/v2"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// Forms reads and packs what travels; it keeps no state that decides anything.
type Forms interface {
	// ReadPlan reads the operator's document, which stands or falls as a whole.
	ReadPlan(data []byte) (*plan.Plan, error)
	// ReadNode reads a node's record.
	ReadNode(data []byte) (fleet.Node, error)
	// Pack compresses data with the base as its dictionary; a nil base is none.
	Pack(data, base []byte) ([]byte, error)
	// Unpack undoes Pack.
	Unpack(packed, base []byte) ([]byte, error)
}

// AddProxy puts the controllers of a proxy on the board, in the order of their
// dependence. The source gives the jitter of every wait.
func AddProxy(b *board.Board, set *cells.Proxy, forms Forms, source rand.Source) {
	controllers := []board.Controller{
		newReach(set),
		newMeet(set),
		newRoster(set, forms),
		newGuest(set),
		newRecord(set, source),
		newFeed(set),
		newTake(set, forms),
		newPublisher(set, forms),
		newSweep(set),
		newServe(set),
		newSight(set),
		newProxyLog(set),
		newTick(&set.Ticked),
	}
	for _, c := range controllers {
		b.Add(c)
	}
}

// say queues a message for one link.
func say(set *cells.Proxy, link cells.LinkID, message ctlmsg.Message) {
	set.LinkOut.Send(cells.LinkCommand{Action: cells.LinkSend, Link: link, Message: message})
}
