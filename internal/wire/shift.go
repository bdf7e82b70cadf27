package wire

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// maxShiftCount is the largest count accepted in one message.
const maxShiftCount = 1 << 32

func encodeShiftState(m ctlmsg.ShiftState) *Shift {
	state := &Shift{AgeMicros: m.Age.Microseconds()}
	for _, v := range m.Views {
		view := &ShiftView{
			Service: string(v.Service), Target: string(v.Status.Target), Phase: uint32(v.Status.Phase), Term: v.Status.Term, Since: v.Status.Since,
			Share: v.Status.Share, Canaries: v.Status.Canaries, Halted: v.Halted,
		}
		for _, route := range slices.Sorted(maps.Keys(v.Status.RouteShares)) {
			view.Shares = append(view.Shares, &ShiftShare{Route: route, Share: v.Status.RouteShares[route]})
		}
		for _, r := range v.Status.Excluded {
			view.Excluded = append(view.Excluded, string(r))
		}
		state.Views = append(state.Views, view)
	}
	return state
}

func decodeShiftState(s *Shift) (message ctlmsg.Message, err error) {
	m := ctlmsg.ShiftState{Age: time.Duration(max(0, s.GetAgeMicros())) * time.Microsecond}
	for _, v := range s.GetViews() {
		if v.GetService() == "" || v.GetPhase() > uint32(shift.RolledBack) || !isShare(v.GetShare()) {
			return nil, fmt.Errorf("shift of service %q: phase %d, share %v", v.GetService(), v.GetPhase(), v.GetShare())
		}
		view := shift.View{Service: mesh.Service(v.GetService()), Halted: v.GetHalted(), Status: shift.Status{
			Phase: shift.Phase(v.GetPhase()), Target: mesh.Release(v.GetTarget()), Term: v.GetTerm(), Since: v.GetSince(), Share: v.GetShare(),
			Canaries: v.GetCanaries(),
		}}
		for _, r := range v.GetShares() {
			if !isShare(r.GetShare()) {
				return nil, fmt.Errorf("shift of service %q: share %v of route %q", v.GetService(), r.GetShare(), r.GetRoute())
			}
			if view.Status.RouteShares == nil {
				view.Status.RouteShares = make(map[string]float64)
			}
			view.Status.RouteShares[r.GetRoute()] = r.GetShare()
		}
		for _, r := range v.GetExcluded() {
			view.Status.Excluded = append(view.Status.Excluded, mesh.Release(r))
		}
		m.Views = append(m.Views, view)
	}
	return m, nil
}

// isShare reports whether the value is within 0 and 1. NaN is not.
func isShare(value float64) bool {
	return value >= 0 && value <= 1
}

func encodeShiftCounts(m ctlmsg.ShiftCounts) *ShiftCounts {
	message := &ShiftCounts{}
	for _, service := range slices.Sorted(maps.Keys(m.Counts)) {
		for key, c := range m.Counts[service] {
			message.Counts = append(message.Counts, &ShiftCount{
				Service: string(service), Release: string(key.Release), Route: key.Route, Responses: c.Responses, Failures: c.Failures,
				Timed: c.Timed, LogSum: c.LogSum, LogSquares: c.LogSquares, Late: c.Late,
				Started: c.Started, Ended: c.Ended, Refused: c.Refused,
			})
		}
	}
	return message
}

func decodeShiftCounts(s *ShiftCounts) (message ctlmsg.Message, err error) {
	m := ctlmsg.ShiftCounts{Counts: make(map[mesh.Service]shift.Counts)}
	for _, c := range s.GetCounts() {
		service := mesh.Service(c.GetService())
		valid := c.GetFailures() <= c.GetResponses() && c.GetTimed() <= c.GetResponses() && c.GetRefused() <= c.GetEnded() &&
			max(c.GetResponses(), c.GetLate(), c.GetStarted(), c.GetEnded()) <= maxShiftCount
		if !valid || !isSum(c.GetLogSum()) || !isSum(c.GetLogSquares()) {
			return nil, fmt.Errorf("counts of service %q, route %q are out of range", c.GetService(), c.GetRoute())
		}
		if m.Counts[service] == nil {
			m.Counts[service] = make(shift.Counts)
		}
		m.Counts[service].Add(shift.Counts{{Release: mesh.Release(c.GetRelease()), Route: c.GetRoute()}: {
			Responses: c.GetResponses(), Failures: c.GetFailures(), Timed: c.GetTimed(), LogSum: c.GetLogSum(), LogSquares: c.GetLogSquares(), Late: c.GetLate(),
			Started: c.GetStarted(), Ended: c.GetEnded(), Refused: c.GetRefused(),
		}})
	}
	return m, nil
}

// isSum reports whether the value is a possible sum of numbers that are not negative.
func isSum(value float64) bool {
	return value >= 0 && !math.IsInf(value, 1)
}
