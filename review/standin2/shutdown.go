package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["8"] = lostAtShutdown }

// lostAtShutdown: a refusal that a router has ready after SIGTERM waits behind an answer that is not there when SIGKILL comes.
func lostAtShutdown(s *scene) int {
	const work = 80 * time.Millisecond
	var hangs atomic.Bool
	var all []*node
	over := make(chan struct{})
	s.onEnd(func() { close(over) })
	for i := range 3 {
		role, one := "copy", 0
		if i == 0 {
			role, one = "source", 1
		}
		vitals := func() string {
			return fmt.Sprintf("x0=%.3f,x1=%d,depth=0,load_share=0.2", float64(time.Now().UnixMilli())/1000, one)
		}
		hang := func() {
			if i == 0 && hangs.Load() {
				<-over
			}
		}
		n := s.newNode(fmt.Sprintf("s-%d", i), 1, func(c *nodeConn, q query) {
			s.note("node %d got %s id=%s", i, q.class, q.id)
			hang()
			a := answer{value: "v", role: role, tag: "SELECT 1", asOf: time.Now().UnixMilli(), vital: vitals()}
			if q.write && i > 0 {
				a.code = "25006"
			} else {
				time.Sleep(work)
				hang()
			}
			c.Write(a.bytes())
		})
		n.report = func() string { hang(); return vitals() }
		all = append(all, n)
	}
	d := s.newDiscovery(all...)
	r := s.startRouter("n0", d, suva)
	write := func(id string) string {
		return writeStatement("00000000000000aa", "01", id, "book-write", 5000, 1, ",k="+id)
	}
	read := func(id string) string { return readStatement("00000000000000aa", id, "run-board", 2000, 1, "") }
	type sent struct {
		id       string
		at       time.Time
		answered bool
		failed   error
	}
	var clients []*client
	served := 0
	for range 3 {
		k, err := dialClient(r.address)
		if err != nil {
			s.fail("%v", err)
		}
		clients = append(clients, k)
		for _, text := range []string{write(newID()), read(newID())} {
			k.send(text)
			if got, err := k.receive(6 * time.Second); err == nil && got.served {
				served++
			}
		}
	}
	if served < 4 {
		s.note("only %d requests were served before the trouble", served)
		return cannotRun
	}
	hangs.Store(s.trouble)
	s.note("the primary hangs: %v", s.trouble)
	var mu sync.Mutex
	var requests []*sent
	var closedAt [3]time.Time
	issue := func(k *client, text, id string) *sent {
		q := &sent{id: id}
		mu.Lock()
		requests = append(requests, q)
		mu.Unlock()
		q.failed = k.send(text)
		mu.Lock()
		q.at = time.Now()
		mu.Unlock()
		s.note("client sent id=%s %v", id, q.failed)
		return q
	}
	perClient := make([][]*sent, 3)
	for i, k := range clients {
		id := newID()
		perClient[i] = append(perClient[i], issue(k, write(id), id))
	}
	time.Sleep(100 * time.Millisecond)
	for i, k := range clients {
		background.Go(func() {
			for n := 0; ; n++ {
				got, err := k.receive(time.Minute)
				mu.Lock()
				if err != nil {
					closedAt[i] = time.Now()
					mu.Unlock()
					s.note("client %d: its connection ended: %v", i, err)
					return
				}
				if n < len(perClient[i]) {
					perClient[i][n].answered = true
					s.note("client %d got id=%s: %s%s", i, perClient[i][n].id, got.value, got.code)
				}
				mu.Unlock()
			}
		})
	}
	termAt := time.Now()
	r.cmd.Process.Signal(syscall.SIGTERM)
	s.note("SIGTERM")
	for _, after := range []time.Duration{900, 1400, 1900} {
		time.Sleep(time.Until(termAt.Add(after * time.Millisecond)))
		for i, k := range clients {
			mu.Lock()
			ended := !closedAt[i].IsZero()
			mu.Unlock()
			if ended { // the client sends it elsewhere
				continue
			}
			id := newID()
			q := &sent{id: id}
			mu.Lock()
			perClient[i] = append(perClient[i], q)
			mu.Unlock()
			err := k.send(read(id))
			mu.Lock()
			q.at, q.failed = time.Now(), err
			mu.Unlock()
			s.note("client %d sent id=%s on its open connection: %v", i, id, err)
		}
	}
	// The longest deadline of the settings is over 3 s, so SIGKILL comes 3.7 s after SIGTERM at the earliest; here 50 ms later.
	time.Sleep(time.Until(termAt.Add(3750 * time.Millisecond)))
	exited := false
	select {
	case <-r.exited:
		exited = true
		s.note("the router has exited: %v", r.exitErr)
	default:
	}
	mu.Lock()
	lost := 0
	for i := range perClient {
		for _, q := range perClient[i][1:] {
			if q.failed == nil && !q.answered && closedAt[i].IsZero() && q.at.Sub(termAt) > 750*time.Millisecond {
				lost++
				s.note("LOST: id=%s was sent %.2f s after SIGTERM on an open connection, and has no answer as SIGKILL comes", q.id, q.at.Sub(termAt).Seconds())
			}
		}
	}
	mu.Unlock()
	if !exited {
		r.cmd.Process.Kill()
		s.note("SIGKILL")
	}
	time.Sleep(200 * time.Millisecond)
	if lost > 0 {
		return broken
	}
	return held
}
