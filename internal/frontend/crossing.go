package frontend

import (
	"time"

	"sedgestream/internal/pg"
	"sedgestream/internal/ring"
)

// maxLookAge is how old the last look for input may be when what it looked at is closed. Without a stall, a look
// takes some microseconds. After maxLooks the last one counts whatever its age, for a process that gets so little
// processor time that every look takes longer.
const (
	maxLookAge = time.Millisecond
	maxLooks   = 16
)

// closeUnlessPending closes something if nothing is pending there, and reports whether it has. The process may be
// stalled between the look and the close, and what arrives meanwhile must be answered. So closeIf closes only if the
// look is recent, by the function that it is given and calls right before the system call; otherwise the look is
// repeated. No lock may be taken and nothing awaited in between.
func closeUnlessPending(isPending func() bool, closeIf func(isRecent func() bool) (closed bool)) (closed bool) {
	for looks := 1; !closed; looks++ {
		lookedAt := time.Now()
		if isPending() {
			return false
		}
		closed = closeIf(func() bool { return time.Since(lookedAt) <= maxLookAge || looks >= maxLooks })
	}
	return true
}

// closeUnlessInput shuts the connection for writing, so that no query is accepted any more, unless input has
// arrived. It reports whether it has. The caller has no request in flight.
func (c *client) closeUnlessInput() (closed bool) {
	return closeUnlessPending(func() bool { return ring.HasPending(c.sock) },
		func(isRecent func() bool) bool { return ring.ShutdownWrite(c.sock, isRecent) })
}

// maxLateReads is how often input is read from a connection after the server's closeDeadline. Only input that has
// arrived is read, so that the process does not wait for it.
const maxLateReads = 8

// end ends a connection without a request in flight, unless input has arrived that is to be read first; then it
// returns nil. A client that has sent more input each time after the server's closeDeadline gets a final
// rejection: otherwise it could hold up the shutdown forever.
func (c *client) end() error {
	if c.closeUnlessInput() {
		return errClose
	}
	if !c.server.isPastCloseDeadline() {
		return nil
	}
	c.lateReads++
	if c.lateReads > maxLateReads {
		return c.sendFatal(pg.CannotConnectNow, "the router is shutting down")
	}
	return nil
}

// closeListenerUnlessPending closes the listener unless a connection is in its queue, and reports whether it has.
func (s *Server) closeListenerUnlessPending() (closed bool) {
	return closeUnlessPending(func() bool { return ring.HasPendingAccept(s.listener) }, s.closeListenerIf)
}

// closeListenerIf closes the listener if the condition holds, and reports whether it held.
func (s *Server) closeListenerIf(condition func() bool) (held bool) {
	if !condition() {
		return false
	}
	s.listener.Close()
	return true
}
