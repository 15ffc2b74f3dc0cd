package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// goneTime is how long ago the clients of these tests have disconnected: nothing may be sent for them any more.
const goneTime = 150 * time.Millisecond

// expectRequests waits until all connections and requests have ended, and fails the test unless the node has
// got exactly so many requests.
func expectRequests(t *testing.T, s *Server, n *standin.Node, want int) {
	t.Helper()
	standin.WaitFor(t, "connections to end", func() bool { return s.ClientCount() == 0 })
	standin.WaitFor(t, "requests to end", func() bool { return s.dispatcher.InFlight() == 0 })
	if got := len(n.Statements()); got != want {
		t.Fatalf("%d requests of clients that had disconnected were sent", got-want)
	}
}

// lateEOFConn is a socket whose end is read late, as by a goroutine that is not scheduled in time.
type lateEOFConn struct{ *net.TCPConn }

func (c lateEOFConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// openIdleNodeConnections leaves so many idle connections to the node, so that attempts are written at once.
func openIdleNodeConnections(t *testing.T, s *Server, n *standin.Node, connections int) {
	t.Helper()
	proceed := make(chan struct{})
	n.WithLock(func() { n.Handler = func(b *pgproto3.Backend, _ net.Conn, _ string) { <-proceed; n.SendValue(b, "v") } })
	_, q := serveWithSmallBuffer(t, s, 4<<10)
	for range connections {
		q.SendStatement(standin.ReadQuery(20000))
	}
	standin.WaitFor(t, "requests at the node", func() bool { return len(n.Statements()) == connections })
	close(proceed)
	for range connections {
		q.Expect("v")
	}
	q.Conn.Close()
	standin.WaitFor(t, "its connection to end", func() bool { return s.ClientCount() == 0 })
}

// Clients write their query and disconnect while their connections wait in the listener's queue. When these
// are accepted, with an idle connection to the node available, no query may be sent.
func TestDisconnectInListenQueue(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	openIdleNodeConnections(t, s, n, 2)
	before := len(n.Statements())
	const clients = 12
	for k := range clients {
		c := connectAndQuery(t, s, standin.ReadQuery(20000))
		sock := c.Conn.(*net.TCPConn)
		switch k % 3 {
		case 0:
			sock.Close()
		case 1:
			sock.SetLinger(0)
			sock.Close()
		case 2:
			sock.CloseWrite()
		}
	}
	time.Sleep(goneTime)
	for range clients {
		near, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newClient(s, lateEOFConn{near.(*net.TCPConn)})
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
		expectRequests(t, s, n, before)
	}
}

// A client does not read its answers, which blocks its connection's goroutine, writes queries, and reads on
// only after it has shut its connection for writing. The queries have waited in the socket meanwhile, and
// none may be sent.
func TestDisconnectBehindUnreadAnswers(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	openIdleNodeConnections(t, s, n, 2)
	before := len(n.Statements())
	near, far := tcpPair(t)
	near.SetWriteBuffer(4 << 10)
	c := newClient(s, lateEOFConn{near})
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
	q := standin.NewClient(t, far)
	if !q.Startup() {
		t.Fatal("no startup reply")
	}
	empty := strings.Repeat("Q\x00\x00\x00\x05\x00", 600)
	standin.WaitFor(t, "a blocked goroutine", func() bool {
		io.WriteString(far, empty)
		time.Sleep(30 * time.Millisecond)
		return ring.HasPending(near)
	})
	for range 20 {
		q.SendStatement(standin.ReadQuery(20000))
	}
	far.CloseWrite()
	standin.WaitFor(t, "its end to arrive", func() bool { return ring.PeerClosed(near) })
	time.Sleep(goneTime)
	go io.Copy(io.Discard, far)
	expectRequests(t, s, n, before)
}

// A client sends Terminate while the router drains and waits for the acknowledgement of earlier answers: the
// client's other requests must not be sent meanwhile.
func TestTerminateDuringDrain(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	greeted, proceed := make(chan struct{}, 9), make(chan struct{})
	n.OnStartup = func(net.Conn) bool { greeted <- struct{}{}; <-proceed; return true }
	near, q := serveWithSmallBuffer(t, s, 1<<20)
	q.SendStatement(standin.ReadQuery(20000))
	<-greeted
	near.SetWriteDeadline(time.Now().Add(goneTime))
	near.Write(make([]byte, 200<<10)) // more than the client acknowledges
	if ring.UnacknowledgedBytes(near) == 0 {
		t.Fatal("all bytes are acknowledged, so the test shows nothing")
	}
	s.Drain()
	q.Send(&pgproto3.Terminate{})
	q.Flush()
	time.Sleep(lingerTimeout / 2)
	close(proceed)
	expectRequests(t, s, n, 0)
}

// A client that sends more than the buffers of the system hold, behind a query that takes long, and closes its connection
// is seen to have gone. Its end had not arrived, as nobody read what it had sent before, and attempts began for it.
func TestClientSendsMuchAndGoes(t *testing.T) {
	n := standin.NewNode(t, "source")
	s := newTestServer(t, n.Listener.Addr().String())
	proceed := make(chan struct{})
	n.Handler = func(*pgproto3.Backend, net.Conn, string) { <-proceed }
	defer close(proceed)
	near, far := tcpPairWithReadBuffer(t, 4<<10)
	q := serveConnection(t, s, near, far)
	var messages []byte
	for len(messages) < maxReadAhead/2 {
		messages = append(messages, queryBytes(standin.ReadQuery(20000))...)
	}
	if _, err := q.Conn.Write(messages); err != nil {
		t.Fatal(err)
	}
	q.Conn.Close()
	closedAt := time.Now()
	standin.WaitFor(t, "the connection to end", func() bool { return s.ClientCount() == 0 })
	if took := time.Since(closedAt); took > goneTime {
		t.Errorf("the client's end was seen after %v, want %v", took, goneTime)
	}
	standin.WaitFor(t, "all memory to be returned", func() bool { return s.budget.TryAcquire(1 << 20) })
}

// Without memory to read on, the queries wait in the socket, and all are answered in the end.
func TestManyQueriesWithoutMemoryToReadOn(t *testing.T) {
	s := newServerWithBudget(t, ring.InitialSize)
	client := connectAndQuery(t, s, "")
	client.Expect("")
	client.Expect("empty")
	var messages []byte
	var ids []string
	for len(messages) < 20<<10 {
		query := standin.ReadQuery(20000)
		ids = append(ids, standin.RequestID(query))
		messages = append(messages, queryBytes(query)...)
	}
	go client.Conn.Write(messages)
	for _, id := range ids {
		if answer := client.Answer(); answer != id && answer != "53300" {
			t.Fatalf("answered with %q", answer)
		}
	}
}
