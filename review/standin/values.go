package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["values"] = halfValues }

// halfValues: bad clients stop in the middle of a write with a value of 64 KiB and stay, and do the same again once they are
// turned away. The usual clients write values of 16 KiB.
func halfValues(w *world) (broken bool, err error) {
	const (
		usual, bad = 4, 80
		before     = 2 * time.Second
		length     = 10 * time.Second
	)
	if err = w.open(5, 40*time.Millisecond, limits{1, 64, 512}); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	start, t := time.Now(), &tally{}
	until := start.Add(before + length)
	for i := range usual {
		wg.Go(func() {
			w.usualClient(t, i, until, 100*time.Millisecond, func(id string, n int) (string, int) {
				d := 1000 + 200*((i+n)%6) // of the 2 s of submit-reading
				return write(id, d, 16<<10), d
			})
		})
	}
	if w.trouble {
		time.Sleep(before)
		for i := range bad {
			wg.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					w.stopHalfway(i, n)
				}
			})
		}
	}
	wg.Wait()
	w.sum(t)
	return t.lost > 0, nil
}

// stopHalfway sends the beginning of a write and stays until the router turns it away.
func (w *world) stopHalfway(client, n int) {
	c, err := connect(w.router.address)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.Close()
	text := query(write(fmt.Sprintf("b%x%06x", client, n), 2000, 64<<10))
	at := time.Now()
	c.SetDeadline(at.Add(10 * time.Second))
	_, err = c.Write(text[:1024])
	w.record.add("bad client %d sends 1024 of %d bytes and stays", client, len(text))
	code := ""
	for answers := 0; err == nil && code == ""; answers++ {
		_, code, err = c.awaitReady()
	}
	w.record.add("bad client %d is turned away after %.3f s: %s %v", client, time.Since(at).Seconds(), code, err)
}
