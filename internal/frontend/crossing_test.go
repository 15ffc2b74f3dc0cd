package frontend

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// stallLength is how long the goroutines of these tests are delayed, as by a stop of the process.
const stallLength = 50 * time.Millisecond

// stalledConn is a connection whose goroutine is stalled once it is armed, right after its first look at the socket
// that finds no input.
type stalledConn struct {
	*net.TCPConn
	stall func()
	armed atomic.Bool
}

func (c *stalledConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return stalledRawConn{raw, c}, err
}

type stalledRawConn struct {
	syscall.RawConn
	conn *stalledConn
}

func (r stalledRawConn) Control(look func(fd uintptr)) error {
	err := r.RawConn.Control(look)
	if !ring.HasPending(r.conn.TCPConn) && r.conn.armed.CompareAndSwap(true, false) {
		r.conn.stall()
	}
	return err
}

// endings are the ways in which a connection without requests is made to end.
var endings = []struct {
	name string
	end  func(*Server, *client)
}{
	{"drain", func(s *Server, _ *client) { s.Drain() }},
	{"close", func(s *Server, _ *client) { s.Close() }},
	{"past the close deadline", func(s *Server, _ *client) {
		s.Close()
		s.mu.Lock()
		s.closeDeadline = time.Now().Add(-time.Second)
		s.mu.Unlock()
	}},
	{"room needed", func(_ *Server, c *client) { c.closeIdle(c.idleSince.Load()) }},
}

// startedClient returns a client whose session has started, and which has been idle since.
func startedClient(s *Server, near net.Conn) *client {
	c := newClient(s, near)
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker"}}).Encode(nil)
	c.in.Write(startup)
	c.hasQueried.Store(true)
	c.setIdle(1)
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	return c
}

// A query arrives while the goroutine of its connection is stalled after its last look at the socket, and before it
// ends the connection. It is answered.
func TestQueryAfterLastLook(t *testing.T) {
	for _, ending := range endings {
		t.Run(ending.name, func(t *testing.T) {
			s := newTestServer(t, "127.0.0.1:1")
			near, far := tcpPair(t)
			q := standin.NewClient(t, far)
			conn := &stalledConn{TCPConn: near, stall: func() {
				q.SendStatement("")
				time.Sleep(stallLength)
			}}
			c := startedClient(s, conn)
			c.setIdle(0)
			go c.serve()
			if q.Answer() != "" {
				t.Fatal("no startup reply")
			}
			standin.WaitFor(t, "it to be idle", func() bool { return c.idleSince.Load() > 0 })
			conn.armed.Store(true)
			ending.end(s, c)
			q.Expect("empty")
		})
	}
}

// The first query of a connection arrives while the goroutine is stalled after its last look at the socket, at the
// end of the time that a client has for it. It is answered.
func TestFirstQueryAfterLastLook(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	near, far := tcpPair(t)
	q := standin.NewClient(t, far)
	conn := &stalledConn{TCPConn: near, stall: func() {
		q.SendStatement("")
		time.Sleep(stallLength)
	}}
	c := startedClient(s, conn)
	c.hasQueried.Store(false)
	c.messageStartedAt = time.Now().Add(stallLength - readTimeout)
	go c.serve()
	if q.Answer() != "" {
		t.Fatal("no startup reply")
	}
	conn.armed.Store(true)
	q.Expect("empty")
}

// The deadline for reading further input has passed before the goroutine of a connection runs again. A query that
// has arrived meanwhile is answered.
func TestQueryDuringStallBeyondCloseDeadline(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	near, far := tcpPair(t)
	q := standin.NewClient(t, far)
	c := startedClient(s, near)
	s.Close()
	s.mu.Lock()
	s.closeDeadline = time.Now().Add(-time.Second)
	s.mu.Unlock()
	q.SendStatement("")
	standin.WaitFor(t, "the query", func() bool { return ring.HasPending(near) })
	go c.serve()
	if q.Answer() != "" {
		t.Fatal("no startup reply")
	}
	q.Expect("empty")
}

// A client that always has another query in the socket does not hold up the end of the process, and the last thing
// it gets is a rejection.
func TestClientThatNeverStopsIsEnded(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	near, far := tcpPair(t)
	c := startedClient(s, near)
	go func() {
		query, err := (&pgproto3.Query{String: ""}).Encode(nil)
		for queries := bytes.Repeat(query, 10000); err == nil; {
			_, err = far.Write(queries)
		}
	}()
	standin.WaitFor(t, "queries", func() bool { return ring.HasPending(near) })
	s.Drain()
	s.Close()
	startedAt := time.Now()
	go c.serve()
	received, _ := io.ReadAll(far)
	s.Wait()
	if !bytes.Contains(received, []byte("57P03")) {
		t.Errorf("no final rejection among %d bytes", len(received))
	}
	if took := time.Since(startedAt); took > 3*lingerTimeout {
		t.Errorf("closing took %v", took)
	}
}

// stalledListener is a listener on which a goroutine is stalled once, right after it has set a deadline.
type stalledListener struct {
	*net.TCPListener
	deadlines int // that are set before the stall
	stall     func()
}

func (l *stalledListener) SetDeadline(deadline time.Time) error {
	err := l.TCPListener.SetDeadline(deadline)
	if l.deadlines--; l.deadlines == -1 {
		l.stall()
	}
	return err
}

// Clients connect and send queries while the accepting goroutine is stalled, so that the deadlines for accepting
// from the listener's queue pass without a look at it. They are answered.
func TestListenQueueDuringStall(t *testing.T) {
	for deadlines, name := range []string{"past the close deadline", "past the quiet period"} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, "127.0.0.1:1")
			var clients []*standin.Client
			s.listener = &stalledListener{s.listener.(*net.TCPListener), deadlines, func() {
				for range 12 {
					clients = append(clients, connectAndQuery(t, s, standin.ReadQuery(20000)))
				}
				time.Sleep(stallLength)
			}}
			s.Drain()
			s.Close()
			if deadlines == 0 {
				s.closeDeadline = time.Now().Add(-time.Second)
			}
			s.Serve()
			s.Wait()
			for _, c := range clients {
				if answer := c.Answer(); answer != "" {
					t.Fatalf("the startup was answered by %q", answer)
				}
				c.Expect("53300")
			}
		})
	}
}

// A process that gets so little processor time that every look takes long still closes its connections.
func TestCloseAlthoughEveryLookIsSlow(t *testing.T) {
	looks := 0
	slowLook := func() bool {
		looks++
		time.Sleep(2 * maxLookAge)
		return false
	}
	closed := closeUnlessPending(slowLook, func(isRecent func() bool) bool { return isRecent() })
	if !closed || looks != maxLooks {
		t.Errorf("closed %t after %d looks, want it after %d", closed, looks, maxLooks)
	}
}
