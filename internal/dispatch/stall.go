package dispatch

import (
	"sync/atomic"
	"time"
)

const (
	// stallThreshold is the longest gap between two events, while requests are in flight, that does not count
	// as a stall of the process. The router's timer expires several times within it, unless all target
	// latencies are above 1.6 s. Then a quiet period may be taken for a stall, which delays an attempt by
	// catchUpTime, a fiftieth of the target latency at most.
	stallThreshold = 100 * time.Millisecond
	// catchUpTime is how long the process takes after a stall to read what has arrived meanwhile, as
	// disconnects and cancel requests.
	catchUpTime = 30 * time.Millisecond
	// recentStallSpan is for how long after a stall earlier observations are not relied upon: a process that
	// gets little processor time reads late what has arrived.
	recentStallSpan = time.Second
)

// stallDetector detects by a gap between events that the process was stalled.
type stallDetector struct {
	lastEventAt atomic.Int64
	hadRequests atomic.Bool  // requests were in flight at the last event
	resumedAt   atomic.Int64 // when the end of the last stall was noticed; 0: no stall so far
}

// recordEvent records that the process is running, and whether requests are in flight from now on.
func (s *stallDetector) recordEvent(now int64, hasRequests bool) {
	if s.hadRequests.Load() && now-s.lastEventAt.Load() > int64(stallThreshold) {
		s.resumedAt.Store(now)
	}
	s.lastEventAt.Store(now)
	s.hadRequests.Store(hasRequests)
}

// remainingWait returns for how much longer input that arrived during a stall may be unread.
func (s *stallDetector) remainingWait(now int64) time.Duration {
	s.recordEvent(now, s.hadRequests.Load())
	resumed := s.resumedAt.Load()
	if resumed == 0 {
		return 0
	}
	return max(0, catchUpTime-time.Duration(now-resumed))
}

// StalledRecently reports whether the process was stalled within the last second.
func (d *Dispatcher) StalledRecently() bool {
	resumed := d.stalls.resumedAt.Load()
	return resumed != 0 && d.Now()-resumed < int64(recentStallSpan)
}

// WaitAfterStall sleeps for a moment if a stall of the process has just ended, so that what arrived meanwhile
// is read before an attempt begins that it may have canceled. It reports whether it has slept.
func (d *Dispatcher) WaitAfterStall() bool {
	wait := d.stalls.remainingWait(d.Now())
	if wait > 0 {
		time.Sleep(wait)
	}
	return wait > 0
}
