package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"sedgestream/internal/ring"
)

// backlog tracks input that has arrived and has not been examined: connections in the listener's queue, and
// connections whose first message, which may be a cancel request, has not been processed. Attempts wait for
// the backlog (see catchUp), so that none is sent for a request whose cancel request arrived long ago while
// the process was stalled or got little processor time. The cost is a bounded wait before an attempt.
type backlog struct {
	accepted atomic.Int64 // the number of connections accepted so far
	blocked  atomic.Bool  // nothing is accepted at present, for lack of connections or descriptors

	checking sync.Mutex // held by the one attempt that waits on behalf of all others
	examined examination

	mu          sync.Mutex
	unprocessed map[*client]struct{} // connections whose first message has not been processed
}

// examination is the result of the last wait for the backlog.
type examination struct {
	startedAt atomic.Int64 // input that had arrived by then is concerned
	complete  atomic.Bool  // all of it has been examined
}

const (
	backlogTimeout      = 20 * time.Millisecond  // the longest wait of an attempt for the backlog
	stallBacklogTimeout = 500 * time.Millisecond // the longest after a stall
	backlogPollInterval = 200 * time.Microsecond
)

// maxListenQueue is how many connections the listener's queue may hold (net.core.somaxconn). Once so many
// have been accepted, all that were in the queue before have been.
const maxListenQueue = 4096

// add records that a connection has been accepted, and numbers it.
func (b *backlog) add(c *client) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.number = b.accepted.Add(1)
	if b.unprocessed == nil {
		b.unprocessed = map[*client]struct{}{}
	}
	b.unprocessed[c] = struct{}{}
}

// remove records that a connection's first message has been processed, or that the connection has ended.
func (b *backlog) remove(c *client) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unprocessed, c)
}

// hasUnexamined reports whether one of the connections up to a number may have a cancel request to read. A
// connection that has been examined once, and had nothing to read then, is normally read as soon as something
// arrives, so its socket is checked only after a stall.
func (b *backlog) hasUnexamined(last int64, stalled bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.unprocessed {
		if c.number <= last && (!c.examined.Load() || stalled && ring.HasPending(c.sock)) {
			return true
		}
	}
	return false
}

// catchUp waits until whatever had arrived when it was called has been examined, and reports whether it has. It
// returns at once if that was so within the last tick and the process was not stalled. What arrives during the wait
// does not prolong it. The wait ends by the deadline.
func (s *Server) catchUp(stalled bool, deadline time.Time) (complete bool) {
	b := &s.backlog
	tick := s.dispatcher.Policy().Settings.TickInterval
	calledAt := s.dispatcher.Now()
	if !stalled && b.examined.complete.Load() && calledAt-b.examined.startedAt.Load() <= tick {
		return true
	}
	b.checking.Lock()
	defer b.checking.Unlock()
	if b.examined.startedAt.Load() >= calledAt { // another attempt has waited meanwhile
		return b.examined.complete.Load()
	}
	timeout := backlogTimeout
	if stalled {
		timeout = stallBacklogTimeout
	}
	startedAt, last := s.dispatcher.Now(), s.lastArrived()
	timeout = min(timeout, time.Until(deadline))
	complete = !s.hasBacklog(last, stalled)
	for !complete && time.Duration(s.dispatcher.Now()-startedAt) < timeout {
		time.Sleep(backlogPollInterval)
		complete = !s.hasBacklog(last, stalled)
	}
	b.examined.complete.Store(false) // not to be taken for that of the time before
	b.examined.startedAt.Store(startedAt)
	b.examined.complete.Store(complete)
	return complete
}

// lastArrived returns a number that no connection in the listener's queue will exceed. One connection beyond the queue
// counts, as one that has just been taken from it may not have its number yet.
func (s *Server) lastArrived() int64 {
	accepted := s.backlog.accepted.Load()
	if !ring.HasPendingAccept(s.listener) {
		return accepted + 1
	}
	queued, ok := ring.AcceptQueueLength(s.listener)
	if !ok || queued == 0 {
		queued = maxListenQueue
	}
	return accepted + int64(queued) + 1
}

// hasBacklog reports whether input has not been examined that arrived when the last connection was the one with the
// given number.
func (s *Server) hasBacklog(last int64, stalled bool) bool {
	b := &s.backlog
	queued := !b.blocked.Load() && b.accepted.Load() < last && ring.HasPendingAccept(s.listener)
	return queued || b.hasUnexamined(last, stalled)
}
