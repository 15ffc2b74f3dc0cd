package frontend

import (
	"net"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// timeCatchUp returns how long an attempt waits for the backlog.
func timeCatchUp(s *Server, stalled bool) time.Duration {
	startedAt := time.Now()
	s.catchUp(stalled, time.Now().Add(time.Minute))
	return time.Since(startedAt)
}

// An attempt waits for connections in the listener's queue, but not beyond the timeout if nobody accepts
// them, and not at all if there is no room for them.
func TestBacklogOfTheListener(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	if waited := timeCatchUp(s, true); waited > backlogTimeout {
		t.Errorf("an attempt waited %v without a backlog", waited)
	}
	sock, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Close()
	standin.WaitFor(t, "a connection in the queue", func() bool { return s.hasBacklog(s.lastArrived(), false) })
	if waited := timeCatchUp(s, true); waited < stallBacklogTimeout {
		t.Errorf("an attempt waited only %v for a connection that nobody accepts", waited)
	}
	s.backlog.blocked.Store(true)
	if waited := timeCatchUp(s, true); waited > backlogTimeout {
		t.Errorf("an attempt waited %v for a connection for which there is no room", waited)
	}
}

// Clients that send nothing, or stop in the middle of their first message, do not delay attempts once their
// sockets have been examined.
func TestBacklogOfSilentClients(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	go s.Serve()
	defer s.listener.Close()
	for _, first := range []string{"", "\x00\x00\x00"} {
		sock, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer sock.Close()
		sock.Write([]byte(first))
	}
	standin.WaitFor(t, "both to be examined", func() bool { return s.ClientCount() == 2 && !s.hasBacklog(s.lastArrived(), true) })
	if waited := timeCatchUp(s, true); waited > backlogTimeout {
		t.Errorf("an attempt waited %v for clients that had been examined", waited)
	}
}

// An attempt waits for an accepted connection that its goroutine has not examined yet.
func TestBacklogOfUnexaminedConnection(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	near, _ := tcpPair(t)
	c := newClient(s, near)
	s.backlog.add(c)
	if !s.hasBacklog(s.lastArrived(), false) {
		t.Error("no attempt waits for a connection that has not been examined")
	}
	go c.serve()
	standin.WaitFor(t, "it to be examined", func() bool { return !s.hasBacklog(s.lastArrived(), true) })
}

// addUnexamined adds a connection to the backlog that its goroutine has not examined.
func addUnexamined(t *testing.T, s *Server) *client {
	near, _ := tcpPair(t)
	c := newClient(s, near)
	s.backlog.add(c)
	return c
}

// newWaitingAnswer returns the pending answer of a request whose client is connected.
func newWaitingAnswer(t *testing.T, s *Server) *pendingAnswer {
	near, _ := tcpPair(t)
	return &pendingAnswer{client: newClient(s, near)}
}

// Connections that are accepted while an attempt waits don't prolong its wait. Requests were never sent, and got no
// answer, while a few clients connected anew again and again (review case 1).
func TestBacklogThatNeverEnds(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	first := addUnexamined(t, s)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for previous := first; ; time.Sleep(backlogPollInterval) {
			next := addUnexamined(t, s)
			s.backlog.remove(previous)
			previous = next
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	startedAt := time.Now()
	wanted, _ := newWaitingAnswer(t, s).isWanted(startedAt.Add(time.Second))
	if took := time.Since(startedAt); !wanted || took > 2*backlogTimeout {
		t.Errorf("wanted: %v after %v, want it within %v", wanted, took, 2*backlogTimeout)
	}
}

// A connection that is never examined holds up an attempt for a few waits only, and not beyond the attempt's deadline.
func TestBacklogThatIsNotExamined(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	addUnexamined(t, s)
	for _, test := range []struct {
		timeout, atMost time.Duration
		wanted          bool
	}{
		{10 * time.Second, 2 * maxBacklogWaits * backlogTimeout, true},
		{backlogTimeout, 2 * backlogTimeout, false},
		{-time.Second, backlogTimeout, false},
	} {
		startedAt := time.Now()
		wanted, _ := newWaitingAnswer(t, s).isWanted(startedAt.Add(test.timeout))
		if took := time.Since(startedAt); wanted != test.wanted || took > test.atMost {
			t.Errorf("with %v left: wanted %v after %v, want %v within %v", test.timeout, wanted, took, test.wanted, test.atMost)
		}
	}
}

// Attempts that wait at the same time share a wait that ends by its time-out.
func TestBacklogWaitsAreShared(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	addUnexamined(t, s)
	startedAt, done := time.Now(), make(chan bool)
	const attempts = 50
	for range attempts {
		answer := newWaitingAnswer(t, s)
		go func() {
			wanted, _ := answer.isWanted(startedAt.Add(10 * time.Second))
			done <- wanted
		}()
	}
	for range attempts {
		if !<-done {
			t.Error("an attempt is not wanted")
		}
	}
	if took, alone := time.Since(startedAt), attempts*maxBacklogWaits*backlogTimeout; took > alone/3 {
		t.Errorf("%d attempts took %v, want well under the %v that they would take one after the other", attempts, took, alone)
	}
}
