package upstream

import (
	"errors"
	"os"
	"slices"
	"time"

	"sedgestream/internal/pg"
	"sedgestream/internal/ring"
)

// This file keeps connections idle, and ends those on which something comes meanwhile.

// waitIdle keeps the connection idle until the pool gives it a delivery, which is returned. It returns nil if
// the connection is to end.
func (c *conn) waitIdle() *delivery {
	p := c.pool
	c.idleSince = time.Now()
	c.sock.SetDeadline(c.idleSince.Add(time.Duration(p.idleTimeout.Load())))
	p.mu.Lock()
	if c.address != c.node.address {
		p.mu.Unlock()
		return nil
	}
	c.node.idle = append(c.node.idle, c)
	p.mu.Unlock()
	var err error
	for err == nil {
		if _, err = c.in.Fill(c.sock); err == nil {
			err = c.readIdleMessages()
		}
	}
	c.closeReason = err
	unclean := !errors.Is(err, os.ErrDeadlineExceeded) || !c.readUnasked()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := c.next
	if c.next = nil; d != nil {
		c.retired = c.retired || unclean // it ended just as it was given the delivery
		return d
	}
	c.node.idle = without(c.node.idle, c)
	return nil
}

// readUnasked reads what the node has sent unasked when a delivery has interrupted the read of an idle connection, which may
// have been before it looked. It reports whether the connection can be used.
func (c *conn) readUnasked() bool {
	for ring.HasPending(c.sock) {
		c.sock.SetReadDeadline(time.Now().Add(finalReadTimeout))
		if _, err := c.in.Fill(c.sock); err != nil || c.readIdleMessages() != nil {
			return false
		}
	}
	return c.in.Len() == 0
}

// without returns a list of connections without one of them. It changes the list in place.
func without(conns []*conn, ended *conn) []*conn {
	if i := slices.Index(conns, ended); i >= 0 {
		return slices.Delete(conns, i, i+1)
	}
	return conns
}

// readIdleMessages discards the messages that a node may send unasked, ParameterStatus and NoticeResponse, and further
// answers to the last barrier. Any other is an error.
func (c *conn) readIdleMessages() error {
	for {
		kind, _, size, err := pg.PeekMessage(c.in)
		if err != nil || kind == 0 && size <= ring.InitialSize {
			return err
		}
		if !isAsynchronous(kind) && !c.barrier.add(kind) {
			return pg.ErrMalformed
		}
		c.in.Discard(size)
	}
}

// resendIfRetired starts a delivery, of which nothing has been written, on a new connection if this one has
// ended, and reports whether it has.
func (c *conn) resendIfRetired(d *delivery) bool {
	c.pool.mu.Lock()
	retired := c.retired
	c.pool.mu.Unlock()
	if retired {
		c.resend(d)
	}
	return retired
}

// resend closes the connection and starts a delivery, of which nothing has been written, on a new one.
func (c *conn) resend(d *delivery) {
	c.close()
	c.pool.startAnew(d)
}
