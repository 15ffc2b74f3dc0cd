package frontend

import (
	"errors"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/pg"
	"sedgestream/internal/recovery"
	"sedgestream/internal/ring"
)

// client is a client's connection. Its goroutine always reads, so that a disconnect is noticed. Pipelined
// queries become requests as they arrive, without waiting for the answer to the query before. The answers are
// written in the order of the queries, by the goroutine of whichever request is next.
type client struct {
	server          *Server
	sock            net.Conn
	in, out         *ring.Ring
	key             pg.BackendKey // for cancel requests; zero before the startup
	number          int64         // of the connection, in the order in which they were accepted, from 1
	neededBytes     int           // size of the message at the front of in, as far as it is known
	dropped         droppedMessage
	startedRequests int // of this connection

	mu      sync.Mutex
	pending []*pendingAnswer // answers that have not been written, in the order of the queries
	writing bool             // the goroutine of a request is writing the first of them
	gone    bool             // nobody reads answers any more

	lingering bool // the connection's goroutine waits to close it, and does not process input any more

	inFlight     atomic.Int32  // the length of pending
	inputWaiting atomic.Bool   // more input has arrived than can be processed before an answer is written
	answerDone   chan struct{} // signaled when an answer has been written while input waits
	idleSince    atomic.Int64  // 0 while a request is in flight or a message is partly read; or idleClosing
	stalledSince atomic.Int64  // when the last byte came of a message whose rest is awaited with nothing in flight; else 0
	evicted      atomic.Bool   // the connection is to end, as it is stalled and room is needed, unless more has come
	seenAt       atomic.Int64  // when the client was last known to be connected
	hasQueried   atomic.Bool   // it has sent a query; a connection without one counts as idle since it was accepted
	examined     atomic.Bool   // the goroutine has found no input at its start, or has processed what had arrived
	processing   atomic.Bool   // input has been read and is being processed
	readPasses   atomic.Int64  // how often all input that had been read was processed

	passMu       sync.Mutex // held as a pass over the input ends, as a query is started, and as a cancel request looks for one
	cancelPasses int        // the next query is canceled if it starts within so many passes over new input; guarded by passMu

	connectedAt, readAt int64     // when the connection was accepted, and when the next input to process was read
	messageStartedAt    time.Time // when the message at the front began to arrive; the first query counts from the connection's start
	messageTimedOut     bool      // that message is past its deadline, and what had arrived by then has been read
	behindAnswers       bool      // the query at the front waits for an answer to one before it
	blockedAt           int32     // the number in flight when that was found
	exclusive           bool      // a long query is in flight, or waits for those before it; no other is started beside it
	reserved            bool      // the regular connections were in use when it was accepted
	endChecked          bool      // its socket has been checked for a disconnect since it was accepted, and since the last long write
	lateReads           int       // reads after the server's closeDeadline
	skipUntilSync       bool      // after an error in the extended query protocol
}

// maxPipelined is how many queries of one client may be in flight; further ones wait in its buffer and then in the
// socket. Server.admit bounds those of all clients.
const maxPipelined = 32

// messagesPerTurn is how many messages a connection's goroutine processes before others have their turn. Without it, a few
// clients that send much at once would hold up timers, nodes and other clients for the scheduler's time slice each.
const messagesPerTurn = 8

// idleClosing is the value of client.idleSince once the connection is to end.
const idleClosing = -1

var (
	errClose             = errors.New("connection closed by the router")
	errCloseAfterAnswers = errors.New("connection closed by the router after its last answer")
)

// serve serves the connection until it ends.
func (c *client) serve() {
	var reason error
	completed := recovery.Run(c.server.log, "client connection", func() { reason = c.readLoop() }, nil)
	if !completed {
		c.failPending()
	}
	c.server.log.Debug("client connection ends", zap.Stringer("client", c.sock.RemoteAddr()), zap.NamedError("reason", reason),
		zap.Int32("in hand", c.inFlight.Load()))
	c.server.keys.remove(c)
	c.markGone()
	c.server.backlog.remove(c)
	c.sock.Close()
	c.in.Release()
	c.server.remove(c)
}

// failPending answers the requests in flight after a panic of the connection's goroutine, as failed since
// they may have run.
func (c *client) failPending() {
	c.mu.Lock()
	pending := slices.Clone(c.pending)
	c.mu.Unlock()
	for _, answer := range pending {
		if answer.handle != nil && answer.handle.ClientLeft() {
			answer.Failed()
		}
	}
	c.sock.SetReadDeadline(time.Now().Add(readTimeout))
	for n := c.inFlight.Load(); n > 0; n = c.inFlight.Load() {
		if c.awaitAnswer(n) != nil {
			return
		}
	}
	c.sendFatal(pg.InternalError, "the connection's task failed")
}

// readLoop reads and processes messages until the connection ends, and returns the reason.
func (c *client) readLoop() error {
	started := false
	turn := 0 // messages since other goroutines had theirs
	c.examined.Store(!ring.HasPending(c.sock))
	for reads := 0; ; reads++ {
		var err error
		for more := true; more && err == nil; {
			inFlight := c.inFlight.Load()
			if c.isFull(inFlight) {
				c.waitForAnswer(inFlight)
				break
			}
			if inFlight == 0 {
				c.exclusive = false
			}
			if turn++; turn%messagesPerTurn == 0 {
				runtime.Gosched()
			}
			if started {
				more, err = c.handleMessage()
			} else {
				started, more, err = c.handleStartup()
				if started || err != nil {
					c.server.backlog.remove(c)
				}
			}
		}
		if err == nil {
			if reads > 0 { // what arrived first has been processed, as far as it was complete
				c.examined.Store(true)
			}
			c.endPass()
			waiting := c.isWaiting()
			err = c.read()
			if waiting && c.inFlight.Load() != c.blockedAt {
				c.restartClock()
			}
		}
		if err == errCloseAfterAnswers {
			for n := c.inFlight.Load(); n > 0 && err == errCloseAfterAnswers; n = c.inFlight.Load() {
				if gone := c.awaitAnswer(n); gone != nil {
					err = gone
				}
			}
		}
		if err == errClose { // the client waits for nothing any more; closing the connection may take longer
			c.markGone()
		}
		if err == errCloseAfterAnswers || err == errClose {
			c.lingerClose(err == errCloseAfterAnswers)
		}
		if err != nil {
			return err
		}
	}
}

// isFull reports whether the next query has to wait for an answer, with so many queries in flight.
func (c *client) isFull(inFlight int32) bool {
	return inFlight >= maxPipelined || c.exclusive && inFlight > 0
}

// waitForAnswer records that the query at the front, if there is one, has to wait until the number in flight differs from
// the given one, which was seen when this was found.
func (c *client) waitForAnswer(inFlight int32) { c.behindAnswers, c.blockedAt = true, inFlight }

// isWaiting reports whether a query that has been read waits for an answer to one before it.
func (c *client) isWaiting() bool { return c.behindAnswers && c.in.Len() > 0 }

// restartClock counts the time of the next query from now on, as time spent waiting for earlier ones does not count. The
// client may have gone meanwhile.
func (c *client) restartClock() {
	c.readAt = c.server.dispatcher.Now()
	c.endChecked = false
}

// markGone gives up the pending answers, as the client has disconnected or waits for none. It does not wait
// for an answer that is being written to a client that does not read.
func (c *client) markGone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	for _, answer := range c.pending {
		c.server.budget.Release(answer.budgetBytes)
		answer.long.Release() // its bytes may be being written
		answer.releaseMemory()
		if answer.parts == nil && answer.handle != nil {
			answer.isAbandoned.Store(true)
			answer.handle.ClientLeft()
		}
	}
}

// handleStartup processes a packet that comes before the session has started.
func (c *client) handleStartup() (started, more bool, err error) {
	kind, size, err := pg.PeekStartup(c.in)
	if err != nil {
		return false, false, c.sendFatal(pg.ProtocolViolation, "malformed startup packet")
	}
	if kind == pg.Incomplete {
		c.neededBytes = size
		return false, false, nil
	}
	if kind == pg.CancelRequest {
		key, ok := pg.CancelKey(c.in, size)
		if ok {
			c.server.serveCancel(key)
		}
		return false, false, errClose
	}
	c.in.Discard(size)
	switch kind {
	case pg.Version3:
		return true, true, c.reply(pg.AppendStartupReply(nil, c.server.keys.register(c)))
	case pg.Version3Newer:
		return true, true, c.reply(pg.AppendNegotiateProtocolVersion(nil), pg.AppendStartupReply(nil, c.server.keys.register(c)))
	case pg.EncryptionRequest:
		return false, true, c.reply([]byte{'N'})
	case pg.UnsupportedVersion:
		return false, false, c.sendFatal(pg.ProtocolViolation, "only version 3 of the protocol is spoken here")
	}
	return false, false, errClose
}

// sendFatal sends an error that ends the connection, after the pending answers.
func (c *client) sendFatal(state, message string) error {
	c.reply(pg.AppendError(nil, "FATAL", state, message, ""))
	return errCloseAfterAnswers
}

// handleMessage processes the next message if it has arrived completely, and reports whether to look for another.
func (c *client) handleMessage() (more bool, err error) {
	c.behindAnswers = false
	if c.dropped.bytes > 0 {
		return c.handleDropped()
	}
	kind, body, size, err := pg.PeekMessage(c.in)
	if err != nil {
		return false, c.sendFatal(pg.ProtocolViolation, "malformed message")
	}
	if kind == 0 {
		c.neededBytes = size
		return false, nil
	}
	if c.hasQueried.Load() {
		c.messageStartedAt, c.messageTimedOut = time.Time{}, false
	}
	if c.skipUntilSync && kind != 'S' && kind != 'X' {
		c.in.Discard(size)
		return true, nil
	}
	if kind != 'Q' {
		err = c.handleNonQuery(kind)
		c.in.Discard(size)
		return true, err
	}
	return c.handleQueryMessage(body, size)
}

// handleQueryMessage processes the message of a query, which has so many bytes, and reports whether to look for another.
func (c *client) handleQueryMessage(body []byte, size int) (more bool, err error) {
	inFlight := c.inFlight.Load()
	if c.exclusive = isLong(size); c.exclusive && inFlight > 0 {
		c.waitForAnswer(inFlight)
		return false, nil
	}
	if c.exclusive {
		return true, c.handleLongQuery(size)
	}
	err = c.handleQuery(body, nil)
	if err == errAwaitAnswer {
		return false, nil
	}
	c.in.Discard(size)
	return true, err
}

// handleNonQuery processes a message that is not a query.
func (c *client) handleNonQuery(kind byte) error {
	switch kind {
	case 'X': // Terminate
		return errClose
	case 'S': // Sync
		c.skipUntilSync = false
		return c.reply(pg.AppendReadyForQuery(nil))
	case 'P', 'B', 'D', 'E', 'C', 'F': // Parse, Bind, Describe, Execute, Close, FunctionCall
		c.skipUntilSync = kind != 'F'
		reply := pg.AppendError(nil, "ERROR", pg.FeatureNotSupported, "only simple queries are served here", "")
		if kind == 'F' {
			reply = pg.AppendReadyForQuery(reply)
		}
		return c.reply(reply)
	case 'H', 'd', 'c', 'f': // Flush, CopyData, CopyDone, CopyFail
		return nil
	}
	return c.sendFatal(pg.ProtocolViolation, "unknown message")
}

// setIdle records that nothing has been in flight since the given time.
func (c *client) setIdle(since int64) {
	c.idleSince.Store(since)
	if c.server.waitingForRoom.Load() {
		c.server.notifyChanged()
	}
}

// closeIdle makes the connection end if it has been idle since the given time without interruption, and
// reports whether it does. The connection's own goroutine closes it, so that no query is read and then
// dropped.
func (c *client) closeIdle(since int64) bool {
	if since <= 0 || !c.idleSince.CompareAndSwap(since, idleClosing) {
		return false
	}
	c.sock.SetReadDeadline(ring.PastDeadline)
	return true
}
