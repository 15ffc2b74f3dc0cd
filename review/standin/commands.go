package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["commands"] = manyCommands }

// manyCommands: a few bad clients send hundreds of commands at once, each naming a class that does not exist, read all that
// they are sent, and do the same again over a new connection.
func manyCommands(w *world) (broken bool, err error) {
	const (
		usual, bad = 8, 16
		commands   = 300
		before     = 2 * time.Second
		length     = 10 * time.Second
	)
	if err = w.open(5, 40*time.Millisecond, limits{1, 192, 1024}); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	start, t := time.Now(), &tally{}
	until := start.Add(before + length)
	for i := range usual {
		wg.Go(func() {
			w.usualClient(t, i, until, 50*time.Millisecond, func(id string, n int) (string, int) {
				d := 500 + 100*((i+n)%6) // of the 1 s of route-view
				return read(id, d), d
			})
		})
	}
	if w.trouble {
		time.Sleep(before)
		var text []byte
		for i := range commands {
			text = append(text, query(fmt.Sprintf("SELECT body FROM objects WHERE oid = 'x' /* id=b%x,c=no-such-class,d=500,cluster=2 */", i))...)
		}
		for i := range bad {
			wg.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					w.record.add("bad client %d, connection %d: %d commands at once", i, n, commands)
					answers, err := sendAll(w.router.address, text, commands)
					w.record.add("bad client %d, connection %d: %d answers, %v", i, n, answers, err)
				}
			})
		}
	}
	wg.Wait()
	w.sum(t)
	return t.lost > 0, nil
}

// sendAll sends commands at once and reads their answers.
func sendAll(address string, text []byte, commands int) (answers int, err error) {
	c, err := connect(address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err = c.Write(text); err != nil {
		return 0, err
	}
	for _, _, err = c.awaitReady(); err == nil && answers < commands; answers++ {
		_, _, err = c.awaitReady()
	}
	return answers, err
}
