package frontend

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/decide/admission"
	"sedgestream/internal/standin"
)

// newServerWithMemory returns a server, which serves, with memory for so many requests in hand, and a function that makes
// its node answer what it has got and will get.
func newServerWithMemory(t *testing.T, requests int64) (s *Server, answerAll func()) {
	node := standin.NewNode(t, "source")
	answers := make(chan struct{})
	node.Handler = func(b *pgproto3.Backend, _ net.Conn, query string) {
		<-answers
		node.SendValue(b, standin.RequestID(query))
	}
	s = newTestServer(t, node.Listener.Addr().String())
	s.admission = admission.NewMemory(requests * requestMemory(len(standin.ReadQuery(20000))+1, nil))
	go s.Serve()
	t.Cleanup(func() { s.listener.Close() })
	return s, func() { close(answers) }
}

// memoryInHand returns the memory that the requests in hand take.
func memoryInHand(s *Server) int64 {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	return s.admission.Used()
}

// Queries that a client sends behind others wait while these take the memory that such may have, and are served once an
// answer has been written. 10,880 requests in hand took more than the whole process may (review case 2).
func TestPipelinedQueriesWaitForMemory(t *testing.T) {
	s, answerAll := newServerWithMemory(t, 4)
	queries := []string{standin.ReadQuery(20000), standin.ReadQuery(20000), standin.ReadQuery(20000), standin.ReadQuery(20000)}
	client := connectAndQuery(t, s, queries[0])
	client.Expect("")
	for _, query := range queries[1:] {
		client.SendStatement(query)
	}
	standin.WaitFor(t, "two requests in hand", func() bool { return s.dispatcher.InFlight() == 2 })
	time.Sleep(20 * time.Millisecond)
	if n := s.dispatcher.InFlight(); n != 2 {
		t.Errorf("%d requests in hand, want 2", n)
	}
	answerAll()
	for _, query := range queries {
		client.Expect(standin.RequestID(query))
	}
	standin.WaitFor(t, "all memory to be returned", func() bool { return memoryInHand(s) == 0 })
}

// Once the memory is spent, a client without a request in hand is rejected at once, with the time to come back, and its
// connection goes on.
func TestQueryWithoutMemoryIsRejectedAtOnce(t *testing.T) {
	s, answerAll := newServerWithMemory(t, 2)
	s.dispatcher.Policy().Settings.MaxRetryAfter = int64(time.Second)
	first, second := connectAndQuery(t, s, standin.ReadQuery(20000)), connectAndQuery(t, s, standin.ReadQuery(20000))
	first.Expect("")
	second.Expect("")
	standin.WaitFor(t, "two requests in hand", func() bool { return s.dispatcher.InFlight() == 2 })
	startedAt := time.Now()
	third := connectAndQuery(t, s, standin.ReadQuery(20000))
	third.Expect("")
	third.Expect("53300")
	if took := time.Since(startedAt); third.Detail != "1000" || took > time.Second {
		t.Errorf("rejected after %v with %q, want at once and 1000", took, third.Detail)
	}
	third.SendStatement("")
	third.Expect("empty")
	answerAll()
	standin.WaitFor(t, "all memory to be returned", func() bool { return memoryInHand(s) == 0 })
	query := standin.ReadQuery(20000)
	third.SendStatement(query)
	third.Expect(standin.RequestID(query))
}

// The memory of requests whose client leaves is returned once they have ended, also that of answers that wait in order.
func TestMemoryOfClientsThatLeaveIsReturned(t *testing.T) {
	s, answerAll := newServerWithMemory(t, 64)
	for range 4 {
		client := connectAndQuery(t, s, standin.ReadQuery(20000))
		client.Expect("")
		for range 7 {
			client.SendStatement(standin.ReadQuery(20000))
		}
		client.SendStatement(strings.Replace(standin.ReadQuery(20000), "c=view", "c=none", 1))
		client.Conn.Close()
	}
	standin.WaitFor(t, "no client", func() bool { return s.ClientCount() == 0 })
	answerAll()
	standin.WaitFor(t, "all memory to be returned", func() bool { return memoryInHand(s) == 0 })
	if open := s.ids.openCount(); open != 0 {
		t.Errorf("%d ids are still open", open)
	}
}

// A complete query that waits for an answer is handled when the last answer is written just before the next read, which
// would otherwise last until the message times out.
func TestQueryBehindAnswersIsHandledBeforeRead(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	near, far := tcpPair(t)
	defer far.Close()
	c := newClient(s, near)
	c.waitForAnswer(1) // as left by a query behind a request whose answer has just been written
	done := make(chan error, 1)
	go func() { done <- c.read() }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(readTimeout / 2):
		t.Error("the query waits for further input")
	}
}

// A query that is processed after an attempt has noticed that its client is gone leaves no id open and no memory taken.
func TestQueryOfClientThatIsGone(t *testing.T) {
	s, answerAll := newServerWithMemory(t, 4)
	defer answerAll()
	near, far := tcpPair(t)
	defer far.Close()
	c := newClient(s, near)
	c.markGone()
	if err := c.handleQuery(append([]byte(standin.ReadQuery(20000)), 0), nil); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "the request to end", func() bool { return s.dispatcher.InFlight() == 0 && memoryInHand(s) == 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	if open := s.ids.openCount(); open != 0 {
		t.Errorf("%d ids are still open", open)
	}
}

// The time that a query spends waiting for earlier ones of its connection is not taken from its own.
func TestClockOfQueryBehindFullPipeline(t *testing.T) {
	node := standin.NewNode(t, "source")
	first, answerFirst := standin.ReadQuery(20000), make(chan struct{})
	node.Handler = func(b *pgproto3.Backend, _ net.Conn, query string) {
		if strings.Contains(query, standin.RequestID(first)) {
			<-answerFirst
		}
		node.SendValue(b, standin.RequestID(query))
	}
	s := newTestServer(t, node.Listener.Addr().String())
	go s.Serve()
	defer s.listener.Close()
	client := connectAndQuery(t, s, first)
	client.Expect("")
	for range maxPipelined - 1 {
		client.SendStatement(standin.ReadQuery(20000))
	}
	last := standin.ReadQuery(300)
	client.SendStatement(last)
	standin.WaitFor(t, "all but the first to be answered", func() bool { return s.dispatcher.InFlight() == 1 })
	time.Sleep(600 * time.Millisecond)
	close(answerFirst)
	client.Expect(standin.RequestID(first))
	for range maxPipelined - 1 {
		client.Answer()
	}
	client.Expect(standin.RequestID(last))
}
