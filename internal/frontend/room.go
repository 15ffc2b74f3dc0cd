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

// closeOneIdle closes an idle connection to free a descriptor for accept.
func (s *Server) closeOneIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeRoomLocked(false)
}

// countQuerying records that one more client has sent a query, and closes an idle connection if there are
// more than maxQuerying of them. Clients may use only so many connections for requests, and some send one
// query and never disconnect. Without this all those connections could be idle while no client with a request
// can connect. The cost is that a client which keeps more connections than it uses has to connect again.
func (s *Server) countQuerying() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.querying++; s.querying > s.maxQuerying {
		s.makeRoomLocked(true)
	}
}

// closeOldestIdleLocked closes the idle connection that is oldest among those without a query, or else the
// one that has been idle longest. With queriedOnly it considers only connections that have sent a query. It
// reports whether any connection is ending. The caller holds mu.
//
// Clients send a query as soon as they connect, so connections without one are closed first: otherwise
// hundreds of clients that connect and send nothing could use up all connections. The cost is that a client
// whose first query is still in transit while all connections are in use may lose its connection.
func (s *Server) closeOldestIdleLocked(queriedOnly bool) (ending bool) {
	var oldest *client
	var since int64
	for c := range s.clients {
		switch idleSince, hasQueried := c.idleSince.Load(), c.hasQueried.Load(); {
		case idleSince == idleClosing:
			ending = true
		case idleSince > 0 && (hasQueried || !queriedOnly) &&
			(oldest == nil || hasQueried == oldest.hasQueried.Load() && idleSince < since || !hasQueried && oldest.hasQueried.Load()):
			oldest, since = c, idleSince
		}
	}
	return oldest != nil && oldest.closeIdle(since) || ending
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
// connections to end, for so long at most. It returns at once when the server is closed.
func (s *Server) awaitRegularSlot(timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) > s.maxClients && !s.closed {
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
