package upstream

import (
	"errors"
	"os"
	"slices"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/pg"
	"sedgestream/internal/request"
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

// errUnexpected is the reason of a connection that is closed as something else than the answer to its barrier came.
var errUnexpected = errors.New("more than the answer to a request came")

// passBarrier sends a barrier behind the request that has just been answered and reads the barrier's answer. It reports
// whether the connection is clean: nothing else has come. It also returns the delivery that the pool has given to the
// connection meanwhile, if any. If not clean, the connection is closed.
func (c *conn) passBarrier() (next *delivery, clean bool) {
	now := time.Now()
	c.barrierEnds = now.Add(time.Duration(c.pool.connectTimeout.Load()))
	c.sock.SetDeadline(c.barrierEnds)
	c.pool.addToBarrier(c) // from here on the pool may interrupt the read
	c.out.Write(pg.AppendEmptyStatement(nil))
	err := c.out.Flush(c.sock)
	if err == nil {
		err = c.awaitBarrierAnswer(now.Add(time.Duration(c.pool.idleTimeout.Load())))
	}
	c.closeReason = err
	next, retired := c.pool.removeFromBarrier(c, err == nil)
	clean = err == nil && !retired && (next == nil || c.readUnasked())
	if !clean {
		c.close()
	}
	return next, clean
}

// awaitBarrierAnswer reads the answer to a barrier. If it has not come within the connect timeout, the connection is given to no
// delivery any more, and one that waits for it is sent over another. The connection stays open until the given time: a node
// that hung may show by the answer that it is no primary any more.
func (c *conn) awaitBarrierAnswer(until time.Time) error {
	c.barrier = emptyAnswers{expected: 1}
	answer := &pg.Answer{}
	err := c.readBarrierAnswer(answer)
	for errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until) {
		next, retired := c.pool.takeWaiting(c, until)
		if retired {
			return err
		}
		if next != nil {
			c.pool.startAnew(next)
		}
		err = c.readBarrierAnswer(answer)
	}
	if answer.Info.Role == balance.Replica {
		c.pool.reportReplica(c)
	}
	return err
}

// readBarrierAnswer reads up to the end of the answer to a barrier. If anything else comes, it reads up to the end of that, and
// returns an error. What the node shows of itself is added to the answer.
func (c *conn) readBarrierAnswer(answer *pg.Answer) error {
	for c.barrier.expected > 0 || c.barrier.open {
		kind, body, size, err := pg.PeekMessage(c.in)
		switch {
		case err != nil:
			return err
		case kind == 0:
			if err := c.readMore(size, c.barrierEnds); err != nil {
				return err
			}
			continue
		case kind == 'S' || !c.barrier.add(kind) && kind != 'N':
			err = answer.Add(kind, body)
		}
		c.in.Discard(size)
		if err != nil {
			return err
		}
		if answer.Ready {
			return errUnexpected
		}
	}
	c.barrier.expected = maxBarrierRepeats
	if answer.HasBegun() {
		return errUnexpected
	}
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
	c.barrierLate = false
	next, c.next = c.next, nil
	return next, c.retired
}

// takeWaiting returns the delivery that waits for a connection behind a barrier, if any, and whether the connection is to be
// closed. From now on the connection is given no delivery until its barrier is answered, for which it may wait until the given
// time.
func (p *Pool) takeWaiting(c *conn, until time.Time) (next *delivery, retired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.retired {
		return nil, true
	}
	c.sock.SetDeadline(until) // under the lock, so that it cannot override an interruption
	next, c.next = c.next, nil
	c.barrierLate = true
	c.node.failsBarriers = true
	return next, false
}

// startAnew starts a delivery, of which nothing has been written, on a new connection, unless nobody waits for it any more. The
// connect timeout runs from now on.
func (p *Pool) startAnew(d *delivery) {
	d.attach(nil, time.Time{}) // a cancellation must not interrupt the connection that it leaves
	d.startedAt = time.Now()
	if d.isAborted() {
		d.finish(request.Result{Outcome: balance.NotSent})
	} else {
		p.start(d, true)
	}
}

// reportReplica tells the router that a node has shown that it is a replica, unless the node has left.
func (p *Pool) reportReplica(c *conn) {
	p.mu.Lock()
	isListed := p.nodes[c.number] == c.node
	p.mu.Unlock()
	if isListed && p.Dispatcher != nil {
		p.Dispatcher.NodeIsReplica(c.number)
	}
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
func (c *conn) isUnassigned() bool { return c.next == nil && !c.retired && !c.barrierLate }
