package gate

import "arbutusstep.example/arbutusstep/pkg/mesh"

// grantCost is the credit that one grant uses, in percent of a grant.
const grantCost = 100

// maxCredit bounds what a waiting priority saves up, so that no burst of floor
// grants follows.
const maxCredit = 2 * grantCost

// shares orders the priorities: the most urgent first, except that a priority
// which has earned a whole grant by its floor goes before.
type shares struct {
	// floors hold percents and add up to at most 100.
	floors [mesh.NumPriorities]int
	// credit rises by the floor with each grant while the priority waits; within 0 and maxCredit.
	credit [mesh.NumPriorities]int
}

func (s *shares) configure(floors [mesh.NumPriorities]int) {
	sum := 0
	for _, f := range floors {
		sum += max(f, 0)
	}
	for p, f := range floors {
		s.floors[p] = max(f, 0)
		if sum > grantCost {
			s.floors[p] = s.floors[p] * grantCost / sum
		}
	}
}

// next returns the priority to serve; at least one line must not be empty.
func (s *shares) next(lines *[mesh.NumPriorities]line) (priority int) {
	urgent, owed := -1, -1
	for p := mesh.NumPriorities - 1; p >= 0; p-- {
		if lines[p].len() == 0 {
			continue
		}
		if urgent < 0 {
			urgent = p
		}
		if s.credit[p] >= grantCost && (owed < 0 || s.credit[p] > s.credit[owed]) {
			owed = p
		}
	}
	if owed >= 0 {
		return owed
	}
	return urgent
}

// granted accounts for one grant to the priority, whose work has left its line.
func (s *shares) granted(lines *[mesh.NumPriorities]line, priority int) {
	for p := range lines {
		if lines[p].len() > 0 || p == priority {
			s.credit[p] = min(s.credit[p]+s.floors[p], maxCredit)
		}
	}
	s.credit[priority] = max(s.credit[priority]-grantCost, 0)
}
