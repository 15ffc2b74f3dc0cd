package frontend

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sedgestream/balance"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/ring"
	"sedgestream/internal/settings"
	"sedgestream/internal/standin"
	"sedgestream/internal/upstream"
)

// newTestServer returns a server with one class and one node. Serve has not been called.
func newTestServer(t *testing.T, node string) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c := &settings.Settings{ClassByName: map[string]int{"view": 0}, Deadlines: []int64{0}, Settings: balance.Settings{MaxAttempts: 3,
		TickInterval: int64(5 * time.Millisecond), ConnectTimeout: int64(time.Second),
		Classes: []balance.Class{{TargetLatency: int64(time.Second), Value: 1}}}}
	nodes := upstream.New(&c.Settings, upstream.Limits{Connections: 9}, zap.NewNop())
	d := dispatch.New(c, 1, nodes, zap.NewNop())
	nodes.Dispatcher = d
	d.UpdateList(1, true, []dispatch.ListedNode{{ID: "s-0", Address: node, Weight: 1, Group: 2, Primary: true}})
	return New(l, d, nodes, Limits{Connections: 40, QueryingConnections: 20, Budget: ring.NewBudget(testBudget)}, zap.NewNop())
}

// testBudget is the budget of large values of clients, in bytes.
const testBudget = 1 << 20

// connectAndQuery connects and writes a query right after the startup message.
func connectAndQuery(t *testing.T, s *Server, query string) *standin.Client {
	sock, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sock.Close() })
	sock.SetDeadline(time.Now().Add(standin.WaitTimeout))
	c := standin.NewClient(t, sock)
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker"}})
	c.SendStatement(query)
	return c
}

// Queries on connections that are still in the listener's queue when the server is closed are rejected at
// once: the system has acknowledged them, so they must get an answer, and one that makes a retry harmless.
func TestListenQueueAtClose(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	var clients []*standin.Client
	for range 12 {
		clients = append(clients, connectAndQuery(t, s, standin.ReadQuery(20000)))
	}
	s.Drain()
	s.Close()
	startedAt := time.Now()
	s.Serve()
	s.Wait()
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("closing took %v", took)
	}
	for _, c := range clients {
		if c.Answer() != "" {
			t.Fatal("no startup reply")
		}
		c.Expect("53300")
		if b, err := io.ReadAll(c.Conn); err != nil || len(b) > 0 {
			t.Errorf("after the answer came %q, %v", b, err)
		}
	}
}

// A query that arrives just as its connection is to end is answered, while the server drains or closes and
// when the connection is closed to make room. In the first two cases the connection then ends.
func TestQueryDuringClose(t *testing.T) {
	for _, end := range []struct {
		name   string
		end    func(*Server, *client)
		answer string
	}{
		{"drain", func(s *Server, _ *client) { s.Drain() }, "empty"},
		{"close", func(s *Server, _ *client) { s.Close() }, "empty"},
		{"room needed", func(_ *Server, c *client) { c.closeIdle(c.idleSince.Load()) }, "empty"},
	} {
		s := newTestServer(t, "127.0.0.1:1")
		far, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		far.SetDeadline(time.Now().Add(standin.WaitTimeout))
		near, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newClient(s, near)
		s.clients[c] = struct{}{}
		c.hasQueried.Store(true)
		c.setIdle(1)
		end.end(s, c)
		// The query arrives before the connection's goroutine runs.
		q := standin.NewClient(t, far)
		q.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker"}})
		q.SendStatement("")
		for !ring.HasPending(near) {
			time.Sleep(time.Millisecond)
		}
		go c.serve()
		if a := q.Answer(); a != "" {
			t.Errorf("%s: startup answered by %q", end.name, a)
			continue
		}
		q.Expect(end.answer)
		if end.name == "room needed" {
			continue // the connection goes on
		}
		if _, err := io.ReadAll(far); err != nil {
			t.Errorf("%s: %v", end.name, err)
		}
	}
}

// A client disconnects while its long query waits for memory: nothing is sent for it, though the query is
// read completely in the end.
func TestDisconnectWhileQueryWaits(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	const budget = 300 << 10
	s.budget = ring.NewBudget(budget)
	s.budget.TryAcquire(budget)
	go s.Serve()
	long := strings.Replace(standin.ReadQuery(20000), "7f3a9c21e0b4d655", strings.Repeat("k", 9000), 1)
	c := connectAndQuery(t, s, long)
	if c.Answer() != "" {
		t.Fatal("no startup reply")
	}
	c.Conn.Close()
	time.Sleep(100 * time.Millisecond) // the query waits
	s.budget.Release(budget)
	standin.WaitFor(t, "its connection to end", func() bool { return s.ClientCount() == 0 })
	standin.WaitFor(t, "its request to end, if there is one", func() bool { return s.dispatcher.InFlight() == 0 })
	if requests := n.Statements(); len(requests) != 0 {
		t.Errorf("the node got %d requests", len(requests))
	}
	// A client that stays connected is served.
	c = connectAndQuery(t, s, long)
	if c.Answer() != "" {
		t.Fatal("no startup reply")
	}
	c.Expect("from copy")
}

// Input that arrives after a final answer does not cause a reset that discards unread answers, however slowly
// the client reads them.
func TestFinalAnswerArrives(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	near, far := tcpPair(t)
	c := newClient(s, near)
	s.clients[c] = struct{}{}
	answer := make([]byte, 400<<10)
	over := make(chan struct{})
	go func() {
		c.write(answer)
		c.lingerClose(true)
		near.Close()
		close(over)
	}()
	far.Write(make([]byte, 64<<10)) // input that the router does not read
	time.Sleep(100 * time.Millisecond)
	if n, err := io.Copy(io.Discard, far); n != int64(len(answer)) || err != nil {
		t.Errorf("%d of %d bytes arrived, %v", n, len(answer), err)
	}
	far.Close()
	<-over
}

// tcpPair returns both ends of a connection whose far side reads little at a time.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	near, far = tcpPairWithReadBuffer(t, 0)
	far.SetReadBuffer(32 << 10)
	near.SetWriteBuffer(4 << 20)
	return near, far
}

// tcpPairWithReadBuffer is tcpPair with the read buffer of the far end set before it connects, so that its window never
// admits more; 0 leaves all buffers as they are.
func tcpPairWithReadBuffer(t *testing.T, size int) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var dialer net.Dialer
	if size > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
		}
	}
	dialed, err := dialer.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far = dialed.(*net.TCPConn)
	far.SetDeadline(time.Now().Add(standin.WaitTimeout))
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near = accepted.(*net.TCPConn)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// A client disconnects while an answer is being written that it does not read. This is noticed at once: an
// attempt that still waits for a connection to the node is not sent.
func TestDisconnectDuringAnswer(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	var sessions atomic.Int32
	greeted, proceed, answer := make(chan struct{}, 9), make(chan struct{}), make(chan struct{})
	n.OnStartup = func(net.Conn) bool {
		if sessions.Add(1) > 1 {
			greeted <- struct{}{}
			<-proceed
		}
		return true
	}
	n.Handler = func(b *pgproto3.Backend, _ net.Conn, _ string) { <-answer; n.SendValue(b, strings.Repeat("v", 60<<10)) }
	far, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	far.(*net.TCPConn).SetReadBuffer(4 << 10)
	far.SetDeadline(time.Now().Add(standin.WaitTimeout))
	near, err := s.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near.(*net.TCPConn).SetWriteBuffer(4 << 10)
	c := newClient(s, near)
	s.clients[c] = struct{}{}
	go c.serve()
	q := standin.NewClient(t, far)
	if !q.Startup() {
		t.Fatal("no startup reply")
	}
	q.SendStatement(standin.ReadQuery(20000))
	standin.WaitFor(t, "the first request at the node", func() bool { return len(n.Statements()) == 1 })
	q.SendStatement(standin.ReadQuery(20000))
	<-greeted
	close(answer)
	standin.WaitFor(t, "an answer that is not read", func() bool { return ring.UnacknowledgedBytes(near) > 0 })
	time.Sleep(100 * time.Millisecond) // the buffers are full by now
	far.(*net.TCPConn).CloseWrite()
	time.Sleep(300 * time.Millisecond) // nothing may be sent for the client any more
	close(proceed)
	standin.WaitFor(t, "its requests to end", func() bool { return s.dispatcher.InFlight() == 0 })
	if requests := n.Statements(); len(requests) != 1 {
		t.Errorf("%d requests were sent for a client that had disconnected", len(requests)-1)
	}
}

// Queries that arrive while an answer is being written become requests, and their answers follow it, complete
// and in order.
func TestQueriesDuringAnswer(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	n.Handler = func(b *pgproto3.Backend, _ net.Conn, q string) {
		n.SendValue(b, standin.RequestID(q)+strings.Repeat("v", 60<<10))
	}
	near, far := tcpPair(t)
	near.SetWriteBuffer(4 << 10)
	c := newClient(s, near)
	s.clients[c] = struct{}{}
	go c.serve()
	q := standin.NewClient(t, far)
	if !q.Startup() {
		t.Fatal("no startup reply")
	}
	var ids []string
	for range 12 { // as many as the budget allows, one after another as the node's concurrency limit is low at first
		view := standin.ReadQuery(20000)
		ids = append(ids, standin.RequestID(view))
		q.SendStatement(view)
		q.SendStatement("") // answered without a request, in order
		standin.WaitFor(t, "its request to be done", func() bool { return len(n.Statements()) == len(ids) && s.dispatcher.InFlight() == 0 })
	}
	for _, id := range ids {
		if a := q.Answer(); !strings.HasPrefix(a, id+"v") || len(a) != len(id)+60<<10 {
			t.Fatalf("answer %.20q of %d bytes, want that of %s", a, len(a), id)
		}
		q.Expect("empty")
	}
	far.Close()
	standin.WaitFor(t, "its connection to end", func() bool { return s.ClientCount() == 0 })
}
