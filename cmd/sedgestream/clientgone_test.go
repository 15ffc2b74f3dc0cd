package main

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// longTargetSettings are settings under which only the client's deadline ends a request, and nodes get no probes.
var longTargetSettings = strings.NewReplacer(`"aimUs":80000`, `"aimUs":20000000`, `"probes":true`, `"probes":false`).Replace(standin.DefaultSettings)

// leaveGrace is the time after which no attempt may begin for a client that has gone.
const leaveGrace = 150 * time.Millisecond

// leaveMethods are the ways in which a client leaves. Each function returns once the client has gone.
var leaveMethods = []struct {
	name  string
	leave func(*testing.T, *standin.Client)
}{
	{"closed", func(_ *testing.T, client *standin.Client) { client.Conn.Close() }},
	{"reset", func(_ *testing.T, client *standin.Client) {
		client.Conn.(*net.TCPConn).SetLinger(0)
		client.Conn.Close()
	}},
	{"shut for writing", func(_ *testing.T, client *standin.Client) {
		client.Conn.(*net.TCPConn).CloseWrite()
		go io.Copy(io.Discard, client.Conn) // keeps reading, so that no write of an answer fails
	}},
	{"killed while stopped", killWhileStopped},
}

// killWhileStopped hands a client's connection to a separate process, which is stopped for a while, as the kernel
// still acknowledges what arrives, and then killed.
func killWhileStopped(t *testing.T, client *standin.Client) {
	socket, err := client.Conn.(*net.TCPConn).File()
	if err != nil {
		t.Error(err)
		return
	}
	owner := exec.Command("sleep", "60")
	owner.ExtraFiles = []*os.File{socket}
	if err := owner.Start(); err != nil {
		t.Error(err)
		return
	}
	socket.Close()
	client.Conn.Close()
	owner.Process.Signal(syscall.SIGSTOP)
	time.Sleep(leaveGrace)
	owner.Process.Kill()
	owner.Wait()
}

// forEachLeaveMethod runs a test once for each way in which a client leaves.
func forEachLeaveMethod(t *testing.T, test func(t *testing.T, leave func(*standin.Client))) {
	t.Parallel()
	for _, method := range leaveMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			test(t, func(client *standin.Client) { method.leave(t, client) })
		})
	}
}

// wantAtMostRequests fails the test if a node has got more than most requests, or gets more within leaveGrace.
func wantAtMostRequests(t *testing.T, node *standin.Node, most int) {
	t.Helper()
	time.Sleep(leaveGrace)
	if requests := node.Statements(); len(requests) > most {
		t.Errorf("the node got %d requests, want %d: %q", len(requests), most, requests)
	}
}

// A client leaves while the connection for its first attempt is being established: the request is not sent.
func TestClientGoneDuringConnect(t *testing.T) {
	forEachLeaveMethod(t, func(t *testing.T, leave func(*standin.Client)) {
		node := standin.NewNode(t, "source")
		startups, release := make(chan struct{}, 9), make(chan struct{})
		node.OnStartup = func(net.Conn) bool { startups <- struct{}{}; <-release; return true }
		router := newRouter(t, node)
		router.Settings = longTargetSettings
		router.Start(os.Args[0])
		client := router.Open(standin.WriteQuery("once", 20000))
		select {
		case <-startups:
		case <-time.After(5 * time.Second):
			t.Fatal("no connection is opened: the test checks nothing")
		}
		leave(client)
		time.Sleep(leaveGrace)
		close(release)
		router.Open(standin.WriteQuery("once", 20000)).Expect("from source")
		wantAtMostRequests(t, node, 1)
	})
}

// A client leaves, and then its first attempt fails in each way that would otherwise be retried: there is no retry.
func TestClientGoneBeforeAttemptFails(t *testing.T) {
	forEachLeaveMethod(t, func(t *testing.T, leave func(*standin.Client)) {
		node := standin.NewNode(t, "source")
		var fails atomic.Bool
		release := make(chan struct{})
		fails.Store(true)
		node.Handler = func(backend *pgproto3.Backend, conn net.Conn, query string) {
			switch {
			case !fails.Load():
				node.SendValue(backend, "v")
			case strings.Contains(query, "c=order"):
				<-release
				standin.CloseConnection(backend, conn, query)
			case strings.Contains(query, "c=once"):
				<-release
				node.ErrorHandler("53300")(backend, conn, query)
			default:
				<-release
				node.ErrorHandler("XX000")(backend, conn, query)
			}
		}
		router := newRouter(t, node)
		router.Settings = longTargetSettings
		router.Start(os.Args[0])
		clients := []*standin.Client{router.Open(standin.WriteQuery("order", 20000)),
			router.Open(standin.WriteQuery("once", 20000)), router.Open(standin.ReadQuery(20000))}
		standin.WaitFor(t, "the first attempts", func() bool { return len(node.Statements()) == len(clients) })
		for _, client := range clients {
			leave(client)
		}
		time.Sleep(leaveGrace)
		close(release)
		wantAtMostRequests(t, node, len(clients))
		fails.Store(false)
	})
}

// A client leaves during the pause that its terms put before a retry: the retry is not made. For a client that
// stays it is.
func TestClientGoneDuringRetryPause(t *testing.T) {
	forEachLeaveMethod(t, func(t *testing.T, leave func(*standin.Client)) {
		nodes := []*standin.Node{standin.NewNode(t, "copy"), standin.NewNode(t, "copy")}
		attempts := func() int { return len(nodes[0].Statements()) + len(nodes[1].Statements()) }
		for _, node := range nodes {
			node.Handler = node.ErrorHandler("XX000")
		}
		router := newRouter(t, nodes...)
		router.Settings = longTargetSettings
		path := filepath.Join(t.TempDir(), "terms.json")
		os.WriteFile(path, []byte(`{"version": 1, "routes": [{"name": "all", "match": {}, "terms": {"again": {"base": "600ms"}, "trips": 2}}]}`), 0o600)
		router.Args = []string{"run", "--terms", path}
		router.Start(os.Args[0])
		router.Open(standin.ReadQuery(20000)).Expect("53300")
		if attempts() != 2 {
			t.Fatalf("%d attempts for a client that stays, want 2: the test checks nothing", attempts())
		}
		client := router.Open(standin.ReadQuery(20000))
		standin.WaitFor(t, "the first attempt", func() bool { return attempts() == 3 })
		leave(client)
		time.Sleep(900 * time.Millisecond)
		if more := attempts() - 3; more > 0 {
			t.Errorf("%d attempts were made after the pause", more)
		}
	})
}

// A client leaves while its first attempt hangs and the connection for the hedged attempt is being established: the
// hedged attempt is not sent. For a client that stays it is.
func TestClientGoneBeforeSecondCopy(t *testing.T) {
	forEachLeaveMethod(t, func(t *testing.T, leave func(*standin.Client)) {
		nodes := []*standin.Node{standin.NewNode(t, "copy"), standin.NewNode(t, "copy")}
		release, startups := make(chan struct{}), make(chan struct{}, 9)
		var blocks atomic.Bool
		var sessions atomic.Int32
		for _, node := range nodes {
			node.OnStartup = func(net.Conn) bool {
				if sessions.Add(1) > 1 && blocks.Load() {
					startups <- struct{}{}
					<-release
				}
				return true
			}
			node.Handler = func(_ *pgproto3.Backend, conn net.Conn, _ string) { io.Copy(io.Discard, conn) }
		}
		router := newRouter(t, nodes...)
		router.Settings = strings.NewReplacer(`"aimUs":80000`, `"aimUs":1000000`, `"probes":true`, `"probes":false`,
			`"secondCopies":false`, `"secondCopies":true`).Replace(standin.DefaultSettings)
		path := filepath.Join(t.TempDir(), "terms.json")
		os.WriteFile(path, []byte(`{"version": 1, "routes": [{"name": "all", "match": {"tariff": "view"}, "terms": {"copies": {"after": "100ms", "part": 1}}}]}`), 0o600)
		router.Args = []string{"run", "--terms", path}
		router.Start(os.Args[0])
		blocks.Store(true)
		client := router.Open(standin.ReadQuery(20000))
		select {
		case <-startups: // the connection for the hedged attempt is being established
		case <-time.After(5 * time.Second):
			t.Fatal("no hedged attempt begins: the test checks nothing")
		}
		leave(client)
		time.Sleep(leaveGrace)
		close(release)
		time.Sleep(leaveGrace)
		if requests := append(nodes[0].Statements(), nodes[1].Statements()...); len(requests) != 1 {
			t.Errorf("%d attempts, want 1: %q", len(requests), requests)
		}
	})
}

// A client leaves while its query waits for earlier ones on its connection: a long one behind a short one and the
// reverse, with the read buffer partly filled and full. None of the waiting queries is sent.
func TestClientGoneWithQueuedQueries(t *testing.T) {
	long := func() string {
		return strings.Replace(standin.WriteQuery("once", 20000), `\x9f03`, `\x`+strings.Repeat("ab", 4500), 1)
	}
	short := func() string { return standin.WriteQuery("once", 20000) }
	forEachLeaveMethod(t, func(t *testing.T, leave func(*standin.Client)) {
		node := standin.NewNode(t, "source")
		release := make(chan struct{})
		node.Handler = func(backend *pgproto3.Backend, _ net.Conn, _ string) { <-release; node.SendValue(backend, "v") }
		router := newRouter(t, node)
		router.Settings = longTargetSettings
		router.Start(os.Args[0])
		var clients []*standin.Client
		for _, queries := range [][]string{{short(), long()}, {long(), short()}, {long(), long(), short()}} {
			client := router.Open("")
			client.Expect("empty")
			for _, query := range queries {
				client.SendStatement(query)
			}
			clients = append(clients, client)
		}
		standin.WaitFor(t, "the first request of each client", func() bool { return len(node.Statements()) == len(clients) })
		time.Sleep(leaveGrace)
		for _, client := range clients {
			leave(client)
		}
		time.Sleep(leaveGrace)
		close(release)
		wantAtMostRequests(t, node, len(clients))
	})
}

// A client that has written more than the router reads at a time leaves. The end of its connection is behind unread
// bytes, and is noticed all the same.
func TestClientGoneWithFullBuffer(t *testing.T) {
	forEachLeaveMethod(t, func(t *testing.T, leave func(*standin.Client)) {
		node := standin.NewNode(t, "source")
		release := make(chan struct{})
		node.Handler = func(backend *pgproto3.Backend, _ net.Conn, _ string) { <-release; node.SendValue(backend, "v") }
		router := newRouter(t, node)
		router.Settings = longTargetSettings
		router.Start(os.Args[0])
		client := router.Open("")
		client.Expect("empty")
		for range 200 {
			client.Send(&pgproto3.Query{String: standin.WriteQuery("once", 20000)})
		}
		client.Flush()
		standin.WaitFor(t, "requests at the node", func() bool { return len(node.Statements()) >= 4 })
		time.Sleep(leaveGrace) // the router has read as much as it will
		leave(client)
		time.Sleep(leaveGrace)
		most := len(node.Statements())
		close(release)
		wantAtMostRequests(t, node, most)
	})
}

// A request is parked because no primary is known, and its client leaves: the request is not sent once there is a
// primary, while that of a client that stays is. The router process is stopped (SIGSTOP) between the client's
// leaving and the primary's appearance, as can happen on a busy machine.
func TestClientGoneWhileRequestIsParked(t *testing.T) {
	const stopFor = 150 * time.Millisecond // between the client's leaving and the write
	forEachLeaveMethod(t, func(t *testing.T, leave func(*standin.Client)) {
		for _, stays := range []bool{true, false} {
			a, b := standin.NewNode(t, "copy"), standin.NewNode(t, "copy") // no node is primary
			for _, node := range []*standin.Node{a, b} {
				node.Handler = node.ErrorHandler("25006")
			}
			router := newRouter(t, a, b)
			router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"aimUs":80000`, `"aimUs":8000000`) // so that the request is worth parking
			router.Start(os.Args[0])
			client := router.Open("")
			client.Expect("empty")
			write := standin.WriteQuery("order", 20000) // parked for a fifth of that
			client.SendStatement(write)
			standin.WaitFor(t, "the first attempt of the write", func() bool { return len(a.Statements())+len(b.Statements()) > 0 })
			time.Sleep(50 * time.Millisecond)
			router.Cmd.Process.Signal(syscall.SIGSTOP)
			leftAt := time.Now()
			if !stays {
				leave(client)
			}
			a.WithLock(func() { a.Role, a.Handler = "source", nil })
			time.Sleep(stopFor)
			router.Cmd.Process.Signal(syscall.SIGCONT)
			other := router.Open("")
			other.Expect("empty")
			standin.WaitFor(t, "writes of others", func() bool {
				other.SendStatement(standin.WriteQuery("order", 1000))
				return other.Answer() == "from source"
			})
			time.Sleep(100 * time.Millisecond)
			sent := 0
			for _, node := range []*standin.Node{a, b} {
				for _, attempt := range node.Executions() {
					if attempt.ID == standin.RequestID(write) && attempt.ReceivedAt.After(leftAt.Add(stopFor+100*time.Millisecond)) {
						sent++
					}
				}
			}
			if stays {
				client.Expect("from source")
			}
			if !stays && sent > 0 {
				t.Errorf("%d attempts began for a client that had left", sent)
			}
		}
	})
}
