package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/dispatch"
	"sedgestream/internal/ring"
	"sedgestream/internal/settings"
	"sedgestream/internal/standin"
)

// If a request ends just before the next read, the query that waits behind it is handled first: the read may last until the client
// sends its next query.
func TestAnsweredBeforeRead(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	d := dispatch.New(&settings.Settings{}, 1, nil, zap.NewNop())
	c := newClient(&Server{dispatcher: d}, near)
	go io.WriteString(far, "a query behind a long one")
	if err := c.read(); err != nil || c.in.Len() == 0 {
		t.Fatal(err)
	}
	c.waitForAnswer(1) // as left by a long query whose request has just been answered
	if err := c.read(); err != nil {
		t.Fatal(err)
	}
	if c.idleSince.Load() != 0 {
		t.Error("idle while a query is in the buffer")
	}
}

// A long query is not copied: its memory is counted once, from its last byte until no attempt is in flight, and then returned though
// the client sends nothing more.
func TestLongQueryHoldsItsMemory(t *testing.T) {
	const objectBytes = 60_000
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("client leaves %v", leaves), func(t *testing.T) {
			s, answerAll := newServerWithMemory(t, 4)
			query := strings.Replace(standin.ReadQuery(20000), "oid = '", "oid = '"+strings.Repeat("a", objectBytes), 1)
			client := connectAndQuery(t, s, query)
			client.Expect("")
			standin.WaitFor(t, "the request", func() bool { return s.dispatcher.InFlight() == 1 })
			if used := usedBudget(s); used < objectBytes || used > objectBytes+ring.InitialSize {
				t.Errorf("%d bytes are counted for a query of %d", used, len(query))
			}
			if leaves {
				client.Conn.Close()
				time.Sleep(50 * time.Millisecond)
				if used := usedBudget(s); used < objectBytes {
					t.Errorf("%d bytes are counted while its attempt is in flight", used)
				}
			}
			answerAll()
			if !leaves {
				client.Expect(standin.RequestID(query))
			}
			standin.WaitFor(t, "its memory to be returned", func() bool { return usedBudget(s) == 0 })
		})
	}
}

// usedBudget returns the bytes that are taken from the budget of large values.
func usedBudget(s *Server) int {
	for free := testBudget; free >= 0; free-- {
		if s.budget.TryAcquire(free) {
			s.budget.Release(free)
			return testBudget - free
		}
	}
	return testBudget
}

// An answer is written completely even if the budget has no memory beyond the first page.
func TestAnswerWithoutBudget(t *testing.T) {
	for _, size := range []int{1, ring.InitialSize - 3, ring.InitialSize, ring.InitialSize + 1, 5 * ring.InitialSize} {
		near, far := net.Pipe()
		c := newClient(&Server{dispatcher: dispatch.New(&settings.Settings{}, 1, nil, zap.NewNop()),
			budget: ring.NewBudget(0)}, near)
		value, end := bytes.Repeat([]byte("v"), size), []byte("ready")
		go func() {
			c.write(value, end)
			near.Close()
		}()
		if got, _ := io.ReadAll(far); !bytes.Equal(got, append(value, end...)) {
			t.Errorf("of %d and %d bytes %d arrived", size, len(end), len(got))
		}
	}
}

// An interruption of the read that comes late, from the request before, does not end a connection in the
// middle of a message.
func TestLateInterruption(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newClient(&Server{dispatcher: dispatch.New(&settings.Settings{}, 1, nil, zap.NewNop())}, near)
	go far.Write([]byte{'Q', 0, 0})
	if err := c.read(); err != nil || c.in.Len() != 3 {
		t.Fatal(err, c.in.Len())
	}
	got := make(chan error)
	go func() { got <- c.read() }()
	for {
		select {
		case err := <-got:
			if err != nil {
				t.Error(err)
			}
			return
		default:
			near.SetReadDeadline(ring.PastDeadline)
		}
	}
}
