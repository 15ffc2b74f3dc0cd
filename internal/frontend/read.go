package frontend

import (
	"errors"
	"os"
	"time"

	"sedgestream/internal/pg"
	"sedgestream/internal/ring"
)

// read waits for more input, and returns nil also when it was woken for another reason. The rest of a message
// must arrive within readTimeout; between messages a client may be silent for any time.
func (c *client) read() error {
	inFlight := c.inFlight.Load()
	wasWaiting := c.isWaiting()
	busy := inFlight > 0
	if busy {
		c.evicted.Store(false) // decided before its message had come whole
	}
	if c.behindAnswers && inFlight != c.blockedAt {
		return nil // a request has just ended: the query behind it is handled first
	}
	c.inputWaiting.Store(c.in.Len() > 0)
	if busy && c.in.FreeSpace() == 0 && !c.canReadAhead() { // further queries, and the end of the stream, wait in the socket
		return c.awaitAnswer(inFlight)
	}
	var deadline time.Time
	if !busy {
		var err error
		if deadline, err = c.prepareRead(); err != nil {
			return err
		}
	}
	c.sock.SetReadDeadline(deadline)
	// Whoever wants the connection to end first records that and then interrupts the read. The interruption
	// may have come before the deadline was set, so look for the record. Input that has arrived by then must
	// be answered, and is read.
	if c.idleSince.Load() == idleClosing || !busy && c.server.shouldEnd(c.hasQueried.Load() && !c.isMidMessage()) {
		if err := c.end(); err != nil {
			return err
		}
		c.sock.SetReadDeadline(time.Now().Add(readTimeout))
	}
	if c.inFlight.Load() != inFlight {
		return nil // a request has just ended, and its interruption may have come before the deadline was set
	}
	if !busy && c.isMidMessage() {
		c.stalledSince.Store(c.readAt)
	}
	n, err := c.fill(deadline)
	c.stalledSince.Store(0)
	if end := c.endIfEvicted(n, busy); end != nil {
		return end
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.handleReadDeadline(deadline)
	}
	if !wasWaiting { // otherwise the input to process next has been read before
		c.readAt = c.server.dispatcher.Now()
		c.seenAt.Store(c.readAt)
	}
	return err
}

// endIfEvicted ends the connection, by the error that it returns, if it has to make room and has read no bytes. If it
// has read some, another one has to end instead.
func (c *client) endIfEvicted(n int, busy bool) error {
	if c.evicted.Swap(false) {
		if n == 0 && !busy && c.isMidMessage() {
			return c.sendTooManyConnections()
		}
		c.server.notifyChanged()
	}
	if c.idleSince.Swap(0) == idleClosing {
		if n == 0 {
			if err := c.end(); err != nil {
				return err
			}
		}
		c.server.notifyChanged()
	}
	return nil
}

// maxReadAhead is how many bytes of a client's input are kept while its requests are in flight.
const maxReadAhead = 512 << 10

// canReadAhead makes room to read on while requests are in flight and the buffer is full, and reports whether there is
// any. Reading on is the only way to see that a client has gone which has sent more than the system's buffers hold: the
// end of its stream has not arrived yet.
func (c *client) canReadAhead() bool { return c.in.TryExtend(maxReadAhead) == nil }

// handleReadDeadline handles a read without input that ended by a deadline: the given one, or one that was set
// to wake the goroutine.
func (c *client) handleReadDeadline(deadline time.Time) error {
	if deadline.IsZero() || time.Now().Before(deadline) {
		return nil // woken, perhaps late for a reason that is gone
	}
	if c.isMidMessage() {
		return c.sendFatal(pg.ProtocolViolation, "the message took too long")
	}
	return c.end()
}

// prepareRead prepares to read from a client without requests in flight. It returns the deadline of the read,
// zero for none.
func (c *client) prepareRead() (deadline time.Time, err error) {
	if !c.isMidMessage() && c.hasQueried.Load() {
		c.setIdle(c.server.dispatcher.Now())
		return time.Time{}, nil
	}
	if c.messageStartedAt.IsZero() {
		c.messageStartedAt = time.Now()
	}
	deadline = c.messageStartedAt.Add(readTimeout)
	if c.messageTimedOut {
		return deadline, c.sendFatal(pg.ProtocolViolation, "the message took too long")
	}
	if c.in.TryReserveMore(c.neededBytes) != nil {
		if !c.hasStarted() {
			return deadline, c.sendFatal(pg.OutOfMemory, "no memory for so long a message")
		}
		c.dropMessage()
	}
	if !c.hasQueried.Load() {
		c.setIdle(c.connectedAt)
	} else if since := c.idleSince.Load(); since > 0 { // set when the previous answer was written
		c.idleSince.CompareAndSwap(since, 0)
	}
	return deadline, nil
}

// fill reads once. Input that has arrived by the deadline counts, even if it is read later.
func (c *client) fill(deadline time.Time) (n int, err error) {
	n, err = c.in.Fill(c.sock)
	c.processing.Store(n > 0)
	if errors.Is(err, os.ErrDeadlineExceeded) && ring.HasPending(c.sock) {
		c.sock.SetReadDeadline(time.Time{})
		n, err = c.in.Fill(c.sock)
		c.processing.Store(n > 0)
		c.messageTimedOut = !deadline.IsZero() && time.Now().After(deadline)
	}
	return n, err
}

// awaitAnswer waits, without reading, until the number of requests in flight differs from the given one. An
// error means that the client has disconnected.
func (c *client) awaitAnswer(inFlight int32) error {
	c.inputWaiting.Store(true)
	c.sock.SetReadDeadline(time.Time{})
	if c.inFlight.Load() != inFlight {
		return nil // the interruption may have come before the deadline was set
	}
	err := ring.AwaitPeerClose(c.sock)
	if err == ring.ErrNotPollable {
		<-c.answerDone
		err = nil
	}
	return err
}
