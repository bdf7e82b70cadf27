package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// maxCustomers is the maximum number of customers whose chunks a node that is not
// a relay holds.
const maxCustomers = 256

// subscription decides which chunks this node holds. A relay holds all of them. Any
// other node holds those of its own customer, of its upstream's customer and of the
// customers that callers have named.
type subscription struct {
	*cells.Node
}

func newSubscription(node *cells.Node) board.Controller {
	s := &subscription{Node: node}
	return board.Controller{
		Name:   "subscription",
		Reads:  []board.Ref{&node.MissingCustomers, &node.RelaySlot, &node.LocalRecord},
		Uses:   []board.Ref{&node.Self},
		Writes: []board.Ref{&node.Subscription},
		Step:   s.step,
	}
}

func (s *subscription) step(time.Time) {
	old := s.Subscription.Get()
	wanted := cells.Subscription{All: s.RelaySlot.Get().Held, Customers: slices.Clone(old.Customers)}
	add := func(customer mesh.Customer) {
		index, found := slices.BinarySearch(wanted.Customers, customer)
		if customer != "" && !found && len(wanted.Customers) < maxCustomers {
			wanted.Customers = slices.Insert(wanted.Customers, index, customer)
		}
	}
	add(s.Self.Get().Customer)
	add(s.LocalRecord.Get().ID.Customer)
	for _, c := range s.MissingCustomers.Events() {
		add(c)
	}
	if wanted.All != old.All || !slices.Equal(wanted.Customers, old.Customers) {
		s.Subscription.Set(wanted)
	}
}
