package main

import (
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// openRequests are the queries of one client, and how many answers it has got. Answers come in the order of the queries.
type openRequests struct {
	client *standin.Client

	mu       sync.Mutex
	sentAt   []time.Time
	answers  int
	closedAt time.Time
}

// send sends queries in one write, unless the connection has ended: the client would send them elsewhere.
func (o *openRequests) send(queries ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closedAt.IsZero() {
		return
	}
	for _, query := range queries {
		o.client.SendStatement(query)
		o.sentAt = append(o.sentAt, time.Now())
	}
}

// receive counts answers until the connection ends.
func (o *openRequests) receive() {
	for {
		_, err := o.client.ReadAnswer()
		o.mu.Lock()
		if err != nil {
			o.closedAt = time.Now()
			o.mu.Unlock()
			return
		}
		o.answers++
		o.mu.Unlock()
	}
}

// unansweredSince returns how many queries sent after a moment have no answer, though the connection is open.
func (o *openRequests) unansweredSince(moment time.Time) (unanswered int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.sentAt[min(o.answers, len(o.sentAt)):] {
		if at.After(moment) {
			unanswered++
		}
	}
	return unanswered
}

// All nodes hang through the whole of a shutdown. What clients send on their open connections later than 0.7 s after SIGTERM has
// an answer before SIGKILL may come, behind whatever of before holds it back (docs/incidents/refusals-behind-a-hung-node.md).
func TestRefusalsBehindHungRequestsAtShutdown(t *testing.T) {
	const killAfter = 3700 * time.Millisecond // the longest deadline of the settings counts as 3 s
	longWrite := strings.Replace(standin.WriteQuery("order", 9000), `\x9f03`, `\x`+strings.Repeat("ab", 20_000), 1)
	held := map[string][]string{
		"a write":                           {standin.WriteQuery("order", 9000)},
		"a read and a write that runs once": {standin.ReadQuery(9000), standin.WriteQuery("once", 9000)},
		"a long write":                      {longWrite},
		"more than may be in hand":          pipelineOfWrites(50),
	}
	for name, queries := range held {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary, replica := standin.NewPair(t)
			over := make(chan struct{})
			t.Cleanup(func() { close(over) })
			for _, node := range []*standin.Node{primary, replica} {
				node.Handler = func(*standin.Backend, net.Conn, string) { <-over }
			}
			router := newRouter(t, primary, replica).Start(os.Args[0])
			requests := &openRequests{client: router.Open("")}
			requests.client.Expect("empty")
			go requests.receive()
			stoppedAt := time.Now()
			router.Cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(time.Until(stoppedAt.Add(200 * time.Millisecond))) // idle connections end after 0.4 s
			requests.send(queries...)
			for _, after := range []time.Duration{760, 1200, 1900, 2600, 3300} {
				time.Sleep(time.Until(stoppedAt.Add(after * time.Millisecond)))
				requests.send(standin.ReadQuery(900), standin.WriteQuery("order", 900))
			}
			time.Sleep(time.Until(stoppedAt.Add(killAfter)))
			if n := requests.unansweredSince(stoppedAt.Add(750 * time.Millisecond)); n > 0 {
				t.Errorf("%d queries sent later than 0.75 s after SIGTERM have no answer when SIGKILL may come", n)
			}
			standin.WaitFor(t, "the router to exit", router.Exited)
		})
	}
}

// pipelineOfWrites returns so many writes.
func pipelineOfWrites(count int) (writes []string) {
	for range count {
		writes = append(writes, standin.WriteQuery("order", 9000))
	}
	return writes
}
