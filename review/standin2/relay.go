package main

import (
	"math/rand/v2"
	"net"
	"time"
)

// relay stands for the network between the router and a node: what comes is passed on after a delay, in order and in the
// pieces in which it came. It returns the address at which the router reaches the node.
func (s *scene) relay(target string, delay func() time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("%v", err)
	}
	s.onEnd(func() { l.Close() })
	background.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			background.Go(func() {
				far, err := net.Dial("tcp", target)
				if err != nil {
					near.Close()
					return
				}
				background.Go(func() { pass(near, far, delay) })
				pass(far, near, delay)
			})
		}
	})
	return l.Addr().String()
}

type piece struct {
	bytes []byte
	at    time.Time
}

func pass(from, to net.Conn, delay func() time.Duration) {
	pieces := make(chan piece, 1000)
	background.Go(func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.at))
			if p.bytes == nil {
				return
			}
			if _, err := to.Write(p.bytes); err != nil {
				from.Close()
				for range pieces {
				}
				return
			}
		}
	})
	defer close(pieces)
	last := time.Time{}
	for {
		b := make([]byte, 32<<10)
		n, err := from.Read(b)
		at := time.Now().Add(delay())
		if at.Before(last) {
			at = last
		}
		last = at
		if err != nil {
			pieces <- piece{nil, at}
			return
		}
		pieces <- piece{b[:n], at}
	}
}

// between returns a function that draws a time from a range.
func between(low, high time.Duration) func() time.Duration {
	return func() time.Duration { return low + rand.N(high-low+1) }
}
