package frontend

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/ring"
	"sedgestream/internal/standin"
)

// stoppedConn is a connection whose goroutine does not run for a while before or after a system call, as after
// a stop of the process that many goroutines wait to recover from.
type stoppedConn struct {
	*net.TCPConn
	beforeWrite, afterWrite, afterRead stopPoint
}

// stopPoint is where a goroutine stops, if it is set.
type stopPoint struct {
	enabled atomic.Bool
	reached chan struct{}
	release chan struct{}
}

func newStopPoint() stopPoint {
	return stopPoint{reached: make(chan struct{}), release: make(chan struct{})}
}

// pass stops the calling goroutine until release is closed, once.
func (p *stopPoint) pass() {
	if p.enabled.Swap(false) {
		close(p.reached)
		<-p.release
	}
}

func (s *stoppedConn) Write(p []byte) (int, error) {
	s.beforeWrite.pass()
	n, err := s.TCPConn.Write(p)
	s.afterWrite.pass()
	return n, err
}

func (s *stoppedConn) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	if n > 0 {
		s.afterRead.pass()
	}
	return n, err
}

// serveStopped serves a connection that can be stopped, whose node answers the first query only. Requests for
// others end when the test does.
func serveStopped(t *testing.T, first string) (*Server, *stoppedConn, *standin.Client) {
	node := standin.NewNode(t, "copy")
	s := newTestServer(t, node.Listener.Addr().String())
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	node.Handler = func(b *pgproto3.Backend, _ net.Conn, query string) {
		if first == "" || !strings.Contains(query, standin.RequestID(first)) {
			<-end
		}
		node.SendValue(b, standin.RequestID(query))
	}
	near, far := tcpPair(t)
	stopped := &stoppedConn{TCPConn: near, beforeWrite: newStopPoint(), afterWrite: newStopPoint(), afterRead: newStopPoint()}
	q := serveConnection(t, s, stopped, far)
	awaitReading(t, s, q)
	return s, stopped, q
}

// awaitReading waits until the goroutine of a connection has processed all input and reads again.
func awaitReading(t *testing.T, s *Server, q *standin.Client) {
	c := s.keys.find(keyOf(q))
	standin.WaitFor(t, "the connection to read", func() bool { return !c.processing.Load() })
}

// cancelWhileStopped processes a cancel request while a goroutine of its client's connection is stopped, and
// lets that goroutine continue a moment later.
func cancelWhileStopped(s *Server, q *standin.Client, point *stopPoint) {
	const stopFor = 10 * time.Millisecond
	done := make(chan struct{})
	go func() { s.serveCancel(keyOf(q)); close(done) }()
	time.Sleep(stopFor)
	close(point.release)
	<-done
}

// A client has read an answer, sent its next query and canceled it, while the goroutine that wrote the answer
// has not run since: the cancel request is for the next query.
func TestCancelBehindWrittenAnswer(t *testing.T) {
	views := []string{standin.ReadQuery(20000), standin.ReadQuery(20000)}
	s, stopped, q := serveStopped(t, views[0])
	stopped.afterWrite.enabled.Store(true)
	q.SendStatement(views[0])
	q.Expect(standin.RequestID(views[0]))
	<-stopped.afterWrite.reached
	q.SendStatement(views[1])
	c := s.keys.find(keyOf(q))
	standin.WaitFor(t, "the next query to be in flight", func() bool { return c.inFlight.Load() == 2 })
	cancelWhileStopped(s, q, &stopped.afterWrite)
	q.Expect("57014")
}

// A query has been read from its socket, but its goroutine has not run since, as its cancel request is
// processed: the cancel request is for that query.
func TestCancelBehindRead(t *testing.T) {
	s, stopped, q := serveStopped(t, "")
	stopped.afterRead.enabled.Store(true)
	q.SendStatement(standin.ReadQuery(20000))
	<-stopped.afterRead.reached
	if ring.HasPending(stopped.TCPConn) {
		t.Fatal("the query has not been read")
	}
	cancelWhileStopped(s, q, &stopped.afterRead)
	q.Expect("57014")
}

// Both at once: the goroutine that wrote the answer has not run since, and neither has the one that read the
// next query.
func TestCancelBehindWrittenAnswerAndRead(t *testing.T) {
	views := []string{standin.ReadQuery(20000), standin.ReadQuery(20000)}
	s, stopped, q := serveStopped(t, views[0])
	stopped.afterWrite.enabled.Store(true)
	q.SendStatement(views[0])
	q.Expect(standin.RequestID(views[0]))
	<-stopped.afterWrite.reached
	stopped.afterRead.enabled.Store(true)
	q.SendStatement(views[1])
	<-stopped.afterRead.reached
	time.AfterFunc(5*time.Millisecond, func() { close(stopped.afterWrite.release) })
	cancelWhileStopped(s, q, &stopped.afterRead)
	q.Expect("57014")
}

// Of two pipelined queries the first has its answer, which is not written yet, as the cancel request is
// processed: it affects neither.
func TestCancelBeforeAnswerIsWrittenInPipeline(t *testing.T) {
	views := []string{standin.ReadQuery(20000), standin.ReadQuery(20000)}
	node := standin.NewNode(t, "copy")
	s := newTestServer(t, node.Listener.Addr().String())
	answerSecond := make(chan struct{})
	node.Handler = func(b *pgproto3.Backend, _ net.Conn, query string) {
		if strings.Contains(query, standin.RequestID(views[1])) {
			<-answerSecond
		}
		node.SendValue(b, standin.RequestID(query))
	}
	near, far := tcpPair(t)
	stopped := &stoppedConn{TCPConn: near, beforeWrite: newStopPoint()}
	q := serveConnection(t, s, stopped, far)
	awaitReading(t, s, q)
	c := s.keys.find(keyOf(q))
	node.WithLock(func() { // both are in flight before the first is answered
		q.SendStatement(views[0])
		q.SendStatement(views[1])
		standin.WaitFor(t, "both to be in flight", func() bool { return c.inFlight.Load() == 2 })
		stopped.beforeWrite.enabled.Store(true)
	})
	<-stopped.beforeWrite.reached
	cancelWhileStopped(s, q, &stopped.beforeWrite)
	close(answerSecond)
	q.Expect(standin.RequestID(views[0]))
	q.Expect(standin.RequestID(views[1]))
}

// A cancel request that comes when its client waits for nothing ends soon, and its connection goes on.
func TestCancelOfIdleClient(t *testing.T) {
	first := standin.ReadQuery(20000)
	s, _, q := serveStopped(t, first)
	startedAt := time.Now()
	s.serveCancel(keyOf(q))
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("a cancel request took %v", took)
	}
	q.SendStatement(first)
	q.Expect(standin.RequestID(first))
}

// A cancel request for a connection that is ending holds nothing up: no goroutine will process its input.
func TestCancelOfEndingConnection(t *testing.T) {
	const atOnce = stallBacklogTimeout / 5
	s, _, q := serveStopped(t, standin.ReadQuery(20000))
	c := s.keys.find(keyOf(q))
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	startedAt := time.Now()
	s.serveCancel(keyOf(q))
	if took := time.Since(startedAt); took > atOnce {
		t.Errorf("a cancel request took %v, want at most %v", took, atOnce)
	}
}

// An empty query is answered, but the goroutine that answered it has not run since, as a cancel request is processed: the
// cancel request is for nothing, and the query that the client sends behind it is answered.
func TestCancelBehindAnswerToEmptyQuery(t *testing.T) {
	for _, name := range []string{"before the goroutine runs", "after it has run"} {
		t.Run(name, func(t *testing.T) {
			first := standin.ReadQuery(20000)
			s, stopped, q := serveStopped(t, first)
			stopped.afterWrite.enabled.Store(true)
			q.SendStatement("")
			q.Expect("empty")
			<-stopped.afterWrite.reached
			s.serveCancel(keyOf(q))
			if name == "before the goroutine runs" {
				q.SendStatement(first)
				standin.WaitFor(t, "the query to arrive", func() bool { return ring.HasPending(stopped.TCPConn) })
			}
			close(stopped.afterWrite.release)
			if name != "before the goroutine runs" {
				awaitReading(t, s, q)
				q.SendStatement(first)
			}
			q.Expect(standin.RequestID(first))
		})
	}
}
