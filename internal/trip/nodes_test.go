package trip

import (
	"testing"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/job"
)

// A node that leaves the list without an address keeps the one it had: what is out there may still need it, and
// it may come back.
func TestLeavesWithoutAddress(t *testing.T) {
	s := New(&balance.Contract{}, Limits{}, zap.NewNop())
	for _, address := range []string{"127.0.0.1:1", "", "127.0.0.1:2", ""} {
		s.Reach(0, "a", address)
		if address != "" && s.nodes[0].address != address || s.nodes[0].address == "" {
			t.Errorf("told %q, kept %q", address, s.nodes[0].address)
		}
	}
}

// With no connection left, and none idle, a trip ends as never sent.
func TestNoConnectionLeft(t *testing.T) {
	s := New(&balance.Contract{}, Limits{Connections: 0}, zap.NewNop())
	s.Reach(0, "a", "127.0.0.1:1")
	var ends []job.End
	s.start(&order{node: 0, back: func(e job.End) { ends = append(ends, e) }}, false)
	if len(ends) != 1 || ends[0].Ending != balance.Moot {
		t.Errorf("%+v", ends)
	}
}
