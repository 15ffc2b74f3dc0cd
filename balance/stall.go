package balance

import "math"

// This file tells the silence of a node from a stall of this process. While the process is stopped, or gets no processor,
// answers wait unread in its sockets, so the time of a stall says nothing about nodes.

// catchUpTime is how long, in ns, the process takes after a stall to read what has arrived meanwhile.
const catchUpTime = int64(30e6)

// recordTimerDelay records a stall of the process if the timer fires late, or is late when an attempt ends. Delays of a
// sweep interval or less are ordinary.
func (r *Router) recordTimerDelay(now int64) {
	if r.timerAt == math.MaxInt64 || now-r.timerAt <= r.sweepInterval {
		return
	}
	r.stalledFor += now - max(r.timerAt, r.stallRecordedAt)
	r.stallRecordedAt = now
	r.caughtUpAt = now + catchUpTime
}

// isOverdueForTarget reports whether an attempt in flight has taken longer than its target latency, without the time in
// which the process was stalled. Right after a stall no attempt counts as that, as its answer may not be read yet.
func (r *Router) isOverdueForTarget(attempt *attemptRecord, targetLatency, now int64) bool {
	return now >= r.caughtUpAt && now-attempt.sentAt-r.stallDuring(attempt) > targetLatency
}

// runningTime returns the time that an attempt took, without that in which the process was stalled.
func (r *Router) runningTime(attempt *attemptRecord, took int64) int64 {
	return max(0, took-r.stallDuring(attempt))
}

// stallDuring returns for how long the process has been stalled since an attempt was sent.
func (r *Router) stallDuring(attempt *attemptRecord) int64 {
	return r.stalledFor - attempt.stalledBefore
}
