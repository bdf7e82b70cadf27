package board

import "sync"

// DefaultInboxLimit is the limit of an Inbox whose Limit is zero, in events.
const DefaultInboxLimit = 65536

// Inbox passes typed events from other threads to the control thread, in order.
// The zero Inbox is ready to use.
type Inbox[E any] struct {
	refBase
	// Limit bounds the events that have been posted but not collected. Zero means
	// DefaultInboxLimit.
	Limit int

	mutex sync.Mutex
	// pending holds the events posted since the last Settle; guarded by mutex.
	pending []E
	// current holds the events of the present Settle; control thread only.
	current []E
	// takenRevisions holds the revision at which each reader last took current.
	takenRevisions map[*controllerState]uint64
}

// Post sends the event to the control thread. Any thread may call it. It returns
// false and drops the event if the inbox is full.
func (i *Inbox[E]) Post(event E) (posted bool) {
	i.mutex.Lock()
	limit := i.Limit
	if limit == 0 {
		limit = DefaultInboxLimit
	}
	if len(i.pending) >= limit {
		i.mutex.Unlock()
		return false
	}
	i.pending = append(i.pending, event)
	first := len(i.pending) == 1
	i.mutex.Unlock()
	if first {
		i.board.wake()
	}
	return true
}

// Events returns the events of the present Settle. Every controller that reads
// the inbox gets each event in exactly one step, however often it is stepped.
func (i *Inbox[E]) Events() []E {
	i.board.checkRead(i)
	if i.board == nil || i.board.running == nil {
		return i.current
	}
	if i.takenRevisions[i.board.running] == i.rev {
		return nil
	}
	if i.takenRevisions == nil {
		i.takenRevisions = make(map[*controllerState]uint64)
	}
	i.takenRevisions[i.board.running] = i.rev
	return i.current
}

func (i *Inbox[E]) attach(b *Board) {
	if i.board == nil {
		b.inboxes = append(b.inboxes, i)
	}
	i.refBase.attach(b)
}

// collect moves the posted events to the control thread.
func (i *Inbox[E]) collect() {
	i.mutex.Lock()
	i.current = i.pending
	i.pending = nil
	i.mutex.Unlock()
	if len(i.current) > 0 {
		i.rev++
	}
}

// Outbox passes typed commands from controllers to the code that executes them.
// The zero Outbox is ready to use. It keeps its commands until Handle is set.
type Outbox[C any] struct {
	refBase
	// Handle executes one command once the controllers have settled. It runs on
	// the control thread and must not block.
	Handle func(command C)
	// queued holds the commands that have not been handled; control thread only.
	queued []C
}

// Send queues a command to be handled once the controllers have settled.
func (o *Outbox[C]) Send(command C) {
	o.board.checkWrite(o)
	o.queued = append(o.queued, command)
}

func (o *Outbox[C]) attach(b *Board) {
	if o.board == nil {
		b.outboxes = append(b.outboxes, o)
	}
	o.refBase.attach(b)
}

// flush passes the commands to Handle in the order in which they were sent.
func (o *Outbox[C]) flush() {
	if o.Handle == nil {
		return
	}
	commands := o.queued
	o.queued = nil
	for _, c := range commands {
		o.Handle(c)
	}
}
