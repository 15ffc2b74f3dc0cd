package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/contract"
	"sedgestream/internal/desk"
)

// told is a client that notes its answers.
type told []string

func (c *told) Done([]byte)   { *c = append(*c, "done") }
func (c *told) Bounced(int64) { *c = append(*c, "bounced") }
func (c *told) Terminated()   { *c = append(*c, "terminated") }
func (c *told) Failed(p any)  { *c = append(*c, fmt.Sprint("failed by ", p)) }

// sender does with trips what the test says.
type sender struct {
	sent int
	on   func(back func(End))
	recalled
}

type recalled struct{ n *int }

func (r recalled) Revoke() {}
func (r recalled) Recall() { *r.n++ }

func (s *sender) Send(_ int, _ int64, _ func() bool, back func(End)) Trip {
	s.sent++
	s.on(back)
	return s.recalled
}

type nobody struct{}

func (nobody) Reach(int, string, string) {}
func (nobody) Drop(int)                  {}

// open is a desk that knows one primary.
func open() *desk.Desk {
	c := &contract.Contract{Contract: balance.Contract{MaxTrips: 3, Tick: int64(time.Millisecond), ConnectTimeout: int64(time.Second),
		Tariffs: []balance.Tariff{{Need: balance.Write, Repeat: balance.AtMostOnce, ContractTime: int64(time.Second), Earnings: 1}}}}
	d := desk.Open(c, 1, nobody{}, zap.NewNop())
	d.List(1, true, []desk.Row{{ID: "s-0", Address: "a", Weight: 1, Primary: true}})
	return d
}

func (s *sender) begin(d *desk.Desk, c Client) *desk.Ticket {
	s.n = new(int)
	return Begin(d, desk.Ask{Wait: int64(time.Minute)}, c, s)
}

// A client that leaves after a trip was ordered and before that is carried out: nothing is sent, and the place is free again.
func TestLeftBeforeItsOrderIsCarriedOut(t *testing.T) {
	d, c, s := open(), &told{}, &sender{on: func(func(End)) {}}
	ticket := s.begin(d, c)
	ticket.Left()
	ticket.Work() // it ends as the job does
	if s.sent != 0 || len(*c) != 0 || d.InHand() != 0 {
		t.Errorf("%d trips were sent, told %q, %d jobs in hand", s.sent, *c, d.InHand())
	}
}

// A client that leaves while a trip is on its way: that is recalled, for the case that it has not been written yet.
func TestLeftWhileATripComesUp(t *testing.T) {
	d, c := open(), &told{}
	ends := make(chan func(End), 1)
	s := &sender{on: func(back func(End)) { ends <- back }}
	ticket := s.begin(d, c)
	over := make(chan struct{})
	go func() { ticket.Work(); close(over) }()
	back := <-ends
	ticket.Left()
	back(End{Ending: balance.Moot})
	<-over
	if *s.n != 1 || len(*c) != 0 || d.InHand() != 0 {
		t.Errorf("recalled %d times, told %q, %d jobs in hand", *s.n, *c, d.InHand())
	}
}

// A step that ends in a panic costs its job neither its answer nor its place, and an at-most-once job no second trip.
func TestStepFails(t *testing.T) {
	for _, c := range []struct {
		name string
		on   func(back func(End))
		want []string
	}{
		{"sending", func(func(End)) { panic("a wire") }, []string{"failed by a wire"}},
		{"sending, after its end was told", func(back func(End)) { back(End{Ending: balance.Moot}); panic("a wire") }, []string{"failed by a wire"}},
	} {
		d, who, s := open(), &told{}, &sender{on: c.on}
		over := make(chan struct{})
		go func() { s.begin(d, who).Work(); close(over) }()
		select {
		case <-over:
		case <-time.After(10 * time.Second):
			t.Fatal(c.name, ": the job never ends")
		}
		if s.sent != 1 || !slices.Equal((*who)[len(*who)-1:], c.want) && !slices.Contains(*who, c.want[0]) || d.InHand() != 0 {
			t.Errorf("%s: %d trips, told %q, %d jobs in hand", c.name, s.sent, *who, d.InHand())
		}
	}
}
