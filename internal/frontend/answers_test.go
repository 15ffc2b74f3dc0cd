package frontend

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// newServerOfLongValues returns a server, which serves, with so many bytes for large values and a node that answers by
// long values.
func newServerOfLongValues(t *testing.T, budget int64, value string) *Server {
	node := standin.NewNode(t, "source")
	node.Handler = func(b *pgproto3.Backend, _ net.Conn, _ string) { node.SendValue(b, value) }
	s := newTestServer(t, node.Listener.Addr().String())
	s.budget = ring.NewBudget(budget)
	go s.Serve()
	t.Cleanup(func() { s.listener.Close() })
	return s
}

// Answers that are being written take memory from the budget. Where it has none left, a client that reads gets its answer,
// and one that doesn't loses its connection soon: hundreds of them would hold any number of long answers.
func TestLongAnswersWithoutBudget(t *testing.T) {
	value := strings.Repeat("v", 60<<10)
	s := newServerOfLongValues(t, ring.InitialSize, value)
	near, far := tcpPairWithReadBuffer(t, 4<<10)
	near.SetWriteBuffer(4 << 10)
	unread := serveConnection(t, s, near, far)
	startedAt := time.Now()
	unread.SendStatement(standin.ReadQuery(20000))
	reading := connectAndQuery(t, s, standin.ReadQuery(20000))
	reading.Expect("")
	reading.Expect(value)
	standin.WaitFor(t, "the connection that isn't read to end", func() bool { return s.ClientCount() == 1 })
	if took := time.Since(startedAt); took > readTimeout/2 {
		t.Errorf("the client that doesn't read keeps its connection for %v", took)
	}
}

// With memory, a client has the time of any write to read its answer, which holds its part of the budget until then.
func TestLongAnswerHoldsItsMemory(t *testing.T) {
	value := strings.Repeat("v", 60<<10)
	const budget = 1 << 20
	s := newServerOfLongValues(t, budget, value)
	near, far := tcpPairWithReadBuffer(t, 4<<10)
	near.SetWriteBuffer(4 << 10)
	slow := serveConnection(t, s, near, far)
	slow.SendStatement(standin.ReadQuery(20000))
	standin.WaitFor(t, "memory to be taken", func() bool {
		if s.budget.TryAcquire(budget) {
			s.budget.Release(budget)
			return false
		}
		return true
	})
	time.Sleep(2 * unbudgetedWriteTimeout)
	slow.Expect(value)
	standin.WaitFor(t, "all memory to be returned", func() bool { return s.budget.TryAcquire(budget) })
}
