package balance

import "math"

// This file tells the silence of a node from a stall of this process. While the process is stopped, or gets no processor,
// answers wait unread in its sockets, so the time of a stall says nothing about nodes.

const (
	// catchUpTime is how long, in ns, the process takes after a stall to read what has arrived meanwhile.
	catchUpTime = int64(30e6)
	// longestStop is the longest time, in ns, for which the platform stops a process.
	longestStop = int64(150e6)
	// maxStallShare is the share of an attempt's time in which the process may be stalled, if that time is to say
	// something of its node.
	maxStallShare = 1.0 / 4
)

// recordTimerDelay records a stall of the process if the timer fires late, or is late when something else happens. Delays
// of a sweep interval or less are ordinary.
func (r *Router) recordTimerDelay(now int64) {
	if r.timerAt == math.MaxInt64 || now-r.timerAt <= r.sweepInterval {
		return
	}
	r.stalledFor += now - max(r.timerAt, r.stallRecordedAt)
	r.stallRecordedAt = now
	r.caughtUpAt = now + catchUpTime
}

// isOverdueForTarget reports whether an attempt in flight has taken longer than its target latency, without the time in
// which the process was stalled. Right after a stall no attempt counts as that, as its answer may not be read yet. An
// attempt that has taken twice the target latency and two of the longest stops is overdue in any case: a process that
// gets little processor time is always stalled a little.
func (r *Router) isOverdueForTarget(attempt *attemptRecord, targetLatency, now int64) bool {
	elapsed := now - attempt.sentAt
	if elapsed > 2*(targetLatency+longestStop) {
		return true
	}
	return now >= r.caughtUpAt && elapsed-r.stallDuring(attempt) > targetLatency
}

// ranDuring reports whether the process ran for most of the time since an attempt was sent, so that this time says
// something of the node.
func (r *Router) ranDuring(attempt *attemptRecord, now int64) bool {
	return float64(r.stallDuring(attempt)) <= maxStallShare*float64(now-attempt.sentAt)
}

// stallDuring returns for how long the process has been stalled since an attempt was sent.
func (r *Router) stallDuring(attempt *attemptRecord) int64 {
	return r.stalledFor - attempt.stalledBefore
}
