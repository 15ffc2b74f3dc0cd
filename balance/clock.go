package balance

import (
	"math"
	"slices"
)

// Positions and start times are times of the servers' clock; time spans are of this router's monotonic clock. The
// router's wall clock at its start may be wrong by any amount, so the offset of the servers' clock from it is
// estimated:
//   - a position that has been received lies in the past, so the offset is at least the position less the time of
//     receipt;
//   - a position that a primary shows in an answer was read after the attempt was sent, so the offset is at most the
//     position less the time of sending.
//
// The router's own clock is trusted as long as these bounds don't contradict it. If they do, ages are computed with the
// least possible offset and staleness with the greatest, which errs on the safe side in both cases.
const (
	offsetSampleCount = 3          // samples of a server whose median counts, so that one corrupt answer has no effect
	clockTolerance    = int64(2e9) // age that the positions of all primaries may have before the router's clock is taken to be ahead
	reportDelay       = int64(1e9) // assumed delay of a position where there is no upper bound of the offset
	noOffset          = int64(math.MinInt64)

	positionRounding = int64(1e6) // positions are in milliseconds: rounded down, those of commits rounded up
)

// offsetSamples holds a server's newest samples of a bound of the clock offset.
type offsetSamples struct {
	samples [offsetSampleCount]int64
	count   int // of all samples so far
}

// add adds a sample in place of the oldest.
func (o *offsetSamples) add(offset int64) {
	o.samples[o.count%offsetSampleCount] = offset
	o.count++
}

// median returns the median of the newest samples, the lower one of two, and whether there are any.
func (o *offsetSamples) median() (offset int64, known bool) {
	n := min(o.count, offsetSampleCount)
	if n == 0 {
		return 0, false
	}
	sorted := o.samples
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2], true
}

// serverClock is the estimated offset of the servers' clock from this router's, in nanoseconds.
type serverClock struct {
	known                      bool  // there has been a sample
	stale                      bool  // there are samples that are not evaluated yet
	minOffset, maxOffset       int64 // bounds that at least two servers confirm, if there are two
	highestMinOffset           int64 // highest lower bound of any server
	bounded                    bool  // there is an upper bound
	ageOffset, stalenessOffset int64 // offsets with which ages and the staleness of data are computed
}

// learnClock records a position that a server showed and that was received now. SentAt is when the attempt was sent
// that a primary answered with the position; it is 0 if the position may have been read before that.
func (r *Router) learnClock(node *nodeRecord, position, sentAt, now int64) {
	if position <= 0 {
		return
	}
	node.minOffsets.add(position - now)
	if sentAt > 0 {
		node.maxOffsets.add(position + positionRounding - sentAt)
	}
	if r.clock.stale = true; !r.clock.known {
		r.settleClock()
	}
}

// settleClock evaluates the samples of all servers if there are new ones. A single server may be wrong, so where
// there are two or more, two have to confirm a bound.
func (r *Router) settleClock() {
	clock := &r.clock
	if !clock.stale {
		return
	}
	*clock = serverClock{known: true, highestMinOffset: noOffset, minOffset: noOffset, maxOffset: math.MaxInt64}
	lowestMaxOffset := int64(math.MaxInt64)
	for i := range r.nodes {
		if offset, known := r.nodes[i].minOffsets.median(); known {
			clock.minOffset = max(clock.minOffset, min(clock.highestMinOffset, offset))
			clock.highestMinOffset = max(clock.highestMinOffset, offset)
		}
		if offset, known := r.nodes[i].maxOffsets.median(); known {
			clock.maxOffset = min(clock.maxOffset, max(lowestMaxOffset, offset))
			lowestMaxOffset = min(lowestMaxOffset, offset)
			clock.bounded = true
		}
	}
	if clock.minOffset == noOffset {
		clock.minOffset = clock.highestMinOffset
	}
	if clock.maxOffset == math.MaxInt64 {
		clock.maxOffset = lowestMaxOffset
	}
	clock.chooseOffsets()
}

// chooseOffsets derives from the bounds the offsets that are used.
func (c *serverClock) chooseOffsets() {
	c.ageOffset, c.stalenessOffset = 0, 0
	behind := c.minOffset > 2*positionRounding // a smaller offset may come from rounding
	// A smaller lead of the router's clock only asks for fresher data than needed, which a primary has.
	ahead := c.bounded && c.maxOffset < -clockTolerance
	switch {
	case behind:
		c.ageOffset = c.minOffset
	case ahead || c.highestMinOffset < -clockTolerance:
		c.ageOffset = c.highestMinOffset
	}
	switch {
	case behind && c.bounded:
		c.stalenessOffset = max(c.minOffset, c.maxOffset)
	case behind:
		c.stalenessOffset = c.minOffset + reportDelay
	case ahead:
		c.stalenessOffset = c.maxOffset
	}
}

// serverTime returns the latest time that the servers' clock may show now, with which the staleness of data is computed.
func (r *Router) serverTime(now int64) int64 { return now + r.clock.stalenessOffset }

// startAge returns the least time for which a node may have been running, by its start time in the list. As long as the
// clock offset is not known, this is the time since the list first showed that start time.
func (r *Router) startAge(node *nodeRecord, now int64) int64 {
	sinceAnnounced := now - node.startAnnouncedAt
	if !r.clock.known {
		return sinceAnnounced
	}
	return max(sinceAnnounced, now+r.clock.ageOffset-node.startedAt)
}

// learnClockFromAnswer records what an attempt's answer shows of the servers' clock. If a write was repeated, its
// commit may be older than the attempt, so it gives no upper bound.
func (r *Router) learnClockFromAnswer(node *nodeRecord, req *request, attempt *attemptRecord, outcome Outcome, info AnswerInfo, now int64) {
	switch write := r.classes[req.class].Consistency == Write; {
	case !write && info.Role == Primary:
		r.learnClock(node, info.Position, attempt.sentAt, now)
	case !write:
		r.learnClock(node, info.Position, 0, now)
	case outcome == Succeeded && r.isOwnCommit(req):
		r.learnClock(node, info.Position-positionRounding, attempt.sentAt, now)
	case outcome == Succeeded:
		r.learnClock(node, info.Position-positionRounding, 0, now)
	}
}
