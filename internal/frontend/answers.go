package frontend

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/dispatch"
	"sedgestream/internal/pg"
	"sedgestream/internal/ring"
)

// pendingAnswer is an entry in the queue of a client's answers, which are written in the order of its queries. For
// a query that became a request it implements request.Client.
type pendingAnswer struct {
	client      *client
	id          string
	handle      *dispatch.RequestHandle // of the request, if there is one; set before this is pending
	parts       [][]byte                // the messages of the answer, nil until there is one
	long        *ring.Memory            // of the long message among them, if there is one
	budgetBytes int                     // bytes taken from the budget for a long answer until it is written
	query       *ring.Memory            // holds the query, if it is long, until the memory of the request is returned
	memoryBytes int64                   // bytes of the request's share in the memory of all requests in hand
	memoryUsers atomic.Int32            // of memoryUsers those that have not ended

	followsAnswers bool // its query was read when no other was without an answer

	repeatable  bool        // the request may run any number of times
	idReleased  atomic.Bool // the claim on the id has ended
	isAbandoned atomic.Bool // its client has left without an answer
	isCanceled  atomic.Bool // by a cancel request
}

// unbudgetedWriteTimeout is how long a client may take to read an answer for whose memory the budget has nothing left.
const unbudgetedWriteTimeout = 100 * time.Millisecond

// write writes to the client, which must read it within readTimeout.
func (c *client) write(parts ...[]byte) error { return c.writeWithin(readTimeout, parts) }

// writeWithin writes to the client, which must read it within the given time.
func (c *client) writeWithin(timeout time.Duration, parts [][]byte) error {
	c.sock.SetWriteDeadline(time.Now().Add(timeout))
	for _, part := range parts {
		if c.out.Len()+len(part) > ring.InitialSize {
			if err := c.out.Flush(c.sock); err != nil {
				return err
			}
		}
		if len(part) <= ring.InitialSize {
			c.out.Write(part)
		} else if _, err := c.sock.Write(part); err != nil { // without a copy in the buffer
			return err
		}
	}
	return c.out.Flush(c.sock)
}

// writeUnlocked writes an answer with mu released. The caller holds mu, and has set writing so that nobody else writes. A
// long answer takes its memory from the budget meanwhile, if there is any: clients that don't read would otherwise hold
// any number of them.
func (a *pendingAnswer) writeUnlocked() error {
	timeout := readTimeout
	if !a.acquireBudget() {
		timeout = unbudgetedWriteTimeout
	}
	c, parts := a.client, a.parts
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.writeWithin(timeout, parts)
}

// writeDirect writes from the connection's own goroutine while nothing is in flight. Nothing is read
// meanwhile: if the write takes long the next query may have waited in the socket, with a disconnect behind
// it, so the socket is to be checked again.
func (c *client) writeDirect(parts [][]byte) error {
	startedAt := time.Now()
	err := c.write(parts...)
	tick := c.server.dispatcher.Policy().Settings.TickInterval
	if time.Since(startedAt) > time.Duration(tick) {
		c.endChecked = false
	}
	return err
}

// reply answers a message that did not become a request, after the answers that are pending.
func (c *client) reply(parts ...[]byte) error {
	c.mu.Lock()
	if len(c.pending) == 0 { // no request's goroutine writes, nor will one before the next query is read
		c.mu.Unlock()
		return c.writeDirect(parts)
	}
	defer c.mu.Unlock()
	c.pending = append(c.pending, &pendingAnswer{client: c, parts: parts})
	c.inFlight.Store(int32(len(c.pending)))
	return nil
}

// answer sets the answer of a request, whose id may be used again from now on. If it is the first pending
// one, it is written by the caller together with those behind it that are ready; otherwise whoever writes the
// answer before it will write it. The lock is released during writes, for the connection's own goroutine.
func (a *pendingAnswer) answer(parts ...[]byte) { a.answerLong(nil, parts) }

// answerLong is answer for an answer with a long message in memory of its own, which it takes over.
func (a *pendingAnswer) answerLong(long *ring.Memory, parts [][]byte) {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone || a.parts != nil {
		long.Recycle()
		return
	}
	a.releaseIDIfEnded()
	a.long = long
	if a.parts = parts; c.writing || a != c.pending[0] {
		a.reserveMemory()
		return
	}
	for c.writing = true; len(c.pending) > 0 && c.pending[0].parts != nil; {
		next := c.pending[0]
		if err := next.writeUnlocked(); err != nil {
			c.sock.Close()
		}
		next.parts = [][]byte{}
		next.long.Recycle()
		if c.gone {
			return
		}
		c.server.budget.Release(next.budgetBytes)
		next.releaseMemory()
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.writing = false
	if len(c.pending) == 0 && !c.inputWaiting.Load() {
		c.setIdle(c.server.dispatcher.Now())
	}
	c.inFlight.Store(int32(len(c.pending)))
	if c.inputWaiting.Load() || c.server.isDraining() {
		c.sock.SetReadDeadline(ring.PastDeadline)
		select {
		case c.answerDone <- struct{}{}:
		default:
		}
	}
}

// reserveMemory takes the memory of a long answer that has to wait from the budget. If the budget has none
// left, the answer is replaced by a failure, since the request has run and must not be reported as rejected.
func (a *pendingAnswer) reserveMemory() {
	if a.acquireBudget() {
		return
	}
	a.client.server.log.Warn("no memory for an answer that has to wait", zap.Int("bytes", a.size()))
	a.long.Recycle()
	a.long = nil
	a.parts = [][]byte{pg.AppendReadyForQuery(pg.AppendFailure(nil))}
}

// acquireBudget takes the memory of a long answer from the budget, unless it has been taken, and reports whether there was
// enough. Short ones are covered by the memory of their requests. A message that is counted among the nodes' large values no longer is
// then. The caller holds the client's mu.
func (a *pendingAnswer) acquireBudget() bool {
	size := a.size()
	if size <= ring.InitialSize || a.budgetBytes > 0 {
		return true
	}
	if !a.client.server.budget.TryAcquire(size) {
		return false
	}
	a.budgetBytes = size
	a.long.Release()
	return true
}

// size returns the bytes of the answer.
func (a *pendingAnswer) size() (bytes int) {
	for _, part := range a.parts {
		bytes += len(part)
	}
	return bytes
}

// Succeeded implements request.Client.
func (a *pendingAnswer) Succeeded(value ring.Payload) {
	if value.Long == nil {
		a.answer(value.Head, pg.AppendReadyForQuery(nil))
		return
	}
	a.answerLong(value.Long, [][]byte{value.Head, value.Long.Bytes(), pg.AppendReadyForQuery(value.Tail)})
}

// Rejected implements request.Client.
func (a *pendingAnswer) Rejected(retryAfter int64) {
	a.answer(pg.AppendReadyForQuery(pg.AppendRejection(nil, retryAfterMillis(retryAfter))))
}

// retryAfterMillis returns the detail of a rejection for a time in nanoseconds: milliseconds, rounded up, or "" for none.
func retryAfterMillis(retryAfter int64) string {
	ms := (retryAfter + int64(time.Millisecond) - 1) / int64(time.Millisecond)
	if ms <= 0 {
		return ""
	}
	return strconv.FormatInt(ms, 10)
}

// Failed implements request.Client.
func (a *pendingAnswer) Failed() { a.answer(pg.AppendReadyForQuery(pg.AppendFailure(nil))) }

// Panicked implements request.Client.
func (a *pendingAnswer) Panicked(p any) {
	a.client.server.log.Error("a job's task failed", zap.Any("panic", p), zap.Stack("stack"))
	if a.client.isAnswered(a) {
		a.client.sock.Close() // the answer may have been written in part
		return
	}
	a.Failed()
}

func (c *client) isAnswered(a *pendingAnswer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a.parts != nil
}
