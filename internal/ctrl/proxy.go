package ctrl

import (
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// Codec encodes and decodes documents and records. It keeps no state.
type Codec interface {
	// DecodePlan decodes the operator's document. An error anywhere in it rejects the
	// whole document.
	DecodePlan(data []byte) (*plan.Plan, error)
	// DecodeNode decodes the record of a node.
	DecodeNode(data []byte) (fleet.Node, error)
	// DecodeRollout decodes an order and its status. statusErr means that only the status
	// could not be decoded.
	DecodeRollout(name string, data []byte) (object shift.Object, statusErr, err error)
	// Compress compresses data with base as the dictionary; nil for no dictionary.
	Compress(data, base []byte) ([]byte, error)
	// Decompress reverses Compress with the same base.
	Decompress(compressed, base []byte) ([]byte, error)
}

// SuspensionClock tells for how long the machine has been suspended since a fixed moment.
type SuspensionClock interface {
	Suspended() time.Duration
}

// AddProxy adds the controllers of a proxy to the board, in the order of their
// dependencies. The source provides the jitter of all delays.
func AddProxy(b *board.Board, proxy *cells.Proxy, codec Codec, clock SuspensionClock, source rand.Source) {
	controllers := []board.Controller{
		newPlatformStatus(proxy),
		newHandshake(proxy),
		newStoreEra(proxy),
		newRosterUpdater(proxy, codec),
		newProxyUpstream(proxy),
		newRecordWriter(proxy, source),
		newSourceSelector(proxy),
		newTokenSource(proxy),
		newVersionApplier(proxy, codec),
		newRolloutDirector(proxy, codec, source),
		// It runs before the publisher, so that orders are sent before the records of
		// upstreams that they forbid.
		newRolloutAgent(proxy),
		newPublisher(proxy, codec, clock),
		newSweeper(proxy),
		newProxyLifecycle(proxy),
		newProxySnapshotBuilder(proxy),
		newVerifier(proxy, clock),
		newProber(proxy, clock),
		newProxyLog(proxy),
		newTick(&proxy.MetricsTicks),
	}
	for _, c := range controllers {
		b.Add(c)
	}
}

// proxySend queues a message to send on a link of a proxy.
func proxySend(proxy *cells.Proxy, link cells.LinkID, message ctlmsg.Message) {
	proxy.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkSend, Link: link, Message: message})
}
