package main

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// lostAfter is how long after its client's time a request without an answer is lost: half a second by the standing test,
// and the 50 ms by which all limits on sockets are longer.
const lostAfter = 550 * time.Millisecond

// usualClients send one request after the other while other clients misbehave, and count what becomes of them.
type usualClients struct {
	t       *testing.T
	router  *standin.Harness
	clients sync.WaitGroup
	stop    chan struct{}
	anew    bool // each request is sent over a new connection, directly behind the startup message

	sent, served, lost atomic.Int64
	latest             atomic.Int64 // ns that an answer took beyond its client's time, at most
}

// startUsualClients starts so many clients. The query of each request is that of next, with the milliseconds for which
// its client waits.
func startUsualClients(t *testing.T, router *standin.Harness, count int, next func(n, timeoutMs int) (query string)) *usualClients {
	u := &usualClients{t: t, router: router, stop: make(chan struct{})}
	u.start(count, next)
	return u
}

// startConnectingClients is startUsualClients for clients that send each request over a new connection.
func startConnectingClients(t *testing.T, router *standin.Harness, count int, next func(n, timeoutMs int) (query string)) *usualClients {
	u := &usualClients{t: t, router: router, stop: make(chan struct{}), anew: true}
	u.start(count, next)
	return u
}

func (u *usualClients) start(count int, next func(n, timeoutMs int) (query string)) {
	for i := range count {
		u.clients.Go(func() {
			for n := i; u.sendRequests(&n, next); {
			}
		})
	}
}

// sendRequests sends requests over one connection until the router closes it, and reports whether to go on with another.
func (u *usualClients) sendRequests(n *int, next func(n, timeoutMs int) string) (goOn bool) {
	sock, err := net.Dial("tcp", u.router.Address)
	if err != nil {
		u.t.Error(err)
		return false
	}
	defer sock.Close()
	sock.SetDeadline(time.Now().Add(standin.WaitTimeout))
	client := standin.NewClient(u.t, sock)
	if !u.anew && !client.Startup() {
		return true
	}
	for goOn = true; goOn; *n++ {
		select {
		case <-u.stop:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		timeoutMs := 400 + 100*(*n%6)
		query := next(*n, timeoutMs)
		sentAt := time.Now()
		answer, err := u.query(client, query)
		u.count(answer, time.Since(sentAt)-time.Duration(timeoutMs)*time.Millisecond)
		if err != nil || u.anew {
			*n++
			return true
		}
	}
	return false
}

// query sends a query and returns its answer.
func (u *usualClients) query(client *standin.Client, query string) (answer string, err error) {
	if !u.anew {
		return client.Query(query)
	}
	client.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker", "database": "catalog"}})
	client.Send(&pgproto3.Query{String: query})
	if err = client.Flush(); err != nil {
		return "", err
	}
	if _, err = client.ReadAnswer(); err != nil { // that of the startup
		return "", err
	}
	return client.ReadAnswer()
}

// count counts a request by its answer, which came so long after its client's time.
func (u *usualClients) count(answer string, late time.Duration) {
	u.sent.Add(1)
	if len(answer) != len("53300") {
		u.served.Add(1)
	}
	if late > lostAfter {
		u.lost.Add(1)
	}
	for latest := u.latest.Load(); int64(late) > latest && !u.latest.CompareAndSwap(latest, int64(late)); latest = u.latest.Load() {
	}
}

// stopAndCheck ends the clients, and fails the test unless no request is lost and at least a share of them was served.
func (u *usualClients) stopAndCheck(minServedShare float64) {
	u.t.Helper()
	close(u.stop)
	u.clients.Wait()
	sent, served, lost := u.sent.Load(), u.served.Load(), u.lost.Load()
	u.t.Logf("%d requests, %d served, the latest answer %v after its client's time", sent, served, time.Duration(u.latest.Load()))
	if lost > 0 {
		u.t.Errorf("%d of %d requests had no answer %v after their clients' time, the latest %v after it", lost, sent, lostAfter,
			time.Duration(u.latest.Load()))
	}
	if float64(served) < minServedShare*float64(sent) {
		u.t.Errorf("%d of %d requests were served, want a share of %v", served, sent, minServedShare)
	}
}

// repeatFor starts so many goroutines that repeat a client's behavior for some time, and waits for them.
func repeatFor(length time.Duration, count int, behave func(client, n int)) {
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for i := range count {
		all.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				behave(i, n)
			}
		})
	}
	all.Wait()
}

// sendAndRead sends messages over a new connection and reads so many answers, or what comes until the router closes it.
func sendAndRead(t *testing.T, router *standin.Harness, messages []byte, answers int) {
	sock, err := net.Dial("tcp", router.Address)
	if err != nil {
		t.Error(err)
		return
	}
	defer sock.Close()
	sock.SetDeadline(time.Now().Add(5 * time.Second))
	client := standin.NewClient(t, sock)
	client.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker", "database": "catalog"}})
	if client.Flush() != nil {
		return
	}
	go sock.Write(messages)
	for range 1 + answers { // that of the startup, too
		if _, err := client.ReadAnswer(); err != nil {
			return
		}
	}
}
