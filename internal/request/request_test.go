package request

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/ring"
	"sedgestream/internal/settings"
)

// recordingClient is a Client that records its answers.
type recordingClient []string

func (c *recordingClient) Succeeded(ring.Payload) { *c = append(*c, "succeeded") }
func (c *recordingClient) Rejected(int64)         { *c = append(*c, "rejected") }
func (c *recordingClient) Failed()                { *c = append(*c, "failed") }
func (c *recordingClient) Panicked(p any)         { *c = append(*c, fmt.Sprint("panicked: ", p)) }

// fakeSender counts attempts and passes each on to the test.
type fakeSender struct {
	sent   int
	onSend func(done func(Result))
	countingAttempt
}

// countingAttempt is an Attempt that counts its withdrawals.
type countingAttempt struct{ withdrawals *int }

func (a countingAttempt) Cancel()   {}
func (a countingAttempt) Withdraw() { *a.withdrawals++ }

func (s *fakeSender) Send(_ dispatch.Attempt, _ func() bool, done func(Result)) Attempt {
	s.sent++
	s.onSend(done)
	return s.countingAttempt
}

// noNodes is a NodeRegistry that keeps nothing.
type noNodes struct{}

func (noNodes) SetNode(int, string, string) {}
func (noNodes) RemoveNode(int)              {}

// newDispatcher returns a dispatcher that knows one primary.
func newDispatcher() *dispatch.Dispatcher {
	c := &settings.Settings{Settings: balance.Settings{MaxAttempts: 3, TickInterval: int64(time.Millisecond),
		ConnectTimeout: int64(time.Second),
		Classes: []balance.Class{{Consistency: balance.Write, RetrySafety: balance.AtMostOnce,
			TargetLatency: int64(time.Second), Value: 1}}}}
	d := dispatch.New(c, 1, noNodes{}, zap.NewNop())
	d.UpdateList(1, true, []dispatch.ListedNode{{ID: "s-0", Address: "a", Weight: 1, Primary: true}})
	return d
}

func (s *fakeSender) start(d *dispatch.Dispatcher, c Client) *dispatch.RequestHandle {
	s.withdrawals = new(int)
	return Start(d, dispatch.Request{Timeout: int64(time.Minute)}, c, s)
}

// A client leaves after an attempt was queued and before its callback runs: nothing is sent, and the slot is
// released.
func TestClientLeavesBeforeAttemptIsSent(t *testing.T) {
	d, client, sender := newDispatcher(), &recordingClient{}, &fakeSender{onSend: func(func(Result)) {}}
	handle := sender.start(d, client)
	handle.ClientLeft()
	handle.Run() // returns as the request ends
	if sender.sent != 0 || len(*client) != 0 || d.InFlight() != 0 {
		t.Errorf("%d attempts were sent, the client was told %q, %d requests are in flight", sender.sent, *client, d.InFlight())
	}
}

// A client leaves while an attempt is outstanding: the attempt is withdrawn, in case it has not been written yet.
func TestClientLeavesDuringAttempt(t *testing.T) {
	d, client := newDispatcher(), &recordingClient{}
	sent := make(chan func(Result), 1)
	sender := &fakeSender{onSend: func(done func(Result)) { sent <- done }}
	handle := sender.start(d, client)
	over := make(chan struct{})
	go func() { handle.Run(); close(over) }()
	done := <-sent
	handle.ClientLeft()
	done(Result{Outcome: balance.NotSent})
	<-over
	if *sender.withdrawals != 1 || len(*client) != 0 || d.InFlight() != 0 {
		t.Errorf("%d withdrawals, the client was told %q, %d requests are in flight", *sender.withdrawals, *client, d.InFlight())
	}
}

// A callback panics: the client still gets its answer, the slot is released, and an at-most-once request gets
// no second attempt.
func TestCallbackPanics(t *testing.T) {
	for _, c := range []struct {
		name   string
		onSend func(done func(Result))
		want   []string
	}{
		{"sending", func(func(Result)) { panic("test") }, []string{"panicked: test"}},
		{"sending, after the result was reported", func(done func(Result)) { done(Result{Outcome: balance.NotSent}); panic("test") },
			[]string{"panicked: test"}},
	} {
		d, client, sender := newDispatcher(), &recordingClient{}, &fakeSender{onSend: c.onSend}
		over := make(chan struct{})
		go func() { sender.start(d, client).Run(); close(over) }()
		select {
		case <-over:
		case <-time.After(10 * time.Second):
			t.Fatal(c.name, ": the request never ends")
		}
		if sender.sent != 1 || !slices.Equal((*client)[len(*client)-1:], c.want) && !slices.Contains(*client, c.want[0]) || d.InFlight() != 0 {
			t.Errorf("%s: %d attempts, the client was told %q, %d requests are in flight", c.name, sender.sent, *client, d.InFlight())
		}
	}
}
