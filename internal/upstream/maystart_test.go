package upstream

import (
	"testing"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/request"
	"sedgestream/internal/standin"
)

// An attempt that is written long after it was decided on may no longer begin, also over an idle connection: the process was
// held up before the attempt was given to its connection (docs/incidents/read-at-a-former-primary.md).
func TestLateAttemptOverIdleConnection(t *testing.T) {
	node := standin.NewNode(t, "source")
	pool := poolWith(node)
	_, results := pool.send(t, standin.WaitTimeout)
	expectOutcome(t, results, balance.Succeeded, 5*time.Second)
	awaitIdle(t, pool)
	for _, isProbe := range []bool{false, true} {
		late := &delivery{deadline: time.Now().Add(standin.WaitTimeout), startedAt: time.Now(), decidedAt: time.Now().Add(-2 * maxCheckAge),
			mayBegin: func() bool { return false }, done: func(r request.Result) { results <- r }}
		late.isWanted = func(time.Time) (bool, time.Time) { return true, time.Now() }
		if !isProbe {
			late.statement = statement(t)
		} else {
			late.isWanted = nil
		}
		pool.start(late, false)
		expectOutcome(t, results, balance.NotSent, 5*time.Second)
		awaitIdle(t, pool)
	}
	if requests := node.Statements(); len(requests) != 1 || node.ProbeCount != 0 {
		t.Errorf("the node got %q and %d probes, want one request", requests, node.ProbeCount)
	}
}

// awaitIdle waits until the pool has one idle connection to its first node.
func awaitIdle(t *testing.T, pool *Pool) {
	t.Helper()
	standin.WaitFor(t, "the connection to be idle", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.nodes[0].idle) == 1
	})
}
