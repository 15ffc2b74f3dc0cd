package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = drainUnheard }

// drainUnheard: lists are pushed; the watch is reset, and from then on discovery takes 1.2 s for each answer. The router gives up
// every call after 1 s and never hears that a node drains.
func drainUnheard(s *scene) int {
	const work = 40 * time.Millisecond
	var drainSince atomic.Pointer[time.Time]
	var late, served, other atomic.Int64
	const limit = 6*time.Second + 500*time.Millisecond + 50*time.Millisecond // told at the latest, grace, slack
	var all []*node
	for i := range 5 {
		role, one := "copy", 0
		if i == 0 {
			role, one = "source", 1
		}
		n := s.newNode(fmt.Sprintf("s-%d", i), 1, func(c *nodeConn, q query) {
			a := answer{value: "v", role: role, tag: "SELECT 1"}
			if since := drainSince.Load(); i == 1 && since != nil {
				after := q.arrived.Sub(*since)
				if after > limit {
					late.Add(1)
					s.note("LATE: id=%s came to the draining node %.2f s after discovery had its state", q.id, after.Seconds())
				}
				if after > 500*time.Millisecond {
					a.code = "53300"
				}
			}
			switch {
			case q.write && i > 0:
				a.code = "25006"
			case q.write:
				a.tag, a.asOf = "INSERT 0 1", time.Now().UnixMilli()+1
			}
			if a.code == "" {
				time.Sleep(work)
			}
			c.Write(a.bytes())
		})
		n.report = func() string {
			return fmt.Sprintf("x0=%.3f,x1=%d,load_share=0.3", float64(time.Now().UnixMilli())/1000, one)
		}
		all = append(all, n)
	}
	d := s.newDiscovery(all...)
	d.log = s.note
	r := s.startRouter("n0", d, kyushu)
	stop := time.Now().Add(35 * time.Second)
	var running sync.WaitGroup
	s.eachSecond(func() string {
		return fmt.Sprintf("so far: %d requests served, %d not; %d came to the draining node too late", served.Load(), other.Load(), late.Load())
	})
	for i := range 8 {
		running.Add(1)
		background.Go(func() {
			defer running.Done()
			k, err := dialClient(r.address)
			for ; time.Now().Before(stop); time.Sleep(time.Millisecond + rand.N(10*time.Millisecond)) {
				if err != nil {
					k, err = dialClient(r.address)
					continue
				}
				id := newID()
				text := readStatement(fmt.Sprintf("%016x", rand.Uint64()), id, "route-view", 1000, 1, "")
				if i == 0 {
					text = writeStatement(fmt.Sprintf("%016x", rand.Uint64()), "01", id, "submit-reading", 2000, 1, ",k="+id)
				}
				var got reply
				if err = k.send(text); err == nil {
					got, err = k.receive(4 * time.Second)
				}
				if err == nil && got.served {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	d.mu.Lock()
	if s.trouble {
		d.delay = 1200 * time.Millisecond
	}
	d.resetWatches()
	d.mu.Unlock()
	s.note("all watches are reset; discovery takes %v for an answer from now on", d.delay)
	time.Sleep(4 * time.Second)
	d.set("s-1", map[string]any{"state": "draining"})
	now := time.Now()
	drainSince.Store(&now)
	s.note("node 1 drains, and discovery has it")
	running.Wait()
	s.note("%d requests came to the draining node later than %v; clients: %d served, %d not", late.Load(), limit, served.Load(), other.Load())
	switch {
	case late.Load() > 0:
		return broken
	case served.Load() < 500:
		return cannotRun
	}
	return held
}
