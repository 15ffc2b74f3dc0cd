package upstream

import (
	"slices"
	"time"

	"sedgestream/internal/pg"
)

// A node may send more than the answer to a request, such as a second copy of it, and that may arrive any time later. It
// must never be taken for the answer to the next request on the connection. So a connection on which a request was written
// is used again only behind a barrier: an empty query, whose answer no statement of a client can have. A node answers in
// order, so all that belongs to the request comes before the answer to the barrier. What proves nothing is that no more
// bytes come for a while.

// maxBarrierRepeats is how many further answers to its last barrier a connection may receive. They are dropped, also in front
// of the answer to the next request.
const maxBarrierRepeats = 1

// emptyAnswers recognizes the messages of answers to empty queries.
type emptyAnswers struct {
	expected int  // how many may still begin
	open     bool // one has begun, and its ReadyForQuery has not come
}

// add reports whether a message belongs to an answer to an empty query that may come now.
func (e *emptyAnswers) add(kind byte) bool {
	switch {
	case kind == 'I' && !e.open && e.expected > 0: // EmptyQueryResponse
		e.expected--
		e.open = true
	case kind == 'Z' && e.open: // ReadyForQuery
		e.open = false
	default:
		return e.open && isAsynchronous(kind)
	}
	return true
}

// isAsynchronous reports whether a message belongs to no answer: ParameterStatus or NoticeResponse.
func isAsynchronous(kind byte) bool { return kind == 'S' || kind == 'N' }

// passBarrier sends a barrier behind the request that has just been answered and reads the barrier's answer. It reports
// whether the connection is clean: nothing else has come, and the answer came within the connect timeout. It also returns
// the delivery that the pool has given to the connection meanwhile, if any. If not clean, the connection is closed.
func (c *conn) passBarrier() (next *delivery, clean bool) {
	c.barrierEnds = time.Now().Add(time.Duration(c.pool.connectTimeout.Load()))
	c.sock.SetDeadline(c.barrierEnds)
	c.pool.addToBarrier(c) // from here on the pool may interrupt the read
	c.out.Write(pg.AppendEmptyStatement(nil))
	err := c.out.Flush(c.sock)
	if err == nil {
		err = c.readBarrierAnswer()
	}
	c.closeReason = err
	next, retired := c.pool.removeFromBarrier(c, err == nil)
	clean = err == nil && !retired && (next == nil || c.readUnasked())
	if !clean {
		c.close()
	}
	return next, clean
}

// readBarrierAnswer reads up to the end of the answer to a barrier. Any other message is an error.
func (c *conn) readBarrierAnswer() error {
	c.barrier = emptyAnswers{expected: 1}
	for c.barrier.expected > 0 || c.barrier.open {
		kind, _, size, err := pg.PeekMessage(c.in)
		switch {
		case err != nil:
			return err
		case kind == 0 && size > c.in.FreeSpace()+c.in.Len(): // no message of the answer is so long
			return pg.ErrMalformed
		case kind == 0:
			if _, err := c.in.Fill(c.sock); err != nil {
				return err
			}
			continue
		case !c.barrier.add(kind) && !isAsynchronous(kind):
			return pg.ErrMalformed
		}
		c.in.Discard(size)
	}
	c.barrier.expected = maxBarrierRepeats
	return c.readIdleMessages() // a further answer may have come with the first
}

// addToBarrier records that a connection is behind a barrier.
func (p *Pool) addToBarrier(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.node.inBarrier = append(c.node.inBarrier, c)
}

// removeFromBarrier records that a connection is not behind a barrier any more, and whether the barrier was answered. It returns
// the delivery that the connection has been given, and whether the connection is to be closed.
func (p *Pool) removeFromBarrier(c *conn, answered bool) (next *delivery, retired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.node.inBarrier = without(c.node.inBarrier, c)
	c.node.failsBarriers = !answered && !c.retired
	next, c.next = c.next, nil
	return next, c.retired
}

// soonIdle returns a connection that is behind a barrier and may be given a delivery, or nil. There is none while the node
// does not answer barriers: the delivery would wait in vain. The caller holds the pool's lock.
func (n *node) soonIdle() *conn {
	i := slices.IndexFunc(n.inBarrier, (*conn).isUnassigned)
	if i < 0 || n.failsBarriers {
		return nil
	}
	return n.inBarrier[i]
}

// isUnassigned reports whether a connection behind a barrier has no delivery yet and is not to be closed. The caller holds the
// pool's lock.
func (c *conn) isUnassigned() bool { return c.next == nil && !c.retired }
