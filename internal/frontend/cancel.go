package frontend

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"sedgestream/internal/pg"
	"sedgestream/internal/recovery"
	"sedgestream/internal/ring"
)

// cancelKeys finds open connections by the process number that their clients were sent at the startup. A
// cancel request comes over a connection of its own and names the connection it is for. The zero value is
// ready for use.
type cancelKeys struct {
	mu      sync.Mutex
	last    uint32 // the last process number assigned
	clients map[uint32]*client
}

// maxProcess is the highest process number, as some clients keep it in a signed 32-bit integer.
const maxProcess = math.MaxInt32

// register gives a connection a process number that no other open connection has, and a random secret.
func (k *cancelKeys) register(c *client) pg.BackendKey {
	var secret [4]byte
	rand.Read(secret[:]) // it never fails
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clients == nil {
		k.clients = map[uint32]*client{}
	}
	for taken := true; taken; {
		k.last = k.last%maxProcess + 1
		_, taken = k.clients[k.last]
	}
	c.key = pg.BackendKey{Process: k.last, Secret: binary.BigEndian.Uint32(secret[:])}
	k.clients[k.last] = c
	return c.key
}

// remove removes a connection that has ended. One that was never registered has the process number 0, which
// is not assigned.
func (k *cancelKeys) remove(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.clients, c.key.Process)
}

// find returns the open connection with that key, or nil. Secrets are compared in constant time, so that the
// time a wrong one takes gives nothing away about the right one.
func (k *cancelKeys) find(key pg.BackendKey) *client {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.clients[key.Process]
	if c == nil || subtle.ConstantTimeEq(int32(c.key.Secret), int32(key.Secret)) == 0 {
		return nil
	}
	return c
}

// serveCancel processes a cancel request. As the protocol has it, no result is sent on the connection it came
// over.
func (s *Server) serveCancel(key pg.BackendKey) {
	c := s.keys.find(key)
	if c != nil {
		c.cancelOldest()
	}
}

// cancelOldest cancels the oldest request without an answer. If none is in flight but input has arrived that
// is not processed yet, the query in it is canceled: cancel request and query come over different
// connections, so the cancel request may be read first. The cost is that a client which sends its next query
// before it can know that its cancel request came too late gets that query canceled.
func (c *client) cancelOldest() {
	oldest, unread := c.awaitOldest()
	if unread && !c.cancelUnread() {
		oldest, _ = c.oldestUnanswered()
	}
	if oldest != nil {
		oldest.cancel()
	}
}

// cancelUnread has the first query canceled in the input that has arrived and is not processed yet. It reports false if
// there is no such input any more, or a query in it has been started.
func (c *client) cancelUnread() bool {
	c.passMu.Lock()
	defer c.passMu.Unlock()
	if !c.hasUnread() {
		return false
	}
	c.cancelPasses = 1
	if ring.HasPending(c.sock) {
		c.cancelPasses = 2 // the present pass may be over input that came before
	}
	return true
}

// appendAndTakeCancel adds the pending answer of a query that has just been processed. It reports whether the connection was
// about to be closed as idle, which it prevents, and whether a cancel request has arrived for the query.
func (c *client) appendAndTakeCancel(answer *pendingAnswer) (wasEnding, canceled bool) {
	c.passMu.Lock()
	defer c.passMu.Unlock()
	wasEnding = c.appendPending(answer)
	canceled = c.cancelPasses > 0
	c.cancelPasses = 0
	return wasEnding, canceled
}

// endPass records that all input that has been read is processed, as far as its messages are complete. A cancel request
// expires with the input that it was meant for: it must not cancel what the client sends later.
func (c *client) endPass() {
	c.passMu.Lock()
	defer c.passMu.Unlock()
	hasRead := c.processing.Swap(false)
	c.readPasses.Add(1)
	if hasRead && c.cancelPasses > 0 && c.in.Len() == 0 {
		c.cancelPasses--
	}
}

// awaitOldest returns the oldest request without an answer, or nil and whether a query has arrived that is not
// in flight yet. What the client has sent and received may not show, if goroutines have not run since their
// system calls returned: after an answer is written it still counts as being written, and after a query is read
// it is neither in the socket nor in flight. So awaitOldest waits until these goroutines have run, for as long
// as attempts may wait for the cancel request.
func (c *client) awaitOldest() (oldest *pendingAnswer, unread bool) {
	sawWriting, interrupted := false, false
	passes := int64(0) // those of the connection's goroutine before it was interrupted
	for startedAt := time.Now(); time.Since(startedAt) <= stallBacklogTimeout; time.Sleep(backlogPollInterval) {
		oldest, writing := c.oldestUnanswered()
		switch {
		case c.isEnding():
			return nil, false
		case oldest != nil && sawWriting && !oldest.followsAnswers:
			return nil, false // it was pipelined, so the cancel request may be for the answer before it
		case oldest != nil:
			return oldest, false
		case writing && ring.UnacknowledgedBytes(c.sock) > 0:
			return nil, false // the client does not have the whole answer yet
		case writing:
			sawWriting = true
		case c.hasUnread():
			return nil, true
		case !interrupted:
			passes, interrupted = c.readPasses.Load(), true
			c.interruptRead()
		case c.readPasses.Load() > passes:
			oldest, _ = c.oldestUnanswered()
			return oldest, false
		default:
			c.interruptRead() // the interruption before may have come before the deadline of the read was set
		}
	}
	oldest, _ = c.oldestUnanswered()
	return oldest, false
}

// isEnding reports whether the connection's goroutine processes no input any more.
func (c *client) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone || c.lingering
}

// interruptRead makes the connection's goroutine return from its read, and process what it has read.
func (c *client) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gone && !c.lingering {
		c.sock.SetReadDeadline(ring.PastDeadline)
	}
}

// hasUnread reports whether a query has arrived that is not in flight yet: it is in the socket, or has been
// read and is being processed.
func (c *client) hasUnread() bool {
	return c.inFlight.Load() == 0 && (c.processing.Load() || ring.HasPending(c.sock))
}

// cancel cancels a request. The caller passes the oldest one of its client without an answer, which is the
// one that PostgreSQL would be executing; those behind it go on. If the answer is already being given nothing
// changes: the cancel request is not meant for the next request.
//
// From now on the request counts as one whose client has left, so that no attempt is sent any more. An
// attempt that has reached a node runs on, and its result is dropped. The final answer is written by a
// goroutine of its own, so that the cancel request does not wait for a client that does not read.
func (a *pendingAnswer) cancel() {
	canceled := a.handle.ClientLeft()
	if canceled {
		a.isCanceled.Store(true)
		recovery.Go(a.client.server.log, "cancel", a.answerCanceled, func() { a.client.sock.Close() })
	}
}

// oldestUnanswered returns the pending answer that the client gets next. If that is ready already, or there is
// none, it returns nil, and whether it is ready and being written.
func (c *client) oldestUnanswered() (oldest *pendingAnswer, writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone || len(c.pending) == 0 {
		return nil, false
	}
	if c.pending[0].parts != nil {
		return nil, true
	}
	return c.pending[0], false
}

// answerCanceled gives a canceled request its final answer.
func (a *pendingAnswer) answerCanceled() {
	a.answer(pg.AppendReadyForQuery(pg.AppendCanceled(nil)))
}
