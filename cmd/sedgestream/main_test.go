package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// routerProcessEnv is the environment variable that makes the test binary run as the router.
const routerProcessEnv = "SEDGESTREAM_TEST_AS_ROUTER"

func TestMain(m *testing.M) {
	if os.Getenv(routerProcessEnv) != "" {
		runAsRouter()
		return
	}
	code := m.Run()
	if builtProgramDir != "" {
		os.RemoveAll(builtProgramDir)
	}
	os.Exit(code)
}

// newRouter prepares a router process of the test binary, with discovery and the given nodes.
func newRouter(t *testing.T, nodes ...*standin.Node) *standin.Harness {
	router := standin.NewHarness(t, nodes...)
	router.Env = []string{routerProcessEnv + "=1"}
	return router
}

// Reads and writes go to the right nodes, unchanged except for their time limit; pipelined queries keep their order, and
// long values arrive whole.
func TestRequestsAreAnswered(t *testing.T) {
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica).Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	request := standin.ReadQuery(20000)
	client.SendStatement(request)
	client.Expect("from copy")
	timeLimit := regexp.MustCompile(`,d=\d+,`) // everything else is forwarded unchanged
	if requests := replica.Statements(); len(requests) != 1 || timeLimit.ReplaceAllString(requests[0], ",d=20000,") != request {
		t.Errorf("the replica got %q", requests)
	}
	client.SendStatement(standin.WriteQuery("order", 20000))
	client.Expect("from source")
	for i := range 3 { // pipelined queries are answered in order
		client.Send(&pgproto3.Query{String: []string{standin.ReadQuery(20000), "", standin.WriteQuery("order", 20000)}[i]})
	}
	client.SendStatement("SET x = 1")
	for _, answer := range []string{"from copy", "empty", "from source", ""} {
		client.Expect(answer)
	}
	long := strings.Replace(standin.WriteQuery("order", 20000), `\x9f03`, `\x`+strings.Repeat("ab", 64<<10), 1)
	primary.WithLock(func() {
		primary.Handler = func(backend *pgproto3.Backend, _ net.Conn, query string) {
			primary.SendValue(backend, query[:len(query)/2])
		}
	})
	client.SendStatement(long)
	if answer := client.Answer(); len(answer) < 64<<10 || answer != long[:len(answer)] {
		t.Errorf("a long value came back as %d bytes", len(answer))
	}
	standin.WaitFor(t, "probes", func() (some bool) { replica.WithLock(func() { some = replica.ProbeCount > 0 }); return })
}

// Pipelined queries run at nodes concurrently. Their answers, errors included, keep the order of the queries, and the
// error that ends the connection comes last.
func TestPipelinedQueries(t *testing.T) {
	primary, replica := standin.NewPair(t)
	release := make(chan struct{})
	primary.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
		<-release
		primary.SendValue(backend, "from source")
	}
	long := strings.Repeat("v", 20000)
	replica.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { replica.SendValue(backend, long) }
	router := newRouter(t, primary, replica).Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	for _, query := range []string{standin.WriteQuery("once", 20000), standin.ReadQuery(20000), "nonsense", standin.ReadQuery(20000)} {
		client.Send(&pgproto3.Query{String: query})
	}
	client.SendStatement("")
	standin.WaitFor(t, "the reads at the replica", func() bool { return len(replica.Statements()) == 2 })
	for range 30 { // more than the router reads at a time
		client.SendStatement(standin.ReadQuery(20000))
	}
	client.Conn.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff})
	close(release)
	for _, answer := range append([]string{"from source", long, "42601", long, "empty"}, slices.Repeat([]string{long}, 30)...) {
		// Some exceed the node's concurrency limit and are rejected.
		if got := client.Answer(); got != answer && !(answer == long && got == "53300") {
			t.Fatalf("answered %.80q, want %.80q", got, answer)
		}
	}
	if answer := client.Answer(); !strings.HasPrefix(answer, "08P01") {
		t.Errorf("the connection ended with %q", answer)
	}
}

// A standard PostgreSQL client library (pgconn) connects, queries, and recovers from an unsupported extended query.
func TestStandardClientLibrary(t *testing.T) {
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica).Start(os.Args[0])
	ctx, cancel := context.WithTimeout(context.Background(), standin.WaitTimeout)
	defer cancel()
	connection, err := pgconn.Connect(ctx, "postgres://worker@"+router.Address+"/catalog?sslmode=prefer")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		results, err := connection.Exec(ctx, standin.ReadQuery(20000)).ReadAll()
		if err != nil || len(results) != 1 || string(results[0].Rows[0][0]) != "from copy" {
			t.Fatal(results, err)
		}
	}
	if result := connection.ExecParams(ctx, "SELECT $1", [][]byte{[]byte("1")}, nil, nil, nil).Read(); result.Err == nil ||
		result.Err.(*pgconn.PgError).Code != "0A000" {
		t.Error(result.Err)
	}
	if _, err := connection.Exec(ctx, standin.ReadQuery(20000)).ReadAll(); err != nil {
		t.Error("after an error in the extended protocol: ", err)
	}
	if err := connection.Close(ctx); err != nil {
		t.Error(err)
	}
	later := router.Dial()
	later.Send(&pgproto3.StartupMessage{ProtocolVersion: 196610, Parameters: map[string]string{"user": "worker"}})
	later.Flush()
	if reply, err := later.Receive(); err != nil || fmt.Sprintf("%T", reply) != "*pgproto3.NegotiateProtocolVersion" {
		t.Errorf("version 3.2 was answered by %T, %v", reply, err)
	}
	later.Expect("")
}

// A node that closes idle connections fails no request.
func TestNodeEndsIdleConnections(t *testing.T) {
	node := standin.NewNode(t, "source")
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { node.SendValue(backend, "v"); conn.Close() }
	router := newRouter(t, node).Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	<-router.ListRequests
	before := router.Descriptors()
	for range 5 {
		client.SendStatement(standin.WriteQuery("once", 20000))
		client.Expect("v")
		// The connection of a probe may remain.
		standin.WaitFor(t, "the connection to end", func() bool { return router.Descriptors() <= before+1 })
	}
}

// For each way in which an attempt fails and each retry safety of a class: the answer that the client gets, and the
// number of attempts that reach the node.
func TestFailedAttempts(t *testing.T) {
	full := func(node *standin.Node) { node.Handler = node.ErrorHandler("53300") }
	fatal := func(node *standin.Node) {
		node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
			backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "no"})
			backend.Flush()
			conn.Close()
		}
	}
	reset := func(node *standin.Node) { node.Handler = standin.CloseConnection }
	truncated := func(node *standin.Node) {
		node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
			conn.Write([]byte("D\x00\x00\x00\x20half a row"))
			conn.Close()
		}
	}
	nonsense := func(node *standin.Node) {
		node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		}
	}
	never := func(node *standin.Node) { node.OnStartup = func(net.Conn) bool { return false } }
	for _, test := range []struct {
		name, class string
		fault       func(*standin.Node)
		answer      string
		attempts    int // that reach the node; -n: at least n
	}{
		{"node is full", "once", full, "53300", -1},
		{"node is full and closes the connection", "once", fatal, "53300", -1},
		{"reset after the request", "once", reset, "57014", 1},
		{"reset after the request", "order", reset, "57014", -2},
		{"truncated answer", "once", truncated, "57014", 1},
		{"answer of another protocol", "once", nonsense, "57014", 1},
		{"connection never established", "once", never, "53300", 0},
		{"error answer", "once", func(node *standin.Node) { node.Handler = node.ErrorHandler("XX000") }, "57014", 1},
		{"no longer primary", "once", func(node *standin.Node) { node.Handler = node.ErrorHandler("25006") }, "53300", -1},
	} {
		t.Run(test.name+"/"+test.class, func(t *testing.T) {
			t.Parallel()
			node := standin.NewNode(t, "source")
			test.fault(node)
			router := newRouter(t, node).Start(os.Args[0])
			router.Open(standin.WriteQuery(test.class, 2000)).Expect(test.answer)
			if got := len(node.Statements()); got < test.attempts || test.attempts >= 0 && got != test.attempts ||
				test.attempts < 0 && got < -test.attempts {
				t.Errorf("the node got %d attempts, want %d", got, test.attempts)
			}
		})
	}
}

// A request to a node that never answers fails at its deadline, after one attempt.
func TestSilentNode(t *testing.T) {
	node := standin.NewNode(t, "source")
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { io.Copy(io.Discard, conn) }
	router := newRouter(t, node).Start(os.Args[0])
	router.Open(standin.WriteQuery("once", 300)).Expect("57014")
	if requests := node.Statements(); len(requests) != 1 {
		t.Errorf("the node got %q", requests)
	}
}

// A deadline of days in a query is capped by that of the settings.
func TestDeadlineCappedBySettings(t *testing.T) {
	node := standin.NewNode(t, "source")
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { io.Copy(io.Discard, conn) }
	router := newRouter(t, node)
	router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"deadlineUs":30000000`, `"deadlineUs":300000`)
	router.Start(os.Args[0]).Open(standin.WriteQuery("once", 1<<31-1)).Expect("57014")
}

// A client that disconnects while its request waits is noticed, and no further attempt is made for the request.
func TestClientDisconnects(t *testing.T) {
	node := standin.NewNode(t, "source")
	release := make(chan struct{})
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { <-release; conn.Close() }
	router := newRouter(t, node).Start(os.Args[0])
	<-router.ListRequests
	before := router.Descriptors()
	client := router.Open(standin.WriteQuery("order", 20000))
	standin.WaitFor(t, "the request at the node", func() bool { return len(node.Statements()) == 1 })
	client.Conn.Close()
	standin.WaitFor(t, "the client's connection to end", func() bool { return router.Descriptors() <= before+2 })
	close(release)
	standin.WaitFor(t, "the node's connection to end", func() bool { return router.Descriptors() <= before+1 })
	router.Open("").Expect("empty")
	if requests := node.Statements(); len(requests) != 1 {
		t.Errorf("the node got %q", requests)
	}
}

// The watch on the list: changes apply, wrong lines are logged and cause a fetch of the full list, an interrupted
// watch resumes at the last version, and a node whose address changes is followed there.
func TestListChanges(t *testing.T) {
	primary, a := standin.NewPair(t)
	b := standin.NewNode(t, "copy")
	router := newRouter(t, primary, a, b)
	router.SetList(`{"version":2,"full":false,"servers":[` + router.ListEntries() + "]}") // an older version, and a partial list
	router.Start(os.Args[0])
	if version := <-router.ListRequests; version != "7" {
		t.Fatalf("the watch begins at %s, want that of the known list", version)
	}
	client := router.Open(standin.ReadQuery(20000))
	client.Expect("from copy")
	wrong := strings.Replace(router.ListEntries("up", "up", "removed"), `"up"`, `"asleep"`, 1)
	router.Updates <- "\n{\"version\":8,\"full\":true,\"servers\":[" + wrong + "]}\n{\"version\":\n"
	router.Updates <- `{"version":9,"full":false,"servers":[` + router.ListEntries("up", "draining", "up") + "]}\n\n"
	standin.WaitFor(t, "requests to leave the draining node", func() bool {
		before := len(a.Statements())
		for range 10 {
			client.SendStatement(standin.ReadQuery(20000))
			client.Expect("from copy")
		}
		return len(a.Statements()) == before
	})
	if !router.Logged("a line from discovery is wrong") {
		t.Error("a wrong line was not logged")
	}
	// The wrong lines may have held changes that discovery does not send again, so the full list is fetched. It is
	// fetched once more as the watch resumes at its old version, since this discovery does not send it over the
	// watch.
	if version := <-router.ListRequests; version != "whole" {
		t.Errorf("after wrong lines discovery was asked for %s, want the whole list", version)
	}
	for len(router.ListRequests) > 0 {
		if version := <-router.ListRequests; version != "whole" {
			t.Errorf("after wrong lines discovery was asked for %s, want the whole list", version)
		}
	}
	router.EndWatch <- struct{}{}
	for _, want := range []string{"whole", "9"} {
		if version := <-router.ListRequests; version != want {
			t.Errorf("the next watch begins at %s, want %s", version, want)
		}
	}
	n := len(b.Statements())
	moved := standin.NewNode(t, "copy") // with the same id
	router.Nodes[2] = moved
	router.Updates <- `{"version":10,"full":true,"servers":[` + router.ListEntries("up", "draining", "up") + "]}\n"
	standin.WaitFor(t, "requests at the new address", func() bool {
		client.SendStatement(standin.ReadQuery(20000))
		client.Expect("from copy")
		return len(moved.Statements()) > 0
	})
	if len(b.Statements()) < n {
		t.Error("the old address lost requests")
	}
}

// With all client descriptors in use, an idle connection is closed in favour of a new one. If none is idle, the new
// request is rejected and its connection is closed.
func TestOutOfDescriptors(t *testing.T) {
	node := standin.NewNode(t, "source")
	release := make(chan struct{})
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { <-release; node.SendValue(backend, "v") }
	router := newRouter(t, node)
	router.Limits = `{"cores":1,"memory_mb":64,"sockets":24}` // three for clients, and one in reserve
	router.Start(os.Args[0])
	for range 8 {
		router.Open("").Expect("empty")
	}
	var busy []*standin.Client
	for range 3 {
		busy = append(busy, router.Open(standin.WriteQuery("order", 20000)))
	}
	standin.WaitFor(t, "three requests at the node", func() bool { return len(node.Statements()) == 3 })
	for range 3 {
		rejected := router.Open(standin.WriteQuery("order", 20000))
		if answer := rejected.Answer(); !strings.HasPrefix(answer, "53300") || answer == "53300" {
			t.Errorf("a client too many was answered %q, want a rejection and the end of its connection", answer)
		}
	}
	close(release)
	for _, client := range busy {
		client.Expect("v")
	}
	router.Open(standin.WriteQuery("order", 20000)).Expect("v")
	if d := router.Descriptors(); d > 24 {
		t.Errorf("%d descriptors are open", d)
	}
}

// Clients that keep idle connections are disconnected, the one idle longest first, before they hold a third of all
// descriptors.
func TestIdleClientsMakeRoom(t *testing.T) {
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	router.Limits = `{"cores":1,"memory_mb":64,"sockets":100}` // 37 for clients; a third of all is 33
	router.Start(os.Args[0])
	var clients []*standin.Client
	for range 33 {
		client := router.Open("")
		client.Expect("empty")
		clients = append(clients, client)
	}
	if reply, err := clients[0].Receive(); !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		t.Errorf("the client that has been idle longest is still connected: %v, %v", reply, err)
	}
	clients[32].SendStatement(standin.ReadQuery(20000))
	clients[32].Expect("from copy")
}

// Messages go to the other routers; datagrams that are invalid or come from an unknown address change nothing.
func TestPeers(t *testing.T) {
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica).Start(os.Args[0])
	datagram := make([]byte, 1500)
	router.PeerConn.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
	n, from, err := router.PeerConn.ReadFromUDP(datagram)
	if err != nil || n != 9 { // the first message only tests whether datagrams arrive
		t.Fatal(n, err)
	}
	router.PeerConn.WriteToUDP(datagram[:8], from)
	if n, from, err = router.PeerConn.ReadFromUDP(datagram); err != nil || n <= 9 || n > 256 {
		t.Fatal(n, err)
	}
	unknownPeer, err := net.DialUDP("udp", nil, from)
	if err != nil {
		t.Fatal(err)
	}
	defer unknownPeer.Close()
	for _, s := range []string{"", "?", string(datagram[:n]), strings.Repeat("x", 300)} {
		unknownPeer.Write([]byte(s))
		router.PeerConn.WriteToUDP([]byte(s), from)
	}
	router.Open(standin.ReadQuery(20000)).Expect("from copy")
}

// A reload moves discovery under load: the list is fetched from the new address, whose versions are unrelated, and
// the watch at the old address ends. An invalid file changes nothing, and no request fails.
func TestReload(t *testing.T) {
	primary, replica := standin.NewPair(t)
	release := make(chan struct{})
	primary.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
		<-release
		primary.SendValue(backend, "at last")
	}
	router, newDiscovery := newRouter(t, primary, replica).Start(os.Args[0]), newRouter(t, primary, replica)
	if version := <-router.ListRequests; version != "7" {
		t.Fatalf("the watch begins at %s", version)
	}
	inFlight, client := router.Open(standin.WriteQuery("once", 20000)), router.Open(standin.ReadQuery(20000))
	client.Expect("from copy")
	for _, wrong := range []string{"", "{", `{"discovery":"10.0.0.1:1"}`} {
		before := strings.Count(router.Log(), "the configuration is wrong")
		os.WriteFile(router.ConfigPath, []byte(wrong), 0o600)
		router.Cmd.Process.Signal(syscall.SIGHUP)
		standin.WaitFor(t, "the wrong file to be rejected", func() bool {
			return strings.Count(router.Log(), "the configuration is wrong") == before+1
		})
	}
	old := router.DiscoveryServer.Addr
	router.DiscoveryServer.Addr = newDiscovery.DiscoveryServer.Addr
	router.WriteConfig()
	router.Cmd.Process.Signal(syscall.SIGHUP)
	for _, want := range []string{"whole", "2"} {
		if version := <-newDiscovery.ListRequests; version != want {
			t.Fatalf("the new discovery was asked for %s, want %s", version, want)
		}
	}
	newDiscovery.Updates <- `{"version":3,"full":false,"servers":[` + router.ListEntries("up", "draining") + "]}\n"
	standin.WaitFor(t, "requests to leave the draining node", func() bool {
		before := len(replica.Statements())
		for range 10 {
			client.SendStatement(standin.ReadQuery(200))
			client.Answer()
		}
		return len(replica.Statements()) == before
	})
	router.DiscoveryServer.Addr = old // back to the old address, while the router stops
	router.WriteConfig()
	router.Cmd.Process.Signal(syscall.SIGTERM)
	router.Cmd.Process.Signal(syscall.SIGHUP)
	if version := <-router.ListRequests; version != "whole" {
		t.Errorf("the old discovery was asked for %s", version)
	}
	close(release)
	inFlight.Expect("at last")
	if err := <-router.Exit; err != nil {
		t.Error(err)
	}
}

// A configuration that lacks a required part ends the start with status 1, and the last log record names phase,
// reason and place. The check command reports the same reason.
func TestBadConfiguration(t *testing.T) {
	for _, test := range []struct{ good, bad, reason, place string }{
		{`"classes"`, `"class"`, "settings.classes: there is none that could be served", "settings.classes"},
		{`"settings"`, `"setting"`, "settings is missing", ""},
		{`"name":"n0"`, `"listen":"127.0.0.1","name":"n0"`, `listen: \"127.0.0.1\" is no address with a port`, " listen"},
	} {
		router := newRouter(t, standin.NewNode(t, "source"))
		cmd := exec.Command(os.Args[0])
		cmd.Env = router.WriteConfig()
		text, _ := os.ReadFile(router.ConfigPath)
		os.WriteFile(router.ConfigPath, []byte(strings.Replace(string(text), test.good, test.bad, 1)), 0o600)
		out, _ := cmd.CombinedOutput()
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		var last struct {
			Level, Msg, Phase, Reason, Place string
			Status                           int
		}
		err := json.Unmarshal([]byte(lines[len(lines)-1]), &last)
		reason := strings.ReplaceAll(test.reason, `\"`, `"`)
		if cmd.ProcessState.ExitCode() != 1 || err != nil || last.Level != "error" || last.Msg != "exit" || last.Phase != "starting" ||
			last.Status != 1 || !strings.Contains(last.Reason, reason) || !strings.HasPrefix(last.Place, router.ConfigPath) ||
			!strings.HasSuffix(last.Place, test.place) {
			t.Errorf("%s: %v, %s", test.bad, err, out)
		}
		if code, _, errs := runProgram(t, "check", router.ConfigPath); code != 1 || !strings.Contains(errs, reason) {
			t.Errorf("check disagrees about %s: exit %d, %s", test.bad, code, errs)
		}
	}
}
