// Package upstream carries attempts and probes to nodes. It keeps the connections, and reports how each
// attempt ended. The caller decides on the node, the time and the deadline.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/descriptors"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/pg"
	"sedgestream/internal/recovery"
	"sedgestream/internal/request"
	"sedgestream/internal/ring"
)

// Pool holds the connections to all nodes that the list has named.
type Pool struct {
	Dispatcher *dispatch.Dispatcher
	Dialer     *descriptors.Dialer // nil: a dial without a free descriptor closes no other connection to get one
	log        *zap.Logger
	budget     *ring.Budget
	// From the settings, in nanoseconds.
	connectTimeout, idleTimeout, descriptorWait atomic.Int64

	mu      sync.Mutex
	nodes   []*node // by node number
	maxOpen int
	open    int // connections that are open or being opened
}

type node struct {
	name, address string
	idle          []*conn // the most recently used last
	inBarrier     []*conn // behind a barrier, soon to be idle; the longest there first
	failsBarriers bool    // the last barrier that ended was not answered as it should be
}

// Limits are the resources that connections to nodes may use.
type Limits struct {
	Connections int          // open or being opened at a time
	Budget      *ring.Budget // memory for buffers
}

// New returns a pool without nodes.
func New(c *balance.Settings, l Limits, log *zap.Logger) *Pool {
	p := &Pool{log: log, budget: l.Budget, maxOpen: l.Connections}
	p.Configure(c)
	return p
}

// Configure applies the timeouts of the settings from now on.
func (p *Pool) Configure(c *balance.Settings) {
	p.connectTimeout.Store(c.ConnectTimeout)
	p.descriptorWait.Store(int64(descriptorWait(c)))
	p.idleTimeout.Store(max(c.IdleTimeout-2*c.ConnectTimeout, c.IdleTimeout/2)) // shorter than the node's own idle timeout
}

// descriptorWaitShare is the part of a class's target latency that an attempt may wait for a free descriptor. The
// attempt then ends as not sent, long before the wait could be taken for the silence of its node.
const descriptorWaitShare = 1.0 / 4

// descriptorWait returns how long an attempt may wait for a free descriptor.
func descriptorWait(c *balance.Settings) time.Duration {
	wait := descriptors.MaxWait
	for i := range c.Classes {
		wait = min(wait, time.Duration(descriptorWaitShare*float64(c.Classes[i].TargetLatency)))
	}
	return wait
}

// SetNode implements dispatch.NodeRegistry. If the node has moved, the idle connections to its old address
// are closed.
func (p *Pool) SetNode(number int, name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.nodes) <= number {
		p.nodes = append(p.nodes, &node{})
	}
	n := p.nodes[number]
	if address == "" { // the list may name a leaving node without its address
		address = n.address
	}
	if n.address != address && n.address != "" {
		n.closeIdle()
	}
	n.name, n.address = name, address
}

// RemoveNode implements dispatch.NodeRegistry. A busy connection to the node is closed as soon as it becomes idle.
func (p *Pool) RemoveNode(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[number].closeIdle()
	p.nodes[number].address = ""
	p.nodes[number] = &node{}
}

// CloseIdle closes the idle connections to a node.
func (p *Pool) CloseIdle(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[number].closeIdle()
}

// closeIdle makes the goroutines of idle connections close them, and of those that are behind a barrier.
func (n *node) closeIdle() {
	for _, c := range slices.Concat(n.idle, n.inBarrier) {
		c.retired = true
		c.interruptRead()
	}
	n.idle = nil
}

// delivery is an attempt or a probe on its way to a node.
type delivery struct {
	node      int
	statement *pg.Statement // nil for a probe
	deadline  time.Time
	decidedAt time.Time   // when the router chose the node; zero: not known
	mayBegin  func() bool // called before the statement is written, if that is some time after decidedAt
	isWanted  WantedFunc
	done      func(request.Result)

	mu        sync.Mutex
	startedAt time.Time
	canceled  bool
	withdrawn bool
	writing   bool     // writing has begun
	written   bool     // the last byte has been written
	sock      net.Conn // of the connection that carries it

	checkedAt time.Time // when checkWanted last looked; used by the connection's goroutine only
}

// WantedFunc reports, just before a statement is written, whether its client still waits for the answer, and
// as of when. It returns by the deadline of the attempt, or a moment later if the process gets little processor time.
type WantedFunc func(deadline time.Time) (wanted bool, asOf time.Time)

// Sender sends a client's statement to nodes. It implements request.Sender.
type Sender struct {
	Pool      *Pool
	Statement *pg.Statement
	IsWanted  WantedFunc // nil: the statement is always wanted
}

// Send implements request.Sender.
func (s Sender) Send(attempt dispatch.Attempt, mayBegin func() bool, done func(request.Result)) request.Attempt {
	d := &delivery{
		node:      attempt.Node,
		statement: s.Statement,
		deadline:  s.Pool.Dispatcher.Time(attempt.Deadline),
		decidedAt: s.Pool.Dispatcher.Time(attempt.DecidedAt),
		mayBegin:  mayBegin,
		isWanted:  s.IsWanted,
		done:      done,
		startedAt: time.Now(),
	}
	s.Pool.start(d, false)
	return d
}

// Probe asks a node for its report and passes the result to the dispatcher. It takes twice the connect
// timeout at most: once for the connection and once for the answer.
func (p *Pool) Probe(node int) {
	now := time.Now()
	p.start(&delivery{node: node, deadline: now.Add(2 * time.Duration(p.connectTimeout.Load())), startedAt: now,
		mayBegin: func() bool { return p.Dispatcher.ProbeMayBegin(node) },
		done: func(result request.Result) {
			p.Dispatcher.ProbeEnded(node, result.Outcome == balance.Succeeded, result.Report)
		}}, false)
}

// start passes a delivery to the most recently used idle connection, or else to one that will be idle soon. Without
// one, or if fresh is set, it opens a connection.
func (p *Pool) start(d *delivery, fresh bool) {
	p.mu.Lock()
	n := p.nodes[d.node]
	if k := len(n.idle); k > 0 && !fresh {
		c := n.idle[k-1]
		n.idle = n.idle[:k-1]
		c.next = d
		c.interruptRead() // under the lock, so that it cannot interrupt a later read
		p.mu.Unlock()
		return
	}
	if c := n.soonIdle(); c != nil && !fresh {
		c.next = d
		d.attach(c.sock, earlier(c.barrierEnds, d.deadline)) // under the lock, so that it cannot override a later deadline
		p.mu.Unlock()
		return
	}
	name, address := n.name, n.address
	if p.open >= p.maxOpen && !p.closeOldestIdleLocked() {
		p.mu.Unlock()
		p.log.Warn("no connection left for an attempt", zap.String("node", name))
		d.finish(request.Result{Outcome: balance.NotSent})
		return
	}
	p.open++
	p.mu.Unlock()
	c := &conn{pool: p, node: n, number: d.node, name: name, address: address, in: ring.New(ring.InitialSize, pg.MaxMessageSize, p.budget),
		out: ring.New(ring.InitialSize, pg.MaxMessageSize, p.budget)}
	recovery.Go(p.log, "node connection", func() { c.serve(d) }, nil)
}

// closeOldestIdleLocked closes the connection that has been idle longest, or else one that is behind a barrier, and
// reports whether there was one. The caller holds mu.
func (p *Pool) closeOldestIdleLocked() bool {
	var c *conn
	for _, n := range p.nodes {
		if len(n.idle) > 0 && (c == nil || n.idle[0].idleSince.Before(c.idleSince)) {
			c = n.idle[0]
		}
	}
	if c != nil {
		c.node.idle = without(c.node.idle, c)
	} else if c = p.oldestInBarrier(); c == nil {
		return false
	}
	c.retired = true
	c.interruptRead()
	p.open-- // counts as closed from now on
	c.uncounted = true
	return true
}

// oldestInBarrier returns a connection that is behind a barrier and has no further use, or nil. The caller holds mu.
func (p *Pool) oldestInBarrier() *conn {
	for _, n := range p.nodes {
		isFree := func(c *conn) bool { return c.next == nil && !c.retired }
		if i := slices.IndexFunc(n.inBarrier, isFree); i >= 0 {
			return n.inBarrier[i]
		}
	}
	return nil
}

// CloseOldestIdle closes the connection that has been idle longest, to free a descriptor, and reports whether
// there was one.
func (p *Pool) CloseOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeOldestIdleLocked()
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		n.closeIdle()
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (d *delivery) finish(result request.Result) {
	result.Took = int64(time.Since(d.startedAt))
	d.done(result)
}

// attach sets the socket that carries the delivery, nil for none, and its deadline. It does nothing to the
// socket and returns false if the delivery has been canceled. The check and the deadline are set in one step,
// or else the deadline could override that of a concurrent Cancel.
func (d *delivery) attach(sock net.Conn, deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sock = sock; sock != nil && !d.canceled {
		sock.SetDeadline(deadline)
	}
	return !d.canceled
}

// beginWrite marks the start of writing, and reports whether to write: not if the delivery has been canceled
// or withdrawn.
func (d *delivery) beginWrite(sock net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sock = sock; d.canceled || d.withdrawn {
		return false
	}
	d.writing = true
	sock.SetDeadline(d.deadline)
	return true
}

func (d *delivery) isCanceled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.canceled
}

// checkWanted reports whether the delivery is still to be written. It is the last check before writing, as
// the client may have left while the process was stalled. A delivery that was decided on some time ago, which
// includes the time that it waited for its goroutine, must also still be allowed to begin: its node may have
// left the list or lost its role, or the node's data may be too old by now.
func (d *delivery) checkWanted() bool {
	d.checkedAt = time.Now()
	if d.isWanted != nil {
		wanted, asOf := d.isWanted(d.deadline)
		d.checkedAt = asOf
		if !wanted {
			return false
		}
	}
	return d.mayBegin == nil || time.Since(d.decidedAt) <= maxCheckAge || d.mayBegin()
}

// maxCheckAge is how old the result of checkWanted may be when the delivery is written. If it is older the
// process was stalled in between.
const maxCheckAge = 20 * time.Millisecond

// isCheckStale reports whether the process was stalled since checkWanted, which must then be repeated.
func (d *delivery) isCheckStale() bool {
	return time.Since(d.checkedAt) > maxCheckAge
}

// isAborted reports whether the delivery has been canceled or withdrawn.
func (d *delivery) isAborted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.canceled || d.withdrawn
}

// markWritten records that the last byte is written. A withdrawal while it was being written has come too
// late, and is undone.
func (d *delivery) markWritten(sock net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.written = true; d.withdrawn && !d.canceled {
		d.withdrawn = false
		sock.SetDeadline(d.deadline)
	}
}

// Withdraw implements request.Attempt. A connection that is being opened for the delivery is opened all the
// same, for others. One that is writing it, to a node that does not read, ends.
func (d *delivery) Withdraw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withdrawn = !d.written; d.withdrawn && d.writing && d.sock != nil { // nil if the delivery has ended meanwhile
		d.sock.SetDeadline(ring.PastDeadline)
	}
}

// Cancel implements request.Attempt.
func (d *delivery) Cancel() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.canceled = true; d.sock != nil {
		d.sock.SetDeadline(ring.PastDeadline)
	}
}

func (p *Pool) dial(address string, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return p.Dialer.DialWithin(ctx, address, time.Duration(p.descriptorWait.Load()))
}
