package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = foreignAnswer }

// waits reports whether bytes wait on a connection of a node.
func (c *nodeConn) waits() bool { return c.in.Buffered() > 0 || c.Conn.(*farConn).waits() }

// foreignAnswer: a node sends the answer to a request twice, the second time right behind the first; the second one is taken
// for the answer to the next request on that connection.
func foreignAnswer(s *scene) int {
	const copyShare = 0.02
	var answers, copies atomic.Int64
	var all []*node
	valueOf := func(q query) string { return "of " + q.key }
	for i := range 3 {
		role, one := "copy", 0
		if i == 0 {
			role, one = "source", 1
		}
		n := s.newNode(fmt.Sprintf("s-%d", i), 1, func(c *nodeConn, q query) {
			if q.write && i > 0 {
				c.Write(answer{code: "25006", role: role}.bytes())
				return
			}
			time.Sleep(45*time.Millisecond + rand.N(10*time.Millisecond))
			a := answer{value: valueOf(q), role: role, tag: "SELECT 1", asOf: time.Now().UnixMilli()}
			if q.write {
				a.tag, a.asOf = "INSERT 0 1", time.Now().UnixMilli()+1
			}
			b := a.bytes()
			c.Write(b)
			answers.Add(1)
			if s.trouble && rand.Float64() < copyShare && !c.waits() {
				copies.Add(1)
				c.Write(b)
				s.note("node %d sent the answer to id=%s (%s) twice on its connection %d", i, q.id, q.key, c.number)
			}
		})
		n.report = func() string {
			return fmt.Sprintf("x0=%.3f,x1=%d,load_share=0.3", float64(time.Now().UnixMilli())/1000, one)
		}
		// The network between two sites: 2 ms each way, a fifth more or less.
		n.network = func(c net.Conn) net.Conn { return newFarConn(c, between(1600*time.Microsecond, 2400*time.Microsecond)) }
		all = append(all, n)
	}
	d := s.newDiscovery(all...)
	r := s.startRouter("n0", d, tender)
	stop := time.Now().Add(70 * time.Second)
	var running sync.WaitGroup
	var served, foreign, other, lost atomic.Int64
	s.eachSecond(func() string {
		return fmt.Sprintf("so far: nodes ran and answered %d; clients: %d served, %d refused or failed, %d without an answer, %d served with another value",
			answers.Load(), served.Load(), other.Load(), lost.Load(), foreign.Load())
	})
	for i := range 40 {
		running.Add(1)
		background.Go(func() {
			defer running.Done()
			for time.Now().Before(stop) {
				k, err := dialClient(r.address)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				for time.Now().Before(stop) {
					time.Sleep(460*time.Microsecond + rand.N(1400*time.Microsecond)) // the way to the client and back
					key, id := fmt.Sprintf("%016x", rand.Uint64()), newID()
					text := readStatement(key, id, "notice-browse", 1000, 1, "")
					if i < 10 {
						text = writeStatement(key, "01", id, "bid-submit", 5000, 1, ",k="+id)
					}
					if k.send(text) != nil {
						break
					}
					got, err := k.receive(4 * time.Second)
					if err != nil {
						lost.Add(1)
						break
					}
					switch {
					case !got.served:
						other.Add(1)
						time.Sleep(20 * time.Millisecond)
					case got.value == "of "+key:
						served.Add(1)
					default:
						foreign.Add(1)
						s.note("FOREIGN: id=%s asked for %s and was served with %q", id, key, got.value)
					}
				}
				k.Close()
			}
		})
	}
	running.Wait()
	s.note("%d answers of nodes, %d of them sent twice; clients: %d served, %d refused or failed, %d without an answer, %d served with the value of another request",
		answers.Load(), copies.Load(), served.Load(), other.Load(), lost.Load(), foreign.Load())
	switch {
	case foreign.Load() > 0:
		return broken
	case served.Load() < 1000:
		return cannotRun
	}
	return held
}
