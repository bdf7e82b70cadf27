package ctrl

import (
	"math/rand/v2"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// Codec encodes and decodes documents and records. It keeps no state.
type Codec interface {
	// DecodePlan decodes the operator's document. An error anywhere in it rejects the
	// whole document.
	DecodePlan(data []byte) (*plan.Plan, error)
	// DecodeNode decodes the record of a node.
	DecodeNode(data []byte) (fleet.Node, error)
	// Compress compresses data with base as the dictionary; nil for no dictionary.
	Compress(data, base []byte) ([]byte, error)
	// Decompress reverses Compress with the same base.
	Decompress(packed, base []byte) ([]byte, error)
}

// AddProxy puts the controllers of a proxy on the board, in the order of their
// dependence. The source gives the jitter of every wait.
func AddProxy(b *board.Board, set *cells.Proxy, forms Codec, source rand.Source) {
	controllers := []board.Controller{
		newReach(set),
		newMeet(set),
		newRoster(set, forms),
		newGuest(set),
		newRecord(set, source),
		newFeed(set),
		newTake(set, forms),
		newTell(set, forms),
		newSweep(set),
		newServe(set),
		newSight(set),
		newDiary(set),
		newTick(&set.MetricsTicks),
	}
	for _, c := range controllers {
		b.Add(c)
	}
}

// proxySend queues a message for one link.
func proxySend(set *cells.Proxy, link cells.LinkID, message ctlmsg.Message) {
	set.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkSend, Link: link, Message: message})
}
