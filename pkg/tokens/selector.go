package tokens

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Situation is what a node knows when it chooses where it gets its tokens.
type Situation struct {
	// Owner is true if the node should own the buckets itself.
	Owner bool
	// Preferred is the parent that it should ask otherwise; empty if none is reachable.
	Preferred mesh.HostID
	// Reachable is true if the parent chosen before is reachable.
	Reachable bool
	// SameOwner is true if Preferred gets its tokens from the same owner as the parent
	// chosen before.
	SameOwner bool
	// Contacts is the number of nodes that report to this one.
	Contacts int
	// Hold is how long the former owner may count this node after its last report.
	Hold time.Duration
}

// Choice is where a node gets its tokens.
type Choice struct {
	// Host is the parent; empty if there is none, or if Owner is true.
	Host  mesh.HostID
	Owner bool
	// Counted is true if the node reports to the parent, or counts itself as the owner.
	Counted bool
	// Next is when to choose again at the latest; zero for no such time.
	Next time.Time
}

// Selector chooses where a node gets its tokens. The former owner counts a node for a while
// after its last report, so the node lets another one count it only after that. The sum of
// the shares of all owners thus stays within one. The zero Selector has chosen nothing.
type Selector struct {
	started bool
	host    mesh.HostID
	owner   bool
	// countedFrom is the time from which the present source counts the node.
	countedFrom time.Time
	// leavingUntil is the time until which the present parent, although it gets no reports
	// any more, still counts the node and is asked for tokens; zero if it is not to be left.
	leavingUntil time.Time
	// owningUntil is the time until which the node, if it is to stop owning the buckets,
	// serves the nodes that have not found the new owner yet; zero otherwise.
	owningUntil time.Time
}

// handoverHolds is how long a node goes on to own the buckets at most, in units of Hold,
// once it reaches another owner. The nodes that report to it change within one.
const handoverHolds = 2

// Select chooses again.
func (s *Selector) Select(now time.Time, situation Situation) Choice {
	preferred := situation.Preferred
	if situation.Owner {
		preferred = ""
	}
	countedFrom := s.uncountedFrom(now, situation.Hold)
	switch {
	case s.started && preferred == s.host && situation.Owner == s.owner:
		s.leavingUntil, s.owningUntil = time.Time{}, time.Time{}
	case s.handsOver(now, situation):
		if s.owningUntil.IsZero() {
			s.owningUntil = now.Add(handoverHolds * situation.Hold)
		}
		return Choice{Owner: true, Counted: true, Next: s.owningUntil}
	case s.movesWithinOwner(now, preferred, situation):
		*s = Selector{started: true, host: preferred, countedFrom: s.countedFrom}
	case s.host != "" && situation.Reachable && now.Before(countedFrom) && !now.Before(s.countedFrom):
		s.leavingUntil = countedFrom
		return Choice{Host: s.host, Next: countedFrom}
	default:
		*s = Selector{started: true, host: preferred, owner: situation.Owner, countedFrom: countedFrom}
	}
	if now.Before(s.countedFrom) {
		return Choice{Host: s.host, Owner: s.owner, Next: s.countedFrom}
	}
	return Choice{Host: s.host, Owner: s.owner, Counted: true}
}

// movesWithinOwner reports whether another parent passes on the tokens of the same owner,
// as when the tree gets another level. That owner may count the node through both for a
// moment, since it fills its buckets at no more than the full rate.
func (s *Selector) movesWithinOwner(now time.Time, preferred mesh.HostID, situation Situation) bool {
	return situation.SameOwner && s.host != "" && preferred != "" && !situation.Owner && !now.Before(s.countedFrom)
}

// handsOver reports whether the node goes on to own the buckets for a while, although it
// reaches another owner. Each of the nodes that report to it is counted by one owner at a
// time, so both may fill their buckets.
func (s *Selector) handsOver(now time.Time, situation Situation) bool {
	return s.owner && !now.Before(s.countedFrom) && situation.Preferred != "" && situation.Contacts > 0 &&
		(s.owningUntil.IsZero() || now.Before(s.owningUntil))
}

// Host returns the parent chosen last; empty if there is none.
func (s *Selector) Host() mesh.HostID { return s.host }

// uncountedFrom returns the time from which no other owner counts the node if it reports
// to its present parent no more. A node that was the owner itself stops at once.
func (s *Selector) uncountedFrom(now time.Time, hold time.Duration) time.Time {
	switch {
	case !s.started:
		return now.Add(hold)
	case !s.leavingUntil.IsZero():
		return s.leavingUntil
	case now.Before(s.countedFrom):
		return s.countedFrom
	case s.host == "":
		return now
	default:
		return now.Add(hold)
	}
}
