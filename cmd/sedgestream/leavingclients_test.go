package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// lateAttemptAfter is how long after its client's close no attempt may begin, with the 50 ms by which all limits on sockets are
// longer.
const lateAttemptAfter = 150 * time.Millisecond

// Clients send many requests at once, read nothing, and close or reset their connection with much of them unread. None of
// these is sent to a node afterwards.
func TestRequestsOfClientsThatCloseWithMuchUnread(t *testing.T) {
	t.Parallel()
	const clients, requests, rounds = 40, 1500, 2
	for _, megabytes := range crowdSizes {
		for _, test := range []struct {
			reset    bool
			nodeTime time.Duration
		}{{false, 10 * time.Millisecond}, {true, 10 * time.Millisecond}, {false, 900 * time.Millisecond}} {
			t.Run(fmt.Sprintf("%d MB, reset %v, nodes take %v", megabytes, test.reset, test.nodeTime), func(t *testing.T) {
				primary, replica := standin.NewPair(t)
				for _, node := range []*standin.Node{primary, replica} {
					node.Handler = func(backend *standin.Backend, _ standin.Conn, _ string) {
						time.Sleep(test.nodeTime)
						node.SendValue(backend, strings.Repeat("v", 8<<10))
					}
				}
				router := newRouter(t, primary, replica)
				router.Limits = fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, megabytes)
				router.Settings = strings.NewReplacer(`"aimUs":80000`, `"aimUs":4000000`, `"peers":true`, `"peers":false`).Replace(standin.DefaultSettings)
				router.Start(builtProgram(t))
				var mu sync.Mutex
				closedAt := map[string]time.Time{} // by request id
				repeatFor(time.Millisecond, clients, func(client, _ int) {
					for range rounds {
						ids := sendAndClose(t, router, requests, test.reset)
						mu.Lock()
						for id, at := range ids {
							closedAt[id] = at
						}
						mu.Unlock()
					}
				})
				time.Sleep(time.Second)
				late, latest, sent := 0, time.Duration(0), 0
				for _, node := range []*standin.Node{primary, replica} {
					for _, attempt := range node.Executions() {
						sent++
						after := attempt.ReceivedAt.Sub(closedAt[attempt.ID])
						if after > lateAttemptAfter {
							late++
							latest = max(latest, after)
						}
					}
				}
				t.Logf("%d attempts, %d begun too late, the latest %v after its client's close; %d kB", sent, late, latest, router.PeakMemoryKB())
				if late > 0 {
					t.Errorf("%d of %d attempts began over %v after their clients' close, the latest %v", late, sent, lateAttemptAfter, latest)
				}
			})
		}
	}
}

// sendAndClose sends requests of 2 kB each, and closes the connection after a while without reading. It returns when that was, by
// request id.
func sendAndClose(t *testing.T, router *standin.Harness, requests int, reset bool) map[string]time.Time {
	ids := map[string]time.Time{}
	sock, err := net.Dial("tcp", router.Address)
	if err != nil {
		t.Error(err)
		return ids
	}
	sock.SetDeadline(time.Now().Add(standin.WaitTimeout))
	messages := startupPacket("")
	for n := range requests {
		query := standin.ReadQuery(9000)
		if n%2 == 0 {
			query = strings.Replace(standin.WriteQuery("order", 9000), `\x9f03`, `\x`+strings.Repeat("9f", 1<<10), 1)
		}
		ids[standin.RequestID(query)] = time.Time{}
		messages = append(messages, queryMessage(query)...)
	}
	leaveAt := time.Now().Add(400 * time.Millisecond)
	sock.SetWriteDeadline(leaveAt)
	sock.Write(messages)
	time.Sleep(time.Until(leaveAt))
	if reset {
		sock.(*net.TCPConn).SetLinger(0)
	}
	closedAt := time.Now()
	sock.Close()
	for id := range ids {
		ids[id] = closedAt
	}
	return ids
}

// A client leaves before its request is answered, and comes again under the same id, at once and after the node has answered:
// what must never run twice does not.
func TestRequestComesAgainAfterItsClientHasLeft(t *testing.T) {
	t.Parallel()
	for _, wait := range []time.Duration{0, 50 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			primary, replica := standin.NewPair(t)
			primary.Handler = func(backend *standin.Backend, _ standin.Conn, _ string) {
				time.Sleep(300 * time.Millisecond)
				primary.SendValue(backend, "v")
			}
			router := newRouter(t, primary, replica)
			// The target is above what two runs take, so that a request beside another one is not rejected as too late.
			router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"aimUs":80000`, `"aimUs":4000000`)
			router.Start(builtProgram(t))
			query := standin.WriteQuery("once", 5000)
			first := router.Open(query)
			standin.WaitFor(t, "the write at its node", func() bool { return len(primary.Statements()) == 1 })
			first.Conn.Close()
			time.Sleep(wait)
			router.Open(query).Expect("22023")
			if runs := len(primary.Statements()); runs != 1 {
				t.Errorf("the write has run %d times", runs)
			}
			router.Open(standin.WriteQuery("once", 5000)).Expect("v")
		})
	}
}
