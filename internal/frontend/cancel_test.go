package frontend

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/pg"
	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// No two open connections have the same process number, also after the numbers have wrapped around, and a
// connection that has ended is not found any more.
func TestCancelKeys(t *testing.T) {
	var keys cancelKeys
	first, second := &client{}, &client{}
	keys.register(first)
	keys.last = maxProcess - 1
	if key := keys.register(second); key.Process != maxProcess {
		t.Errorf("process %d after %d", key.Process, maxProcess-1)
	}
	third := &client{}
	if key := keys.register(third); key.Process != 2 {
		t.Errorf("process %d, want 2: 1 is in use", key.Process)
	}
	if keys.find(first.key) != first || keys.find(pg.BackendKey{Process: 1, Secret: first.key.Secret + 1}) != nil {
		t.Error("find returns another connection than the key's")
	}
	keys.remove(first)
	keys.remove(&client{}) // never registered
	if keys.find(first.key) != nil || keys.find(second.key) != second || keys.find(pg.BackendKey{}) != nil {
		t.Error("find returns a connection that has ended, or does not return an open one")
	}
}

// serveWithSmallBuffer serves a connection that has a write buffer of the given size and whose client reads
// little at a time.
func serveWithSmallBuffer(t *testing.T, s *Server, writeBuffer int) (near *net.TCPConn, q *standin.Client) {
	near, far := tcpPair(t)
	near.SetWriteBuffer(writeBuffer)
	return near, serveConnection(t, s, near, far)
}

// serveConnection serves a connection and returns its client, which has started its session.
func serveConnection(t *testing.T, s *Server, near, far net.Conn) *standin.Client {
	c := newClient(s, near)
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
	q := standin.NewClient(t, far)
	if !q.Startup() {
		t.Fatal("no startup reply")
	}
	return q
}

// keyOf returns the key that a client was sent at the startup.
func keyOf(q *standin.Client) pg.BackendKey {
	return pg.BackendKey{Process: q.CancelKey.ProcessID, Secret: binary.BigEndian.Uint32(q.CancelKey.SecretKey)}
}

// serveCancelOf processes a cancel request for a client, and fails the test if that takes long.
func serveCancelOf(t *testing.T, s *Server, q *standin.Client) {
	t.Helper()
	key := keyOf(q)
	if s.keys.find(key) == nil {
		t.Fatal("no such connection")
	}
	startedAt := time.Now()
	s.serveCancel(key)
	if took := time.Since(startedAt); took > readTimeout/2 {
		t.Errorf("a cancel request took %v", took)
	}
}

// A cancel request that arrives while an answer is being written affects neither that answer nor the next
// request. Once the answer is written, a cancel request is for the next request.
func TestCancelDuringAnswer(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	views := []string{standin.ReadQuery(20000), standin.ReadQuery(20000), standin.ReadQuery(20000)}
	proceed := make(chan struct{})
	n.Handler = func(b *pgproto3.Backend, _ net.Conn, q string) {
		if standin.RequestID(q) != standin.RequestID(views[0]) {
			<-proceed
		}
		n.SendValue(b, standin.RequestID(q)+strings.Repeat("v", 60<<10))
	}
	near, far := tcpPairWithReadBuffer(t, 4<<10)
	near.SetWriteBuffer(4 << 10)
	q := serveConnection(t, s, near, far)
	c := s.keys.find(keyOf(q))
	q.SendStatement(views[0])
	standin.WaitFor(t, "an answer that is not read", func() bool { return ring.UnacknowledgedBytes(near) > 0 })
	q.SendStatement(views[1])
	q.SendStatement(views[2])
	standin.WaitFor(t, "the next two to be in flight", func() bool { return s.dispatcher.InFlight() == 2 })
	if c.inFlight.Load() != 3 {
		t.Fatal("the first answer fits the buffers of the sockets, and is written already")
	}
	serveCancelOf(t, s, q)
	if a := q.Answer(); !strings.HasPrefix(a, standin.RequestID(views[0])) || len(a) < 60<<10 {
		t.Errorf("the first answer is %.20q of %d bytes", a, len(a))
	}
	if s.dispatcher.InFlight() != 2 {
		t.Error("the cancel request for the first request has canceled the next")
	}
	standin.WaitFor(t, "the first answer to be written", func() bool { return c.inFlight.Load() == 2 })
	serveCancelOf(t, s, q)
	q.Expect("57014")
	close(proceed)
	if a := q.Answer(); !strings.HasPrefix(a, standin.RequestID(views[2])) || len(a) < 60<<10 {
		t.Errorf("the last answer is %.20q of %d bytes", a, len(a))
	}
}

// Canceling the request of a client that does not read must not block.
func TestCancelDoesNotBlock(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	proceed := make(chan struct{})
	n.Handler = func(b *pgproto3.Backend, _ net.Conn, _ string) { <-proceed; n.SendValue(b, "v") }
	near, q := serveWithSmallBuffer(t, s, 4<<10)
	q.SendStatement(standin.ReadQuery(20000))
	standin.WaitFor(t, "its request", func() bool { return len(n.Statements()) == 1 })
	near.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	near.Write(make([]byte, 8<<20)) // fills the buffer, so that no answer can be written
	serveCancelOf(t, s, q)
	close(proceed)
	standin.WaitFor(t, "its request to end", func() bool { return s.dispatcher.InFlight() == 0 })
}

// If all regular connections are in use, a cancel request gets a reserved one, which it releases at once.
func TestCancelOverReservedConnection(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	s.maxClients, s.maxReserved = 3, 1
	proceed := make(chan struct{})
	n.Handler = func(b *pgproto3.Backend, _ net.Conn, _ string) { <-proceed; n.SendValue(b, "v") }
	go s.Serve()
	var clients []*standin.Client
	for range s.maxClients {
		c := connectAndQuery(t, s, standin.ReadQuery(20000))
		if c.Answer() != "" {
			t.Fatal("no startup reply")
		}
		clients = append(clients, c)
	}
	standin.WaitFor(t, "all to be in flight", func() bool { return s.dispatcher.InFlight() == len(clients) })
	for _, c := range clients {
		if answer, err := c.Cancel(c.CancelKey); err != nil || len(answer) > 0 {
			t.Fatalf("a cancel request was answered by %q, %v", answer, err)
		}
		c.Expect("57014")
		// An idle one may have been closed too.
		standin.WaitFor(t, "the reserved connection to end", func() bool { return s.ClientCount() <= len(clients) })
	}
	close(proceed)
}

// A client cancels its request and disconnects, before or after the request's final answer: no id and no key
// is left behind.
func TestDisconnectDuringCancel(t *testing.T) {
	n := standin.NewNode(t, "copy")
	s := newTestServer(t, n.Listener.Addr().String())
	n.Handler = func(b *pgproto3.Backend, _ net.Conn, _ string) { time.Sleep(time.Millisecond); n.SendValue(b, "v") }
	go s.Serve()
	for range 50 {
		c := connectAndQuery(t, s, standin.ReadQuery(20000))
		if c.Answer() != "" {
			t.Fatal("no startup reply")
		}
		canceled := make(chan struct{})
		go func() { c.Cancel(c.CancelKey); close(canceled) }()
		c.Conn.Close()
		<-canceled
	}
	standin.WaitFor(t, "all to end", func() bool { return s.ClientCount() == 0 && s.dispatcher.InFlight() == 0 })
	standin.WaitFor(t, "the ids to be released", func() bool { return s.ids.openCount() == 0 }) // by the requests' goroutines
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keys.clients) > 0 {
		t.Errorf("%d keys are left", len(s.keys.clients))
	}
}

// The connection that a cancel request came over is closed without an answer, also if no open connection has
// its key, and after a request for encryption.
func TestCancelIsNotAnswered(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	go s.Serve()
	const cancelRequest = "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01"
	const encryptionRequest = "\x00\x00\x00\x08\x04\xd2\x16\x2f"
	for sent, want := range map[string]string{cancelRequest: "", encryptionRequest + cancelRequest: "N"} {
		sock, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer sock.Close()
		sock.SetDeadline(time.Now().Add(standin.WaitTimeout))
		io.WriteString(sock, sent)
		if answer, err := io.ReadAll(sock); string(answer) != want || err != nil {
			t.Errorf("%q was answered by %q, %v", sent, answer, err)
		}
	}
}
