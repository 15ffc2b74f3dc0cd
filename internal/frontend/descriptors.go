package frontend

import "time"

// acceptPause is how long nothing is accepted after a connection was closed to free its descriptor for
// another use, which is retried within that time. Clients wait in the listener's queue meanwhile.
const acceptPause = 20 * time.Millisecond

// FreeDescriptor closes an idle or stalled connection, as the process has no descriptor left for a connection to a node
// or to discovery, and keeps new clients from taking the descriptor. It reports whether any connection is
// ending.
func (s *Server) FreeDescriptor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptAfter = time.Now().Add(acceptPause)
	return s.makeRoomLocked(false)
}

// acceptDelay returns how long to wait before the next accept.
func (s *Server) acceptDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.acceptAfter)
}

// waitToAccept waits until a connection may be accepted.
func (s *Server) waitToAccept() {
	delay := s.acceptDelay()
	if delay <= 0 {
		return
	}
	s.backlog.blocked.Store(true)
	time.Sleep(delay)
	s.backlog.blocked.Store(false)
}
