package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["pipelines"] = pipelines }

// pipelines: a third of the descriptors are clients that send 300 writes of 900 bytes at once. Without the disruption each of them
// sends its next write when it has the answer to the one before.
func pipelines(w *world) (broken bool, err error) {
	const (
		clients = 340
		writes  = 300
		value   = 900 // bytes
		length  = 15 * time.Second
	)
	l := limits{1, 64, 1024}
	if err = w.open(5, 40*time.Millisecond, l); err != nil {
		return false, err
	}
	now, _ := w.router.memory()
	w.record.say("the router has %.1f MB before the clients come", float64(now)/1e6)
	until := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				w.writeMany(fmt.Sprintf("c%x-%x", i, n), writes, value, until)
			}
		})
	}
	limit := int64(l.Memory) << 20 // the larger meaning of MB
	highest, killed := int64(0), false
	for time.Now().Before(until) {
		now, highest = w.router.memory()
		w.record.add("the router has %.1f MB", float64(now)/1e6)
		if now > limit && !killed {
			killed = true
			w.record.say("the router has %.1f MB: the platform would kill it now", float64(now)/1e6)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	if highest == 0 {
		return false, fmt.Errorf("the router's memory can't be read")
	}
	w.record.say("the router had %.1f MB at most; its limit is %.1f", float64(highest)/1e6, float64(limit)/1e6)
	return highest > limit, nil
}

// writeMany sends writes over one connection, at once or one after the other, and reads the answers.
func (w *world) writeMany(id string, writes, value int, until time.Time) {
	c, err := connect(w.router.address)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer c.Close()
	c.SetDeadline(until)
	if _, _, err = c.awaitReady(); err != nil {
		return
	}
	var all [][]byte
	for i := range writes {
		all = append(all, query(write(fmt.Sprintf("%s-%x", id, i), 2000, value)))
	}
	if w.trouble {
		w.record.add("client %s sends %d writes at once", id, writes)
		background.Go(func() {
			for _, one := range all {
				if _, err := c.Write(one); err != nil {
					return
				}
			}
		})
	}
	counts := map[string]int{}
	for i := 0; i < writes && err == nil; i++ {
		if !w.trouble {
			c.Write(all[i])
		}
		var value, code string
		if value, code, err = c.awaitReady(); value != "" {
			code = "served"
		}
		counts[code]++
	}
	w.record.add("client %s: %v %v", id, counts, err)
}
