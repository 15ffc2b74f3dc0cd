package upstream

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/pg"
	"sedgestream/internal/request"
	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// repeatingNode returns a node that answers each statement with its id, and sends that answer a second time after a
// pause, before it reads on. Its answer to an empty query comes a second time after the same pause if repeatsEmpty is set.
func repeatingNode(t *testing.T, pause time.Duration, repeatsAnswers, repeatsEmpty bool) *standin.Node {
	node := standin.NewNode(t, "source")
	node.RepeatsEmptyAnswers, node.RepeatPause = repeatsEmpty, pause
	node.Handler = func(backend *standin.Backend, _ net.Conn, query string) {
		node.SendValue(backend, standin.RequestID(query))
		if repeatsAnswers {
			time.Sleep(pause)
			node.SendValue(backend, standin.RequestID(query))
		}
	}
	return node
}

// repeatPauses are pauses before a second copy: such that it comes with the answer, or while the connection is idle, or after
// the next request was sent.
var repeatPauses = []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond}

// A second copy of an answer was taken for the answer to the next request on the connection, when it came after that was sent
// (docs/incidents/second-copies-of-answers.md).
func TestSecondCopyIsNotTheNextAnswer(t *testing.T) {
	for _, pause := range repeatPauses {
		pool := poolWith(repeatingNode(t, pause, true, false))
		for range 20 {
			sendAndExpectOwnID(t, pool)
		}
	}
}

// The answer to a barrier may itself come twice. That ends neither the request that is sent next nor the connection.
func TestSecondCopyOfBarrierAnswer(t *testing.T) {
	for _, pause := range repeatPauses {
		node := repeatingNode(t, pause, false, true)
		pool := poolWith(node)
		for range 20 {
			sendAndExpectOwnID(t, pool)
			awaitIdle(t, pool)
		}
		node.WithLock(func() {
			if node.SessionCount != 1 {
				t.Errorf("pause %v: %d connections for requests one after another, want 1", pause, node.SessionCount)
			}
		})
	}
}

// sendAndExpectOwnID sends a read and checks that its answer is the one that the node made for it.
func sendAndExpectOwnID(t *testing.T, pool *Pool) {
	t.Helper()
	query := standin.ReadQuery(20000)
	parsed, err := pg.ParseStatement([]byte(query))
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan request.Result, 1)
	pool.start(&delivery{statement: parsed, deadline: time.Now().Add(standin.WaitTimeout), startedAt: time.Now(),
		done: func(r request.Result) { results <- r }}, false)
	result := <-results
	if got := (&pg.Answer{Value: result.Value}).RowText(); result.Outcome != balance.Succeeded || got != standin.RequestID(query) {
		t.Errorf("outcome %v with the value of request %q, want %q", result.Outcome, got, standin.RequestID(query))
	}
}

// A request that was given to a connection whose barrier is not answered is sent over another one once the connect timeout has
// passed. Connections behind a barrier are closed if another needs their place, and as the program ends.
func TestConnectionBehindUnansweredBarrier(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, isNeeded := range []bool{false, true} {
		node := standin.NewNode(t, "source")
		done := make(chan struct{})
		node.OnEmptyQuery = func() { <-done }
		t.Cleanup(func() { close(done) })
		pool := poolWith(node)
		_, results := pool.send(t, standin.WaitTimeout)
		expectOutcome(t, results, balance.Succeeded, 5*time.Second)
		standin.WaitFor(t, "the barrier", func() bool {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return len(pool.nodes[0].inBarrier) == 1
		})
		if isNeeded && !pool.CloseOldestIdle() {
			t.Error("no connection was closed to make room")
		}
		if !isNeeded {
			pool.CloseAllIdle() // the program ends
		}
		standin.WaitFor(t, "the connection to end", func() bool {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.open == 0 && len(pool.nodes[0].inBarrier) == 0
		})
	}
	node := standin.NewNode(t, "source")
	done := make(chan struct{})
	node.OnEmptyQuery = func() { <-done }
	t.Cleanup(func() { close(done) })
	pool := poolWith(node)
	pool.connectTimeout.Store(int64(timeout))
	_, results := pool.send(t, standin.WaitTimeout)
	expectOutcome(t, results, balance.Succeeded, 5*time.Second)
	_, results = pool.send(t, standin.WaitTimeout)
	expectOutcome(t, results, balance.Succeeded, 5*time.Second)
	standin.WaitFor(t, "both to be behind barriers", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.nodes[0].inBarrier) == 2
	})
	for range 2 {
		if !pool.CloseOldestIdle() {
			t.Error("a connection whose barrier is not answered was not closed to make room")
		}
	}
	standin.WaitFor(t, "all connections to end", func() bool { pool.mu.Lock(); defer pool.mu.Unlock(); return len(pool.nodes[0].inBarrier) == 0 })
}

// A request that leaves a connection whose barrier is late no longer refers to it: to cancel the request must not interrupt
// what the connection carries by then.
func TestCancelAfterLeavingLateBarrier(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	pool := New(&balance.Settings{}, Limits{Connections: 0}, zap.NewNop())
	pool.SetNode(0, "a", "127.0.0.1:1")
	interrupted := make(chan struct{}, 1)
	sock := &deadlineConn{near, func(deadline time.Time) {
		if deadline.Equal(ring.PastDeadline) {
			interrupted <- struct{}{}
		}
	}}
	results := make(chan request.Result, 1)
	d := &delivery{deadline: time.Now().Add(time.Second), done: func(r request.Result) { results <- r }}
	d.attach(sock, d.deadline)
	pool.startAnew(d)
	expectOutcome(t, results, balance.NotSent, time.Second) // there is no place for another connection
	d.Cancel()
	select {
	case <-interrupted:
		t.Error("the connection that the request had left was interrupted")
	default:
	}
}

// deadlineConn is a socket that tells which deadlines are set.
type deadlineConn struct {
	net.Conn
	onDeadline func(time.Time)
}

func (c *deadlineConn) SetDeadline(deadline time.Time) error {
	c.onDeadline(deadline)
	return c.Conn.SetDeadline(deadline)
}
