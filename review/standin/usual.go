package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// read is a bounded read as the protocol page has it.
func read(id string, d int) string {
	return fmt.Sprintf("SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=%s,c=route-view,d=%d,cluster=2 */", id, d)
}

// write is a write with a value of so many bytes.
func write(id string, d, bytes int) string {
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\x%s') RETURNING body /* id=%s,c=submit-reading,d=%d,k=k%s,cluster=2 */`,
		strings.Repeat("9f", bytes), id, d, id)
}

// A request whose answer has not come half a second after its time is lost; every time limit is 50 ms longer.
const (
	lostAfter = 500 * time.Millisecond
	slack     = 50 * time.Millisecond
	patience  = 25 * time.Second // for how long the answer of a lost request is awaited, for the record
)

// tally counts what became of the usual clients' requests.
type tally struct {
	mu                                       sync.Mutex
	sent, served, refused, failed, cut, lost int
	latest                                   time.Duration
}

// usualClient sends a request after the other over one connection, the next one a pause after the answer to the one
// before, as long as the time has not come. A connection that the router closes is replaced.
func (w *world) usualClient(t *tally, name int, until time.Time, pause time.Duration, next func(id string, n int) (text string, d int)) {
	var c *connection
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			if c, err = connect(w.router.address); err == nil {
				_, _, err = c.awaitReady()
			}
			if err != nil {
				w.record.add("client %d: no connection: %v", name, err)
				c = nil
				time.Sleep(pause)
				continue
			}
		}
		id := fmt.Sprintf("%x%06x", name+1, n)
		text, d := next(id, n)
		if _, err := c.Write(query(text)); err != nil {
			w.record.add("client %d: %s not written: %v", name, id, err)
			c.Close()
			c = nil
			continue
		}
		at := time.Now()
		w.record.add("client %d sends %s and waits for %d ms", name, id, d)
		c.SetReadDeadline(at.Add(patience))
		value, code, err := c.awaitReady()
		took := time.Since(at)
		w.count(t, name, id, d, took, value, code, err)
		if err != nil {
			c.Close()
			c = nil
		}
		time.Sleep(pause)
	}
	if c != nil {
		c.Close()
	}
}

func (w *world) count(t *tally, name int, id string, d int, took time.Duration, value, code string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.latest = max(t.latest, took-time.Duration(d)*time.Millisecond)
	what := ""
	switch {
	case code == "53300" || code == "57P03":
		t.refused++
		what = "refused " + code
	case code != "":
		t.failed++
		what = "failed " + code
	case err != nil:
		t.cut++
		what = err.Error()
	default:
		t.served++
		what = "served " + value
	}
	if took > time.Duration(d)*time.Millisecond+lostAfter+slack {
		t.lost++
		w.record.say("LOST: client %d waited for %d ms for %s; after %.3f s: %s", name, d, id, took.Seconds(), what)
		return
	}
	w.record.add("client %d: %s after %.3f s: %s", name, id, took.Seconds(), what)
}

// sum says what became of all requests.
func (w *world) sum(t *tally) {
	w.record.say("%d requests: %d served, %d refused, %d failed, %d connections ended without an answer; %d lost; the latest answer came %.3f s after its client's time",
		t.sent, t.served, t.refused, t.failed, t.cut, t.lost, t.latest.Seconds())
}
