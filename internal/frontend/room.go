package frontend

import (
	"time"

	"sedgestream/internal/pg"
	"sedgestream/internal/recovery"
	"sedgestream/internal/ring"
)

const (
	// stalledAfter is how long no byte of a message has to have come for its connection to be ended where room is needed.
	stalledAfter = 250 * time.Millisecond
	// roomCheckInterval is how often who waits for room looks for connections that have stalled meanwhile.
	roomCheckInterval = 50 * time.Millisecond
	// slotWaitShare is the part of a request's time for which it may wait for a regular connection.
	slotWaitShare = 1.0 / 5
)

// makeRoomLocked makes a connection end that waits for nothing, or else one that is stalled in the middle of a message,
// and reports whether any connection is ending. With queriedOnly it considers only connections that have sent a query.
// The caller holds mu.
func (s *Server) makeRoomLocked(queriedOnly bool) (ending bool) {
	return s.closeOldestIdleLocked(queriedOnly) || s.evictStalledLocked(queriedOnly)
}

// evictStalledLocked makes the connection end that has been stalled longest, and reports whether any is ending for that
// reason.
func (s *Server) evictStalledLocked(queriedOnly bool) (ending bool) {
	var stalled *client
	longest := s.dispatcher.Now() - int64(stalledAfter)
	for c := range s.clients {
		if c.evicted.Load() {
			return true
		}
		since := c.stalledSince.Load()
		if since > 0 && since < longest && (!queriedOnly || c.hasQueried.Load()) {
			stalled, longest = c, since
		}
	}
	if stalled == nil {
		return false
	}
	stalled.evicted.Store(true)
	stalled.sock.SetReadDeadline(ring.PastDeadline)
	return true
}

// awaitChangeLocked waits until connections have changed, or for roomCheckInterval. The caller holds mu.
func (s *Server) awaitChangeLocked() {
	timer := recovery.AfterFunc(s.log, "room check", roomCheckInterval, s.notifyChanged)
	defer timer.Stop()
	s.clientsChanged.Wait()
}

// awaitRegularSlot reports whether a reserved connection can be a regular one by now. It makes room, and waits for
// connections to end, for so long at most.
func (s *Server) awaitRegularSlot(timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) > s.maxClients {
		if !s.makeRoomLocked(false) || !time.Now().Before(until) {
			return false
		}
		s.awaitChangeLocked()
	}
	return true
}

// sendTooManyConnections rejects what comes over the connection, and ends it after the pending answers.
func (c *client) sendTooManyConnections() error {
	c.reply(pg.AppendTooManyConnections(nil))
	return errCloseAfterAnswers
}
