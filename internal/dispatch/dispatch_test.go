package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sedgestream/balance"
	"sedgestream/internal/decide/terms"
	"sedgestream/internal/settings"
)

// noNodes is a NodeRegistry that keeps nothing.
type noNodes struct{}

func (noNodes) SetNode(int, string, string) {}
func (noNodes) RemoveNode(int)              {}

// A slot is reused while the handle of the request before is still in use: late calls by that handle must not
// reach the new request, and each request must get its own callbacks only.
func TestSlotIsReused(t *testing.T) {
	c := &balance.Settings{TickInterval: 1e6, MaxAttempts: 2, ConnectTimeout: 1e9, IdleTimeout: 1e9, Classes: []balance.Class{
		{Consistency: balance.Write, RetrySafety: balance.AtMostOnce, TargetLatency: 1e9, Value: 1}}}
	d := New(&settings.Settings{Settings: *c}, 1, noNodes{}, zap.NewNop())
	d.UpdateList(0, true, []ListedNode{{ID: "a", Weight: 1, Group: 7, Primary: true}})
	group, ok := d.GroupIndex(7)
	if _, other := d.GroupIndex(8); !ok || other {
		t.Fatal("groups", ok, other)
	}
	accept := func(calls *string) *RequestHandle {
		return d.Accept(Callbacks{Send: func(Attempt) { *calls += "sent " },
			Reject: func(int64) { *calls += "rejected " }, Fail: func() { *calls += "failed " }}, Request{Group: group, Timeout: 1e9})
	}
	var first, second string
	earlier := accept(&first)
	if earlier.AttemptEnded(0, balance.ConnectionLost, 1, balance.AnswerInfo{}, balance.Report{}) {
		t.Error("the answer of a broken attempt is for the client")
	}
	later := accept(&second)
	if earlier.slot != later.slot {
		t.Fatal("the second request has another slot, so the test shows nothing")
	}
	earlier.ClientLeft()
	earlier.Run()
	if !later.AttemptEnded(0, balance.Succeeded, 1, balance.AnswerInfo{Role: balance.Primary}, balance.Report{}) {
		t.Error("the answer of the second request is not for its client")
	}
	later.Run()
	if first != "sent failed " || second != "sent " {
		t.Errorf("first %q, second %q", first, second)
	}
	if later.AttemptEnded(0, balance.Succeeded, 1, balance.AnswerInfo{}, balance.Report{}) {
		t.Error("a second answer is for the client")
	}
}

// A panic of the router in the timer's goroutine is logged, and does not end the process.
func TestTimerPanics(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	d := New(&settings.Settings{Settings: balance.Settings{Classes: []balance.Class{{TargetLatency: 1e9}}}}, 1, noNodes{}, zap.New(core))
	router := d.router
	d.mu.Lock()
	d.router = nil
	d.mu.Unlock()
	d.timer.Reset(0)
	for deadline := time.Now().Add(10 * time.Second); logs.FilterField(zap.String("task", "alarm")).Len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the panic was not logged")
		}
	}
	d.mu.Lock()
	d.router = router
	d.mu.Unlock()
	d.onTimer()
}

// Nodes that come and go under ever new names leave nothing behind, and a node with an outstanding attempt
// keeps its number until the request is over.
func TestNodesComeAndGo(t *testing.T) {
	c := &balance.Settings{TickInterval: 1e6, MaxAttempts: 2, ConnectTimeout: 1e9, IdleTimeout: 1e9, Classes: []balance.Class{
		{Consistency: balance.Write, RetrySafety: balance.AtMostOnce, TargetLatency: 1e9, Value: 1}}}
	d := New(&settings.Settings{Settings: *c}, 1, noNodes{}, zap.NewNop())
	node := func(i int, s balance.NodeState) ListedNode {
		return ListedNode{ID: fmt.Sprint("n", i), Weight: 1, Group: 7, Primary: true, Standing: s}
	}
	d.UpdateList(0, true, []ListedNode{node(0, balance.Active)})
	group, _ := d.GroupIndex(7)
	sent := -1
	handle := d.Accept(Callbacks{Send: func(attempt Attempt) { sent = attempt.Node }, Fail: func() {}},
		Request{Group: group, Timeout: 1e9})
	(<-handle.mailbox)()
	for i := range 1000 {
		d.UpdateList(0, i%2 == 0, []ListedNode{node(i+1, balance.Active), node(i, balance.Removed)})
		time.Sleep(time.Microsecond) // past the grace period of the node that leaves
		if d.nodeNames[sent] != "n0" {
			t.Fatal("the number of a node with an outstanding attempt was assigned to another")
		}
	}
	handle.AttemptEnded(0, balance.ConnectionLost, 1, balance.AnswerInfo{}, balance.Report{})
	d.UpdateList(0, false, nil)
	if len(d.nodeNumbers) > 2 || len(d.nodeNames) > 4 {
		t.Errorf("%d names, %d numbers", len(d.nodeNumbers), len(d.nodeNames))
	}
	var sentTo string
	(<-d.Accept(Callbacks{Send: func(attempt Attempt) { sentTo = d.nodeNames[attempt.Node] }},
		Request{Group: group, Timeout: 1e9}).mailbox)()
	if sentTo != "n1000" {
		t.Errorf("the request was sent to %q", sentTo)
	}
}

// BenchmarkJob measures what a request of one attempt costs in the dispatcher and the router, without terms and
// with tables of 1 and 10,000 routes.
func BenchmarkJob(b *testing.B) {
	for _, routes := range []int{0, 1, 10_000} {
		b.Run(fmt.Sprint(routes, " routes"), func(b *testing.B) {
			c := &balance.Settings{TickInterval: 5e6, MaxAttempts: 3, IdleTimeout: 1e9, Classes: []balance.Class{{TargetLatency: 1e9, Value: 1}}}
			d := New(&settings.Settings{Settings: *c}, 1, noNodes{}, zap.NewNop())
			d.UpdateList(0, true, []ListedNode{{ID: "a", Weight: 1, Group: 7, Primary: true}, {ID: "b", Weight: 1, Group: 7}})
			if routes > 0 {
				draft := &terms.Draft{Routes: []terms.DraftRoute{{Name: "all", Match: terms.Match{Class: -1, AnyGroup: true},
					Default: terms.Policy{BudgetShare: 0.5, BudgetWindow: 1e10}}}}
				for i := range routes - 1 {
					draft.Routes = append(draft.Routes, terms.DraftRoute{Name: fmt.Sprint(i),
						Match: terms.Match{Class: -1, AnyGroup: true, KeyPrefix: fmt.Sprintf("k%05d", i)}})
				}
				d.SetTerms(terms.Compile(draft, &terms.Environment{Settings: c, Classes: []string{"view"}}))
			}
			key := []byte("k00777fa")
			b.ReportAllocs()
			for b.Loop() {
				handle := d.Accept(Callbacks{Send: func(Attempt) {}, Reject: func(int64) {}, Fail: func() {}},
					Request{Timeout: 1e9, GroupName: 7, Key: key})
				handle.AttemptEnded(0, balance.Succeeded, 1e6, balance.AnswerInfo{Role: balance.Replica}, balance.Report{})
				handle.Run()
			}
		})
	}
}

// A position that a node reports is passed on to planners unless it lies in the future.
func TestFuturePositionsAreDropped(t *testing.T) {
	d := New(&settings.Settings{Settings: balance.Settings{TickInterval: 1e6, MaxAttempts: 2, ConnectTimeout: 1e9, IdleTimeout: 1e9,
		Probes: true, Classes: []balance.Class{{TargetLatency: 1e9, Value: 1}}}}, 1, noNodes{}, zap.NewNop())
	d.EnablePlanner()
	d.EnableLoadMeter()
	d.UpdateList(0, true, []ListedNode{{ID: "a", Weight: 1, Group: 7}})
	passedOn := func(position int64) bool {
		d.ProbeEnded(0, true, balance.Report{Present: true, Position: position, Role: balance.Replica, InFlight: -1})
		loads := d.TakeLoads()
		return len(loads) == 1 && loads[0].SelfReport != nil && loads[0].SelfReport.Position == position
	}
	if passedOn(d.Now() + int64(time.Hour)) {
		t.Error("a position in the future is passed on")
	}
	if !passedOn(d.Now() - 1) {
		t.Error("a position in the past is not passed on")
	}
}

// Notices of an unchanged list are equal from call to call: routers report to planners only what differs from
// their last report.
func TestNoticesAreOrdered(t *testing.T) {
	d := New(&settings.Settings{Settings: balance.Settings{Classes: []balance.Class{{TargetLatency: 1e8, Value: 1}}}}, 1, noNodes{},
		zap.NewNop())
	d.EnablePlanner()
	var nodes []ListedNode
	for i := range 100 {
		nodes = append(nodes, ListedNode{ID: fmt.Sprintf("s-%02d", i), Address: "127.0.0.1:1", Weight: 1})
	}
	d.UpdateList(1, true, nodes)
	first := d.Notices()
	if len(first) != len(nodes) {
		t.Fatalf("%d notices of %d nodes", len(first), len(nodes))
	}
	for range 20 {
		if !slices.Equal(first, d.Notices()) {
			t.Fatal("the notices change from call to call")
		}
	}
}

// A request's mailbox has room for all callbacks of as many attempts as the request may have, those that
// could not begin included, even if Run executes none of them in between.
func TestMailboxHoldsAllAttempts(t *testing.T) {
	const maxAttempts = 6
	c := &balance.Settings{TickInterval: 1e6, MaxAttempts: maxAttempts, ConnectTimeout: 1e9, IdleTimeout: 1e9, Classes: []balance.Class{
		{Consistency: balance.Write, RetrySafety: balance.AtMostOnce, TargetLatency: 1e8, LateValueShare: 1, Value: 1}}}
	d := New(&settings.Settings{Settings: *c}, 1, noNodes{}, zap.NewNop())
	d.UpdateList(0, true, []ListedNode{{ID: "a", Weight: 1, Group: 7, Primary: true}})
	group, _ := d.GroupIndex(7)
	sent := 0
	handle := d.Accept(Callbacks{Send: func(Attempt) {}, Reject: func(int64) { sent = -1 }, Fail: func() {}},
		Request{Group: group, Timeout: 1e12})
	for attempt := range 2 * maxAttempts {
		for limit := time.Now().Add(time.Second); d.attemptCount(handle) <= attempt && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		}
		handle.Post(func() {})
		handle.Post(func() {}) // in place of a cancellation
		handle.AttemptEnded(attempt, balance.NotSent, 1, balance.AnswerInfo{}, balance.Report{})
	}
	if attempts := d.attemptCount(handle); attempts != 2*maxAttempts || sent < 0 {
		t.Errorf("%d attempts, want %d", attempts, 2*maxAttempts)
	}
	handle.Run()
}

// attemptCount returns the number of attempts a request has had.
func (d *Dispatcher) attemptCount(handle *RequestHandle) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots[handle.slot].attempts
}
