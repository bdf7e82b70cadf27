package gate

import "time"

const (
	// maxQueuePercent and minQueuePercent limit the part of its timeout that a request
	// may wait for a slot, in percent.
	maxQueuePercent = 50
	minQueuePercent = 15
	// slowServiceTimeTenths is an upper estimate of the service time of most requests,
	// in tenths of the typical service time.
	slowServiceTimeTenths = 25
	// waitSharePercent is the part of the time between the typical service time and the
	// latency target that a request may wait in any case, in percent. The rest is left
	// for service times above the typical one.
	waitSharePercent = 75
)

// StartWithin returns how long after its arrival a request may start so that it is still
// likely to meet its latency target. Requests that wait longer would mostly be late, and
// would make those behind them late as well. A short target or a long timeout must not
// let them: under overload, requests wait as long as they may.
func StartWithin(target, timeout, typicalServiceTime time.Duration) time.Duration {
	slack := max(target-typicalServiceTime, 0)
	least := min(LeastWait(timeout), slack*waitSharePercent/100)
	return min(MaxWait(timeout), max(target-slowServiceTimeTenths*typicalServiceTime/10, least))
}

// LeastWait returns how long a request that must not be refused early may wait.
func LeastWait(timeout time.Duration) time.Duration {
	return timeout * minQueuePercent / 100
}

// MaxWait returns how long a request may wait in any case.
func MaxWait(timeout time.Duration) time.Duration {
	return timeout * maxQueuePercent / 100
}
