package main

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

// farConn is a node's end of a connection over a network: each piece that is written, and each that comes, takes a time of its
// own, in order.
type farConn struct {
	net.Conn
	delay  func() time.Duration
	come   chan []byte // has come over the network
	rest   []byte
	toSend chan piece
}

type piece struct {
	bytes []byte
	at    time.Time
}

func newFarConn(c net.Conn, delay func() time.Duration) *farConn {
	f := &farConn{Conn: c, delay: delay, come: make(chan []byte, 1000), toSend: make(chan piece, 1000)}
	onWay := make(chan piece, 1000)
	background.Go(func() { // reads what the router sends
		defer close(onWay)
		last := time.Time{}
		for {
			b := make([]byte, 32<<10)
			n, err := c.Read(b)
			if err != nil {
				return
			}
			last = later(last, time.Now().Add(delay()))
			onWay <- piece{b[:n], last}
		}
	})
	background.Go(func() {
		defer close(f.come)
		for p := range onWay {
			time.Sleep(time.Until(p.at))
			f.come <- p.bytes
		}
	})
	background.Go(func() {
		last := time.Time{}
		for p := range f.toSend {
			last = later(last, p.at)
			time.Sleep(time.Until(last))
			c.Write(p.bytes)
		}
	})
	return f
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *farConn) Read(b []byte) (int, error) {
	for len(f.rest) == 0 {
		next, ok := <-f.come
		if !ok {
			return 0, io.EOF
		}
		f.rest = next
	}
	n := copy(b, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// Write sends a piece, as one segment of its own.
func (f *farConn) Write(b []byte) (int, error) {
	f.toSend <- piece{append([]byte(nil), b...), time.Now().Add(f.delay())}
	return len(b), nil
}

// waits reports whether something that has come waits to be read.
func (f *farConn) waits() bool { return len(f.rest) > 0 || len(f.come) > 0 }

// between returns a function that draws a time from a range.
func between(low, high time.Duration) func() time.Duration {
	return func() time.Duration { return low + rand.N(high-low+1) }
}
