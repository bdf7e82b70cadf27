// Package ctrl holds the controllers of a node and of a proxy. A controller reads
// and writes the cells that it declares, runs on the control thread and does no
// I/O. Most files hold one controller and are named after its type.
//
// A node is served by the nodes, normally relays, from which it gets configuration
// and records; its links to them are its uplinks. The nodes that a relay serves are
// its children. The lead of a region is the relay that exchanges control messages
// with the other regions.
package ctrl

import (
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// retryInitial and retryMax bound the jittered backoff between two attempts to
// reach a relay or the platform.
const (
	retryInitial = 200 * time.Millisecond
	retryMax     = 15 * time.Second
)

// AddNode adds the controllers of a node to the board in dependency order. The
// source provides the jitter of all delays.
func AddNode(b *board.Board, set *cells.Node, source rand.Source) {
	controllers := []board.Controller{
		// Subscription runs before links, so that a node's Hello says that it wants all
		// chunks before the node requests them.
		newSubscription(set),
		newLinks(set),
		newLocalUpstream(set),
		newRelaySlot(set, source),
		newDirectory(set, source),
		newUplink(set, source),
		newHeadWatcher(set),
		newAdoption(set),
		newRecords(set),
		newConfigRequester(set),
		newHeartbeat(set),
		newConfigSender(set),
		newGossip(set),
		newChildSummary(set),
		newInviter(set),
		newLifecycle(set),
		newNodeSnapshotBuilder(set),
		newNodeLog(set),
		newTick(&set.MetricsTicks),
	}
	for _, c := range controllers {
		b.Add(c)
	}
}

// send queues a message on a link of the node.
func send(set *cells.Node, link cells.LinkID, message ctlmsg.Message) {
	set.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkSend, Link: link, Message: message})
}

// equalJitter returns a random duration between half of d and d, so that nodes
// that start at the same time do not act at the same time.
func equalJitter(d time.Duration, source rand.Source) time.Duration {
	return d/2 + fullJitter(d/2, source)
}

// fullJitter returns a random duration between zero and d.
func fullJitter(d time.Duration, source rand.Source) time.Duration {
	return time.Duration(rand.New(source).Int64N(int64(d)))
}
