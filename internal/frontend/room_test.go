package frontend

import (
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// openHalfMessages opens connections, each of which has sent a query and then the beginning of another one.
func openHalfMessages(t *testing.T, s *Server, count int) (clients []*standin.Client) {
	for range count {
		client := connectAndQuery(t, s, "")
		client.Expect("")
		client.Expect("empty")
		client.Conn.Write(queryBytes(standin.ReadQuery(20000))[:50])
		clients = append(clients, client)
	}
	standin.WaitFor(t, "all of them to be stalled", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		stalled := 0
		for c := range s.clients {
			if c.stalledSince.Load() > 0 {
				stalled++
			}
		}
		return stalled == count
	})
	return clients
}

// Where connections in the middle of a message hold all places, the one that has been stalled longest makes room for a
// client with a whole query. Such a query was not read for up to 2.7 s.
func TestStalledConnectionMakesRoom(t *testing.T) {
	s := newServerWithBudget(t, 1<<20)
	s.mu.Lock()
	s.maxClients, s.maxReserved = 3, 1
	s.mu.Unlock()
	halves := openHalfMessages(t, s, 4)
	startedAt := time.Now()
	query := standin.ReadQuery(20000)
	client := connectAndQuery(t, s, query)
	client.Expect("")
	client.Expect(standin.RequestID(query))
	if took := time.Since(startedAt); took > readTimeout/2 {
		t.Errorf("served after %v", took)
	}
	halves[0].Expect("53300" + "unexpected EOF")
}

// Without need for room, a connection in the middle of a message is kept, and its message is served once it is whole.
func TestStalledConnectionIsKeptWhileThereIsRoom(t *testing.T) {
	s := newServerWithBudget(t, 1<<20)
	client := connectAndQuery(t, s, "")
	client.Expect("")
	client.Expect("empty")
	query := standin.ReadQuery(20000)
	message := queryBytes(query)
	client.Conn.Write(message[:50])
	time.Sleep(2 * stalledAfter)
	connectAndQuery(t, s, "").Expect("")
	client.Conn.Write(message[50:])
	client.Expect(standin.RequestID(query))
}

// A connection that is evicted as the rest of its message comes goes on.
func TestRestOfMessageComesAsRoomIsNeeded(t *testing.T) {
	s := newServerWithBudget(t, 1<<20)
	client := connectAndQuery(t, s, "")
	client.Expect("")
	client.Expect("empty")
	query := standin.ReadQuery(20000)
	message := queryBytes(query)
	client.Conn.Write(message[:50])
	time.Sleep(2 * stalledAfter)
	s.mu.Lock()
	client.Conn.Write(message[50:])
	ending := s.evictStalledLocked(false)
	s.mu.Unlock()
	client.Expect(standin.RequestID(query))
	t.Logf("evicted before its message was read: %v", ending)
}

// A query on a reserved connection waits for a regular one for a part of its time only, though connections are ending.
func TestWaitForRegularSlotIsBounded(t *testing.T) {
	s := newTestServer(t, "127.0.0.1:1")
	s.maxClients = 1
	for range 2 {
		near, _ := tcpPair(t)
		c := newClient(s, near)
		c.idleSince.Store(idleClosing) // it is ending, and takes long
		s.clients[c] = struct{}{}
	}
	startedAt := time.Now()
	if s.awaitRegularSlot(100 * time.Millisecond) {
		t.Error("there is room while no connection has ended")
	}
	if took := time.Since(startedAt); took < 100*time.Millisecond || took > time.Second {
		t.Errorf("waited %v, want 100ms", took)
	}
}
