package trip

import (
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/job"
	"sedgestream/internal/pg"
	"sedgestream/internal/ring"
)

// firstRing is the least a buffer begins with: a page of memory.
const firstRing = 4096

// past is a deadline that has gone by.
var past = time.Unix(1, 0)

// conn is a connection to a node. It lives in a goroutine of its own, which reads from it all the time: an
// order for it comes by a deadline that wakes the read.
type conn struct {
	nodes   *Nodes
	node    *node
	address string
	sock    net.Conn
	in, out *ring.Ring
	since   time.Time // since when it is idle

	// Under the lock of nodes.
	order     *order
	retired   bool // to be closed
	uncounted bool
}

func (c *conn) poke() { c.sock.SetReadDeadline(past) }

// live opens the connection and carries one order after the other.
func (c *conn) live(o *order) {
	defer c.ended()
	up := o.sent.Add(c.nodes.connect)
	if o.until.Before(up) {
		up = o.until
	}
	if !c.comeUp(o, up) {
		c.close()
		o.end(job.End{Ending: c.unsent(o)})
		return
	}
	for o != nil {
		if !c.carry(o) {
			return
		}
		if o = c.wait(); o != nil && c.stale(o) {
			return
		}
	}
}

// unsent is the ending of a trip whose last byte was never written.
func (c *conn) unsent(o *order) balance.Ending {
	if o.isRevoked() {
		return balance.Moot
	}
	return balance.Unreachable
}

func (c *conn) close() {
	if c.sock != nil {
		c.sock.Close()
	}
}

// ended takes the connection out of the count.
func (c *conn) ended() {
	c.close()
	c.in.Free()
	c.out.Free()
	c.nodes.mu.Lock()
	if !c.uncounted {
		c.nodes.open--
	}
	c.nodes.mu.Unlock()
}

func (c *conn) comeUp(o *order, until time.Time) bool {
	sock, err := c.nodes.dial(c.address, until)
	if err != nil {
		return false
	}
	c.sock = sock
	if !o.carriedBy(sock) {
		return false
	}
	sock.SetDeadline(until)
	c.out.Write(pg.AppendStartup(nil))
	if c.out.Flush(sock) != nil {
		return false
	}
	for {
		kind, _, size, err := pg.Message(c.in)
		if err != nil || kind == 'E' && size > 0 {
			return false
		}
		if size > 0 {
			c.in.Discard(size)
			if kind == 'Z' {
				return true
			}
			continue
		}
		if _, err := c.in.Fill(sock); err != nil {
			return false
		}
	}
}

// carry sends an order and waits for its answer. It tells whether the connection can be used again; if not,
// it is closed before the ending is told.
func (c *conn) carry(o *order) bool {
	ending, answer := c.exchange(o)
	if answer.Whole || ending == balance.Moot { // nothing is on the way over it
		c.finish(o, ending, answer)
		return true
	}
	c.close()
	if o.isRevoked() && ending > balance.Moot {
		ending = balance.Revoked
	}
	c.finish(o, ending, answer)
	return false
}

func (c *conn) finish(o *order, ending balance.Ending, a *pg.Answer) {
	o.carriedBy(nil)
	e := job.End{Ending: ending, Note: a.Note, Report: a.Report, Value: a.Value}
	if o.statement == nil && ending == balance.Done {
		e.Report = a.Vitals()
	}
	o.end(e)
}

// exchange is one query and its answer. What is left at its end stands in no doubt only if the answer is
// whole.
func (c *conn) exchange(o *order) (balance.Ending, *pg.Answer) {
	a := &pg.Answer{}
	c.sock.SetDeadline(o.until)
	if !o.carriedBy(c.sock) {
		return balance.Moot, a
	}
	var query []byte
	if o.statement == nil {
		query = pg.AppendVitals(nil)
	} else {
		left := time.Until(o.until).Milliseconds()
		if left <= 0 {
			return balance.Moot, a
		}
		query = o.statement.AppendQuery(nil, left)
	}
	// Straight from the message if it is large, so that it does not stand in memory twice.
	if err := c.send(query); err != nil {
		return balance.Unreachable, a // the last byte was never written
	}
	for {
		kind, body, size, err := pg.Message(c.in)
		if err == nil && size > 0 {
			err = a.Take(kind, body)
			c.in.Discard(size)
			if a.Whole && err == nil {
				return a.Ending, a
			}
			if err == nil {
				continue
			}
		}
		if err == nil {
			_, err = c.in.Fill(c.sock)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return balance.TimedOut, a
		}
		if errors.Is(err, pg.ErrMalformed) {
			c.nodes.log.Warn("a node answered nonsense", zap.String("node", c.node.name))
		}
		return balance.Broken, a
	}
}

func (c *conn) send(query []byte) error {
	if len(query) > firstRing {
		_, err := c.sock.Write(query)
		return err
	}
	c.out.Write(query)
	return c.out.Flush(c.sock)
}

// wait keeps the connection among the idle ones until there is an order for it, or it ends: nil.
func (c *conn) wait() *order {
	s := c.nodes
	c.since = time.Now()
	c.sock.SetDeadline(c.since.Add(s.idle))
	s.mu.Lock()
	if c.address != c.node.address {
		s.mu.Unlock()
		return nil
	}
	c.node.idle = append(c.node.idle, c)
	s.mu.Unlock()
	var err error
	for err == nil {
		if _, err = c.in.Fill(c.sock); err == nil {
			err = c.idleMessages()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := c.order
	if c.order = nil; o != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.in.Len() > 0 {
			c.retired = true // it ended just as it got the order
		}
		return o
	}
	for i, k := range c.node.idle {
		if k == c {
			c.node.idle = append(c.node.idle[:i], c.node.idle[i+1:]...)
			break
		}
	}
	return nil
}

// idleMessages are those that a node may send unasked; any other ends the connection.
func (c *conn) idleMessages() error {
	for {
		kind, _, size, err := pg.Message(c.in)
		if err != nil || size == 0 {
			return err
		}
		if kind != 'S' && kind != 'N' {
			return pg.ErrMalformed
		}
		c.in.Discard(size)
	}
}

// stale passes an order on of which nothing has been written, from a connection that has ended.
func (c *conn) stale(o *order) bool {
	c.nodes.mu.Lock()
	retired := c.retired
	c.nodes.mu.Unlock()
	if retired {
		c.close()
		c.nodes.start(o, true)
	}
	return retired
}
