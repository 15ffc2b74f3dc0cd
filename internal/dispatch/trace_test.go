package dispatch

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"sedgestream/balance"
	"sedgestream/internal/settings"
)

// Outcomes are counted by their reason and logged in one record per period, which holds the counts since the
// record before. A period without counts has no record. At level debug the log has each request by its id.
func TestCountsByReason(t *testing.T) {
	c := &balance.Settings{TickInterval: 1e6, MaxAttempts: 1, ConnectTimeout: 1e9, IdleTimeout: 1e9, Classes: []balance.Class{
		{Consistency: balance.Write, RetrySafety: balance.AtMostOnce, TargetLatency: 1e9, Value: 1}}}
	core, logs := observer.New(zapcore.DebugLevel)
	d := New(&settings.Settings{Settings: *c}, 1, noNodes{}, zap.New(core))
	d.UpdateList(0, true, []ListedNode{{ID: "a", Weight: 1, Group: 7, Primary: true}})
	group, _ := d.GroupIndex(7)
	accept := func(id string) *RequestHandle {
		return d.Accept(Callbacks{Send: func(Attempt) {}, Reject: func(int64) {}, Fail: func() {}},
			Request{ID: id, Group: group, Timeout: 1e9})
	}
	accept("1").AttemptEnded(0, balance.Unreachable, 1, balance.AnswerInfo{}, balance.Report{})
	accept("2").AttemptEnded(0, balance.ConnectionLost, 1, balance.AnswerInfo{}, balance.Report{})
	accept("3").AttemptEnded(0, balance.Succeeded, 1, balance.AnswerInfo{Role: balance.Primary}, balance.Report{})
	accept("4").ClientLeft()
	for range 2 {
		d.LogCounts()
	}
	accept("5").AttemptEnded(0, balance.ConnectionLost, 1, balance.AnswerInfo{}, balance.Report{})
	d.LogCounts()
	counts := logs.FilterMessage("counts").All()
	if len(counts) != 2 {
		t.Fatalf("%d records of counts, want 2", len(counts))
	}
	for i, want := range []map[string]uint64{
		{"refused: no attempt left": 1, "failed: no attempt left": 1, "attempts: unreachable": 1, "attempts: broken": 1,
			"attempts: succeeded": 1, "clients left": 1},
		{"failed: no attempt left": 1, "attempts: broken": 1},
	} {
		got := counts[i].ContextMap()
		if len(got) != len(want) {
			t.Errorf("record %d has %v", i, got)
		}
		for name, n := range want {
			if got[name] != n {
				t.Errorf("record %d has %v of %q, want %d", i, got[name], name, n)
			}
		}
	}
	for id, message := range map[string]string{"1": "refused", "2": "failed", "3": "attempt ended", "4": "client left"} {
		if logs.FilterMessage(message).FilterField(zap.String("id", id)).Len() != 1 {
			t.Errorf("request %s has no record %q in the debug log", id, message)
		}
	}
}
