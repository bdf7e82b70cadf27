// Package ctrl holds the node's controllers. Each is a step over the cells that
// it names, runs on the control thread and does no I/O; one file holds one
// controller.
package ctrl

import (
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// retryFirst and retryLongest bound the jittered wait between two tries to reach a
// relay or the platform.
const (
	retryFirst   = 200 * time.Millisecond
	retryLongest = 15 * time.Second
)

// AddNode puts the controllers of a node on the board, in the order of their dependence.
// The source gives the jitter of every wait.
func AddNode(b *board.Board, set *cells.Set, source rand.Source) {
	controllers := []board.Controller{
		// Demand goes before links, so that a node greets as what it wants to be
		// before it asks for more.
		newDemand(set),
		newLinks(set),
		newLocal(set),
		newSlot(set, source),
		newDirectory(set, source),
		newUplink(set, source),
		newHead(set),
		newAdoption(set),
		newRecords(set),
		newAsk(set),
		newBeat(set),
		newSpread(set),
		newGossip(set),
		newMarks(set),
		newInvite(set),
		newLife(set),
		newNodeSnapshotBuilder(set),
		newNodeLog(set),
		newTick(&set.MetricsTicks),
	}
	for _, c := range controllers {
		b.Add(c)
	}
}

// send queues a message for one link.
func send(set *cells.Set, link cells.LinkID, message ctlmsg.Message) {
	set.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkSend, Link: link, Message: message})
}

// spreadOut returns a duration spread over half to all of d, so that many nodes
// that start together do not act together.
func spreadOut(d time.Duration, source rand.Source) time.Duration {
	return d/2 + jitter(d/2, source)
}

// jitter returns a duration between zero and d.
func jitter(d time.Duration, source rand.Source) time.Duration {
	return time.Duration(rand.New(source).Int64N(int64(d)))
}
