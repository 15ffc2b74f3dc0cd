package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// node is a sound node of the protocol page: it takes any user, answers each statement after its work, reports on itself
// when it is probed, and turns writes away if it is no primary.
type node struct {
	id      string
	primary bool
	work    time.Duration
	cores   chan struct{} // taken by requests in work; others wait
	hangs   atomic.Bool   // it takes requests and answers none
	record  *record
	listen  net.Listener

	mu  sync.Mutex
	ran []run
}

// run is an attempt that has arrived with its last byte.
type run struct {
	node, request string
	at            time.Time
}

func startNode(id string, primary bool, work time.Duration, record *record) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{id: id, primary: primary, work: work, record: record, listen: listener, cores: make(chan struct{}, 5)}
	background.Go(func() {
		for {
			sock, err := listener.Accept()
			if err != nil {
				return
			}
			background.Go(func() { n.serve(sock) })
		}
	})
	return n, nil
}

func (n *node) address() string { return n.listen.Addr().String() }

func (n *node) rank() string {
	if n.primary {
		return "source"
	}
	return "copy"
}

func (n *node) attempts() []run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]run(nil), n.ran...)
}

func (n *node) serve(sock net.Conn) {
	defer sock.Close()
	in := bufio.NewReader(sock)
	size := make([]byte, 4)
	if _, err := io.ReadFull(in, size); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, in, int64(size[2])<<8+int64(size[3])-4); err != nil {
		return
	}
	sock.Write(append(message('R', 0, 0, 0, 0), ready()...))
	for {
		kind, body, err := readMessage(in)
		if err != nil || kind != 'Q' {
			return
		}
		answer := n.answer(strings.TrimRight(string(body), "\x00"))
		if answer == nil {
			io.Copy(io.Discard, in) // it hangs: the connection stays open
			return
		}
		if _, err := sock.Write(answer); err != nil {
			return
		}
	}
}

// answer runs a statement, and returns nil if the node hangs.
func (n *node) answer(text string) []byte {
	now := time.Now()
	switch {
	case text == "SHOW vitals":
		if n.hangs.Load() {
			return nil
		}
		x1 := 0
		if n.primary {
			x1 = 1
		}
		return append(row(fmt.Sprintf("x0=%.6f,x1=%d,util=0.2", float64(now.UnixMicro())/1e6, x1), "SHOW"), ready()...)
	case !strings.HasPrefix(text, "SELECT body ") && !strings.HasPrefix(text, "INSERT "):
		return append(failure("08P01"), ready()...)
	}
	id, write := comment(text)["id"], strings.HasPrefix(text, "INSERT ")
	if write && !n.primary {
		n.record.add("node %s: %s turned away, no primary", n.id, id)
		return append(append(failure("25006"), status("rank", n.rank())...), ready()...)
	}
	n.mu.Lock()
	n.ran = append(n.ran, run{n.id, id, now})
	n.mu.Unlock()
	n.record.add("node %s: %s begins", n.id, id)
	if n.hangs.Load() {
		return nil
	}
	work := n.work
	if comment(text)["c"] == "monthly-report" {
		work *= 20
	}
	n.cores <- struct{}{}
	time.Sleep(work)
	<-n.cores
	tag, position := "SELECT 1", ""
	if write {
		tag, position = "INSERT 0 1", string(status("as_of", fmt.Sprint(time.Now().UnixMilli()+1)))
	}
	return append(append([]byte(position), append(row("value of "+id, tag), status("rank", n.rank())...)...), ready()...)
}
