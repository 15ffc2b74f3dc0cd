package frontend

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// newServerWithBudget returns a server, which serves, with so many bytes for large values, and with a node that answers
// each query by its id.
func newServerWithBudget(t *testing.T, budget int64) *Server {
	node := standin.NewNode(t, "source")
	node.Handler = func(b *pgproto3.Backend, _ net.Conn, query string) { node.SendValue(b, standin.RequestID(query)) }
	s := newTestServer(t, node.Listener.Addr().String())
	s.budget = ring.NewBudget(budget)
	go s.Serve()
	t.Cleanup(func() { s.listener.Close() })
	return s
}

// longRead returns a read of so many bytes.
func longRead(size int) string {
	query := standin.ReadQuery(20000)
	return strings.Replace(query, "7f3a9c21e0b4d655", strings.Repeat("7", size-len(query)+16), 1)
}

// queryBytes encodes a query as a message.
func queryBytes(query string) []byte {
	message := binary.BigEndian.AppendUint32([]byte("Q"), uint32(4+len(query)+1))
	return append(append(message, query...), 0)
}

// A query for which there is no memory is rejected once its last byte has come, with the time to come back, and its
// connection goes on. It waited for 2.7 s before, whatever its own deadline was (review case 3).
func TestQueryWithoutBudgetIsRejectedAtOnce(t *testing.T) {
	s := newServerWithBudget(t, ring.InitialSize)
	s.dispatcher.Policy().Settings.MaxRetryAfter = int64(time.Second)
	client := connectAndQuery(t, s, "")
	client.Expect("")
	client.Expect("empty")
	for range 3 {
		message := queryBytes(longRead(40 << 10))
		client.Conn.Write(message[:len(message)-1])
		time.Sleep(20 * time.Millisecond)
		client.Conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if answer := client.Answer(); !strings.Contains(answer, "timeout") {
			t.Fatalf("answered with %q before the last byte", answer)
		}
		client.Conn.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
		startedAt := time.Now()
		client.Conn.Write(message[len(message)-1:])
		client.Expect("53300")
		if took := time.Since(startedAt); client.Detail != "1000" || took > time.Second {
			t.Errorf("rejected after %v with %q, want at once and 1000", took, client.Detail)
		}
		short := standin.ReadQuery(20000)
		client.SendStatement(short)
		client.Expect(standin.RequestID(short))
	}
}

// Other messages that are dropped are answered as they are always, and pipelined queries behind them are served.
func TestOtherMessagesWithoutBudget(t *testing.T) {
	s := newServerWithBudget(t, ring.InitialSize)
	client := connectAndQuery(t, s, "")
	client.Expect("")
	client.Expect("empty")
	query := standin.ReadQuery(20000)
	parse := append(binary.BigEndian.AppendUint32([]byte("P"), 4+20<<10), bytes.Repeat([]byte{'p'}, 20<<10)...)
	sync := []byte{'S', 0, 0, 0, 4}
	client.Conn.Write(append(append(append(parse, parse...), sync...), queryBytes(query)...))
	client.Expect("0A000")
	client.Expect(standin.RequestID(query))
}

// A message that stops half-way holds as much memory as has come of it, in steps of twice the size, not as much as it
// announces.
func TestHalfMessagesHoldWhatHasCome(t *testing.T) {
	const budget = 1 << 20
	s := newServerWithBudget(t, budget)
	message := queryBytes(longRead(100 << 10))
	const halves, sent = 12, 30 << 10
	for range halves {
		client := connectAndQuery(t, s, "")
		client.Expect("")
		client.Expect("empty")
		client.Conn.Write(message[:sent])
	}
	standin.WaitFor(t, "memory to be taken", func() bool { return !s.budget.TryAcquire(budget-halves*sent/2) || release(s, budget-halves*sent/2) })
	if !s.budget.TryAcquire(budget - halves*2*sent) {
		t.Errorf("%d messages of which %d bytes have come hold more than %d bytes", halves, sent, halves*2*sent)
	}
}

// release returns bytes to the budget, and false.
func release(s *Server, bytes int) bool {
	s.budget.Release(bytes)
	return false
}

// A long message grows its buffer with the bytes that come, and is served whole.
func TestLongMessageInPieces(t *testing.T) {
	s := newServerWithBudget(t, 1<<20)
	client := connectAndQuery(t, s, "")
	client.Expect("")
	client.Expect("empty")
	query := longRead(100 << 10)
	message := queryBytes(query)
	for len(message) > 0 {
		n := min(len(message), 7000)
		client.Conn.Write(message[:n])
		message = message[n:]
	}
	client.Expect(standin.RequestID(query))
	standin.WaitFor(t, "all memory to be returned", func() bool { return s.budget.TryAcquire(1 << 20) })
}

// A connection that only waits for its client to close it holds no memory for input.
func TestMemoryOfLingeringConnection(t *testing.T) {
	s := newServerWithBudget(t, 1<<20)
	near, far := tcpPair(t)
	c := newClient(s, near)
	c.in.Fill(strings.NewReader(strings.Repeat("h", ring.InitialSize)))
	if err := c.in.TryReserveMore(60 << 10); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		c.lingerClose(true)
		close(ended)
	}()
	standin.WaitFor(t, "all memory to be returned", func() bool { return s.budget.TryAcquire(1 << 20) })
	select {
	case <-ended:
		t.Error("the connection does not linger")
	default:
	}
	far.Close()
	<-ended
}
