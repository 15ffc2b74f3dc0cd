package upstream

import (
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/request"
	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// A node that the list names without an address, as it leaves, keeps the one it had: outstanding attempts may
// still need it, and the node may come back.
func TestNodeKeepsAddress(t *testing.T) {
	pool := New(&balance.Settings{}, Limits{}, zap.NewNop())
	for _, address := range []string{"127.0.0.1:1", "", "127.0.0.1:2", ""} {
		pool.SetNode(0, "a", address)
		if address != "" && pool.nodes[0].address != address || pool.nodes[0].address == "" {
			t.Errorf("after address %q the node has %q", address, pool.nodes[0].address)
		}
	}
}

// If all connections are in use, and none is idle, an attempt ends as not sent.
func TestNoConnectionLeft(t *testing.T) {
	pool := New(&balance.Settings{}, Limits{Connections: 0}, zap.NewNop())
	pool.SetNode(0, "a", "127.0.0.1:1")
	var results []request.Result
	pool.start(&delivery{node: 0, done: func(r request.Result) { results = append(results, r) }}, false)
	if len(results) != 1 || results[0].Outcome != balance.NotSent {
		t.Errorf("%+v", results)
	}
}

// interruptedConn is a socket whose reads are always interrupted by a deadline before they look for bytes.
type interruptedConn struct{ *net.TCPConn }

func (interruptedConn) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// Bytes that a node sends after a complete answer must never be taken for the answer to the next request: a
// delivery that finds excess bytes on its connection is sent on another one.
func TestExcessBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	pool := New(&balance.Settings{}, Limits{Connections: 1}, zap.NewNop())
	pool.SetNode(0, "a", l.Addr().String())
	c := &conn{pool: pool, node: pool.nodes[0], address: l.Addr().String(), sock: interruptedConn{near.(*net.TCPConn)},
		in: ring.New(ring.InitialSize, ring.InitialSize, nil)}
	for _, excess := range []bool{false, true} {
		if excess {
			far.Write([]byte("a second copy"))
			for !ring.HasPending(near) {
				time.Sleep(time.Millisecond)
			}
		}
		d := &delivery{}
		c.next = d
		if got := c.waitIdle(); got != d || c.retired != excess {
			t.Errorf("excess bytes: %v, delivery returned: %v, connection retired: %v", excess, got == d, c.retired)
		}
	}
	l.Close()
	c.in.Write([]byte("noise"))
	if c.deliver(&delivery{deadline: time.Now(), done: func(request.Result) {}}) {
		t.Error("a connection with excess bytes in its buffer was kept")
	}
}

// The list may name a node again while connections to it begin and end. The race detector saw the name for the log read
// beside that (make race).
func TestNodeIsNamedWhileConnectionsEnd(t *testing.T) {
	node := standin.NewNode(t, "source")
	pool := New(&balance.Settings{ConnectTimeout: int64(time.Second)}, Limits{Connections: 9}, zap.NewNop())
	pool.SetNode(0, "s-0", node.Listener.Addr().String())
	const attempts = 20
	done := make(chan struct{}, attempts)
	for range attempts {
		d := &delivery{deadline: time.Now().Add(standin.WaitTimeout), startedAt: time.Now(), done: func(request.Result) { done <- struct{}{} }}
		pool.start(d, true)
		pool.SetNode(0, "s-0", node.Listener.Addr().String())
		<-done
		pool.CloseAllIdle()
	}
}
