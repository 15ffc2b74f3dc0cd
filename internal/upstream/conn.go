package upstream

import (
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/descriptors"
	"sedgestream/internal/pg"
	"sedgestream/internal/request"
	"sedgestream/internal/ring"
)

// conn is a connection to a node. It is served by a goroutine of its own, which always reads from it, also
// while the connection is idle. To give it a delivery, the pool sets next and interrupts the read by a
// deadline in the past.
type conn struct {
	pool         *Pool
	node         *node
	number       int    // of the node
	name         string // of the node, when the connection was started
	address      string
	sock         net.Conn
	in, out      *ring.Ring
	idleSince    time.Time
	current      *delivery    // whose result has not been reported yet
	written      bool         // the last delivery has been written
	closeReason  error        // for the log
	barrier      emptyAnswers // those to the last barrier
	barrierEnds  time.Time    // when the answer to the last barrier counts as missing
	localFailure bool         // it failed to open for lack of resources or time in this process, which says nothing about the node

	// Guarded by the pool's lock.
	next        *delivery
	retired     bool // to be closed
	uncounted   bool // no longer counted in Pool.open
	barrierLate bool // its barrier is not answered in time
}

func (c *conn) interruptRead() { c.sock.SetReadDeadline(ring.PastDeadline) }

// finalReadTimeout limits the reading of an answer that arrived before the deadline but has not been read by
// then. It is far below the time that the deadline leaves for the way to the client.
const finalReadTimeout = time.Millisecond

// serve opens the connection and carries one delivery after another until the connection ends.
func (c *conn) serve(d *delivery) {
	defer func() {
		if p := recover(); p != nil {
			c.pool.log.Error("panic in the goroutine of a node connection", zap.Any("panic", p), zap.Stack("stack"))
		}
		c.pool.log.Debug("node connection ends", zap.String("node", c.name), zap.String("address", c.address),
			zap.NamedError("reason", c.closeReason))
		if c.release(); c.current != nil {
			c.finish(c.current, balance.ConnectionLost, &pg.Answer{})
		}
	}()
	c.current = d
	if d.isAborted() {
		c.finish(d, balance.NotSent, &pg.Answer{})
		return
	}
	connectDeadline := d.startedAt.Add(time.Duration(c.pool.connectTimeout.Load()))
	if d.deadline.Before(connectDeadline) {
		connectDeadline = d.deadline
	}
	if !c.connect(d, connectDeadline) {
		c.close()
		c.finish(d, c.unsentOutcome(d), &pg.Answer{})
		return
	}
	if c.nodeMoved() {
		c.close()
		c.current = nil
		c.pool.start(d, true)
		return
	}
	if d.mayBegin != nil && !d.mayBegin() { // the node has left, its data is too old by now, or the retry window is over
		d.Withdraw()
	}
	for d != nil {
		if !c.deliver(d) {
			return
		}
		d = c.awaitNext()
	}
}

// awaitNext proves the connection clean and waits for the next delivery on it. It returns nil if the connection is to end.
func (c *conn) awaitNext() *delivery {
	if c.written {
		next, clean := c.passBarrier()
		switch {
		case next != nil && !clean:
			c.resend(next)
			return nil
		case next != nil || !clean:
			return next
		}
	}
	d := c.waitIdle()
	if d != nil && c.resendIfRetired(d) {
		return nil
	}
	return d
}

// nodeMoved reports whether the node's address has changed since the connection was started. Another node may
// listen at the old one.
func (c *conn) nodeMoved() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.address != c.node.address
}

// unsentOutcome returns the outcome of a delivery whose connection could not be opened.
func (c *conn) unsentOutcome(d *delivery) balance.Outcome {
	if d.isCanceled() || c.localFailure {
		return balance.NotSent
	}
	return balance.Unreachable
}

func (c *conn) close() {
	if c.sock != nil {
		c.sock.Close()
	}
}

// release closes the connection, frees its buffers and removes it from the pool's count.
func (c *conn) release() {
	c.close()
	c.in.Release()
	c.out.Release()
	c.pool.mu.Lock()
	if !c.uncounted {
		c.pool.open--
	}
	c.pool.mu.Unlock()
}

// connect opens the connection up to the node's first ReadyForQuery, and reports whether it has.
func (c *conn) connect(d *delivery, deadline time.Time) bool {
	if !time.Now().Before(deadline) { // this goroutine was not scheduled in time
		c.closeReason, c.localFailure = errStalled, true
		return false
	}
	sock, err := c.pool.dial(c.address, deadline)
	if err != nil {
		c.dialFailed(err, deadline)
		return false
	}
	c.sock = sock
	if !d.attach(sock, deadline) {
		return false
	}
	c.out.Write(pg.AppendStartup(nil))
	if c.out.Flush(sock) != nil {
		return false
	}
	for {
		kind, _, size, err := pg.PeekMessage(c.in)
		if err != nil || kind == 'E' {
			return false
		}
		if kind == 0 {
			if c.readMore(size, deadline) != nil {
				return false
			}
			continue
		}
		c.in.Discard(size)
		if kind == 'Z' {
			return true
		}
	}
}

// lateTimeoutTolerance is how long after its deadline a timeout may be noticed. If it takes longer, this
// process was stalled.
const lateTimeoutTolerance = 20 * time.Millisecond

// errStalled is the reason of a connection that was not opened because its deadline had passed when its
// goroutine ran.
var errStalled = errors.New("process stalled past the connect deadline")

// dialFailed records why the connection could not be opened. The failure says nothing about the node if this
// process lacked a resource, or was stalled meanwhile.
func (c *conn) dialFailed(err error, deadline time.Time) {
	c.closeReason = err
	exhausted := descriptors.IsExhausted(err)
	if exhausted {
		c.pool.log.Warn("no descriptor left for a node connection", zap.String("node", c.name), zap.Error(err))
	}
	stalled := descriptors.IsTimeout(err) && time.Since(deadline) > lateTimeoutTolerance
	c.localFailure = exhausted || stalled
}

// readMore reads once. The buffer grows with the bytes that come, up to so many in all.
func (c *conn) readMore(size int, deadline time.Time) error {
	if err := c.in.ReserveMore(size, deadline); err != nil {
		return err
	}
	_, err := c.in.Fill(c.sock)
	return err
}

// deliver sends a delivery, waits for its answer and reports the result. It returns whether the connection
// can be used again; if not, the connection is closed before the result is reported.
func (c *conn) deliver(d *delivery) bool {
	c.current = d
	outcome, answer := c.exchange(d)
	c.written = outcome != balance.NotSent
	// The connection is reusable if the answer is complete, or nothing was sent, and there are no excess
	// bytes: these must never be taken for the answer to the next request.
	if (answer.Ready || outcome == balance.NotSent) && c.in.Len() == 0 {
		c.finish(d, outcome, answer)
		return true
	}
	c.close()
	switch {
	case outcome == balance.Unreachable && d.isAborted():
		outcome = balance.NotSent
	case d.isCanceled() && outcome > balance.NotSent && !answer.Ready:
		outcome = balance.Canceled
	}
	c.finish(d, outcome, answer)
	return false
}

// finish reports the result of a delivery.
func (c *conn) finish(d *delivery, outcome balance.Outcome, answer *pg.Answer) {
	c.current = nil
	d.attach(nil, time.Time{})
	result := request.Result{Outcome: outcome, Info: answer.Info, Report: answer.Report, Value: answer.Value}
	if d.statement == nil {
		answer.Value.Long.Recycle()
		if outcome == balance.Succeeded {
			result.Report = answer.ProbeReport()
		}
	}
	d.finish(result)
}

// exchange sends one query and reads its answer. Only if the answer is complete is it certain that no more of
// it will arrive.
func (c *conn) exchange(d *delivery) (balance.Outcome, *pg.Answer) {
	answer := &pg.Answer{}
	err := errRecheck
	for err == errRecheck {
		if !d.checkWanted() || !time.Now().Before(d.deadline) || !d.beginWrite(c.sock) {
			return balance.NotSent, answer
		}
		err = c.send(d)
	}
	if err != nil {
		c.closeReason = err
		return balance.Unreachable, answer // the last byte was never written
	}
	d.markWritten(c.sock)
	for finalRead := false; ; {
		kind, body, size, err := pg.PeekMessage(c.in)
		switch {
		case err != nil:
		case kind == 0:
			err = c.readMore(size, d.deadline)
		case !answer.HasBegun() && c.barrier.add(kind):
			c.in.Discard(size)
		case size > ring.InitialSize:
			err = answer.AddDetached(kind, c.in.Detach(size))
		default:
			err = answer.Add(kind, body)
			if c.in.Discard(size); answer.Ready && err == nil {
				return answer.Outcome, answer
			}
		}
		c.closeReason = err
		switch {
		case err == nil:
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && !finalRead && !d.isCanceled() && ring.HasPending(c.sock):
			finalRead = true // a read that a deadline interrupts does not look for bytes; those that arrived in time count
			c.sock.SetReadDeadline(time.Now().Add(finalReadTimeout))
			continue
		case errors.Is(err, pg.ErrMalformed):
			c.pool.log.Warn("a node answered nonsense", zap.String("node", c.name))
		case answer.OutcomeKnown():
			return answer.Outcome, answer
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, ring.ErrFull):
			return balance.TimedOut, answer
		}
		return balance.ConnectionLost, answer
	}
}

// errRecheck means that nothing of a query was written, as the process was stalled since checkWanted.
var errRecheck = errors.New("process stalled before writing")

// send writes the whole query, or fails. A long query is written without copying it into the buffer.
func (c *conn) send(d *delivery) error {
	query, long := c.encode(d)
	if d.isCheckStale() {
		c.out.Discard(c.out.Len())
		return errRecheck
	}
	if long {
		_, err := query.WriteTo(c.sock)
		return err
	}
	return c.out.Flush(c.sock)
}

// encode writes the query to the out buffer, or returns it if it is long.
func (c *conn) encode(d *delivery) (query net.Buffers, long bool) {
	if d.statement == nil {
		c.out.Write(pg.AppendReportQuery(nil))
		return nil, false
	}
	query = d.statement.QueryMessage(max(1, time.Until(d.deadline).Milliseconds()))
	if d.statement.Size() > ring.InitialSize/2 {
		return query, true
	}
	for _, piece := range query {
		c.out.Write(piece)
	}
	return nil, false
}
