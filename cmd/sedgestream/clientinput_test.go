package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// Invalid statements, startup packets and messages are answered with an error and reach no node, and the connection
// stays usable where the protocol allows it.
func TestInvalidInput(t *testing.T) {
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica).Start(os.Args[0])
	client := router.Open("SELECT 1")
	client.Expect("42601")
	for _, replacement := range [][2]string{{"c=view", "c=sight"}, {"cluster=2", "cluster=9"}, {"d=500", "d=0"}, {"d=500,", ""},
		{"SELECT body", "DELETE body"}, {"c=view", "c=order,k=1"}, {"c=view", "c=order"}} {
		client.SendStatement(strings.Replace(standin.ReadQuery(500), replacement[0], replacement[1], 1))
		if answer := client.Answer(); answer != "22023" && answer != "42601" {
			t.Errorf("%s was answered by %q", replacement[1], answer)
		}
	}
	client.SendStatement(standin.ReadQuery(20000))
	client.Expect("from copy") // the connection stays usable
	if n := len(primary.Statements()) + len(replica.Statements()); n != 1 {
		t.Errorf("%d statements went to nodes, want 1", n)
	}
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08\x00\x02\x00\x00", "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678"} {
		client := router.Dial()
		io.WriteString(client.Conn, bytes)
		if b, err := io.ReadAll(client.Conn); err != nil || strings.Contains(string(b), "53300") {
			t.Errorf("%q: %q, %v", bytes, b, err)
		}
	}
	client.Conn.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff}) // overlong
	if _, err := io.ReadAll(client.Conn); err != nil {
		t.Error(err)
	}
	router.Open(standin.ReadQuery(20000)).Expect("from copy")
}

// Long values on many connections at once wait for memory, and all requests are answered.
func TestLongValues(t *testing.T) {
	node := standin.NewNode(t, "source")
	value, release := strings.Repeat("v", 64<<10), make(chan struct{})
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { <-release; node.SendValue(backend, value) }
	router := newRouter(t, node)
	router.Limits = `{"cores":1,"memory_mb":24,"sockets":512}` // enough for some twenty long values at a time
	router.Start(os.Args[0])
	long := strings.Replace(standin.WriteQuery("order", 20000), `\x9f03`, `\x`+strings.Repeat("ab", 64<<10), 1)
	answers := make(chan string)
	for i := range 100 {
		client := router.Open("")
		client.Expect("empty")
		go func() {
			client.Send(&pgproto3.Query{String: strings.Replace(long, "id=", fmt.Sprintf("id=%x", i), 1)})
			client.Flush()
			answers <- client.Answer()
		}()
	}
	standin.WaitFor(t, "a request at the node", func() bool { return len(node.Statements()) > 0 })
	close(release)
	for range 100 {
		if answer := <-answers; answer != value && answer != "53300" {
			t.Fatalf("answered %.80q", answer)
		}
	}
}

// A message that stays incomplete ends its connection with an error, and others are served.
func TestIncompleteMessage(t *testing.T) {
	router := newRouter(t, standin.NewNode(t, "source")).Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	client.Conn.Write([]byte{'Q', 0, 0, 1, 0, 'S'})
	if b, err := io.ReadAll(client.Conn); err != nil || !strings.Contains(string(b), "08P01") {
		t.Errorf("%q, %v", b, err)
	}
	router.Open("").Expect("empty")
}

// Clients that never finish their startup take no descriptors that others need, and their connections are closed. A
// query that reuses the id of a request in flight is answered with an error, and the first request goes on.
func TestMisbehavingClients(t *testing.T) {
	node := standin.NewNode(t, "source")
	release := make(chan struct{})
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { <-release; node.SendValue(backend, "v") }
	router := newRouter(t, node)
	router.Limits = `{"cores":1,"memory_mb":64,"sockets":24}` // three for clients, and one in reserve
	router.Start(os.Args[0])
	request := standin.WriteQuery("once", 20000)
	usual := router.Open(request)
	standin.WaitFor(t, "the request at the node", func() bool { return len(node.Statements()) == 1 })
	router.Open(request).Expect("22023")
	var silent []*standin.Client
	for range 30 {
		silent = append(silent, router.Dial())
	}
	for i := range 5 {
		router.Open("").Expect("empty")
		silent[i].Conn.Write([]byte("\x00\x00"))
	}
	half := router.Dial()
	half.Conn.Write([]byte("\x00\x00\x00\x40\x00\x03\x00\x00user"))
	for _, client := range append(silent, half) {
		b, err := io.ReadAll(client.Conn)
		if errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(string(b), "53300") {
			t.Fatalf("%q, %v", b, err)
		}
	}
	close(release)
	usual.Expect("v")
	usual.SendStatement(request) // the id is free again
	usual.Expect("v")
}
