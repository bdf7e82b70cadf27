package gate

import "arbutusstep.example/arbutusstep/pkg/mesh"

// grantCost is the credit that one granted slot costs. Floors are percentages, so
// a priority with a floor of f earns f credit with each grant.
const grantCost = 100

// maxCredit bounds the credit that a waiting priority can save up, so that it
// can't hold back more urgent priorities with a burst of grants.
const maxCredit = 2 * grantCost

// scheduler picks the priority that gets the next slot: the most urgent one,
// unless a priority has earned a whole grant through its floor.
type scheduler struct {
	// floors are percentages and add up to at most 100.
	floors [mesh.NumPriorities]int
	// credit of a waiting priority grows by its floor with each grant; within 0 and
	// maxCredit.
	credit [mesh.NumPriorities]int
}

func (s *scheduler) configure(floors [mesh.NumPriorities]int) {
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

// next returns the priority to serve. At least one subqueue must not be empty.
func (s *scheduler) next(subqueues *[mesh.NumPriorities]subqueue) (priority int) {
	mostUrgent, entitled := -1, -1
	for p := mesh.NumPriorities - 1; p >= 0; p-- {
		if subqueues[p].len() == 0 {
			continue
		}
		if mostUrgent < 0 {
			mostUrgent = p
		}
		if s.credit[p] >= grantCost && (entitled < 0 || s.credit[p] > s.credit[entitled]) {
			entitled = p
		}
	}
	if entitled >= 0 {
		return entitled
	}
	return mostUrgent
}

// granted accounts for a slot granted to the priority. The request must have been
// removed from its subqueue already.
func (s *scheduler) granted(subqueues *[mesh.NumPriorities]subqueue, priority int) {
	for p := range subqueues {
		if subqueues[p].len() > 0 || p == priority {
			s.credit[p] = min(s.credit[p]+s.floors[p], maxCredit)
		}
	}
	s.credit[priority] = max(s.credit[priority]-grantCost, 0)
}
