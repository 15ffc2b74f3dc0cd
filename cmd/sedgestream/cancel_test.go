package main

import (
	"bytes"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// sendCancelAndWait sends a cancel request and waits until the router closes its connection. The router may send
// nothing back, whether the key is right or not.
func sendCancelAndWait(t *testing.T, client *standin.Client, key pgproto3.BackendKeyData) {
	t.Helper()
	started := time.Now()
	reply, err := client.Cancel(key)
	if err != nil || len(reply) > 0 {
		t.Errorf("a cancel request was answered by %q, %v", reply, err)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("a cancel request took %v", took)
	}
}

// A cancel request with the right key ends the request in execution at once, and nothing else. The connection stays
// usable, and the node's late answer reaches nobody. A wrong key changes nothing.
func TestCancelRequest(t *testing.T) {
	t.Parallel()
	node := standin.NewNode(t, "source")
	release := make(chan struct{})
	node.Handler = func(backend *pgproto3.Backend, _ net.Conn, query string) {
		if strings.Contains(query, "c=once") {
			<-release
		}
		node.SendValue(backend, standin.RequestID(query))
	}
	router := newRouter(t, node)
	router.Settings = longTargetSettings
	router.Start(os.Args[0])
	canceled, other := standin.WriteQuery("once", 20000), standin.WriteQuery("once", 20000)
	client, bystander := router.Open(canceled), router.Open(other)
	standin.WaitFor(t, "both requests", func() bool { return len(node.Statements()) == 2 })
	if bytes.Equal(client.CancelKey.SecretKey, bystander.CancelKey.SecretKey) ||
		client.CancelKey.ProcessID == bystander.CancelKey.ProcessID || client.CancelKey.ProcessID == 0 {
		t.Errorf("keys %v and %v", client.CancelKey, bystander.CancelKey)
	}
	wrong := []pgproto3.BackendKeyData{{ProcessID: client.CancelKey.ProcessID, SecretKey: bystander.CancelKey.SecretKey},
		{ProcessID: client.CancelKey.ProcessID, SecretKey: make([]byte, 4)},
		{ProcessID: 1 << 30, SecretKey: client.CancelKey.SecretKey}, {ProcessID: 0, SecretKey: make([]byte, 4)},
		{ProcessID: client.CancelKey.ProcessID, SecretKey: client.CancelKey.SecretKey[:3]},
		{ProcessID: client.CancelKey.ProcessID, SecretKey: append(bytes.Clone(client.CancelKey.SecretKey), 0)}}
	for _, key := range wrong {
		sendCancelAndWait(t, client, key)
	}
	client.Conn.SetReadDeadline(time.Now().Add(leaveGrace))
	if b, err := client.Conn.Read(make([]byte, 1)); b > 0 || err == nil {
		t.Fatal("a wrong key canceled a request")
	}
	client.Conn.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
	sendCancelAndWait(t, client, client.CancelKey)
	client.Expect("57014")
	client.SendStatement("")
	client.Expect("empty")
	sendCancelAndWait(t, client, client.CancelKey) // nothing is in flight
	read := standin.ReadQuery(20000)
	client.SendStatement(read)
	client.Expect(standin.RequestID(read))
	close(release)
	bystander.Expect(standin.RequestID(other))
	read = standin.ReadQuery(20000)
	client.SendStatement(read)
	client.Expect(standin.RequestID(read))
}

// Of pipelined queries a cancel request ends the oldest. The others go on, and the answers keep their order.
func TestCancelRequestInPipeline(t *testing.T) {
	t.Parallel()
	node := standin.NewNode(t, "source")
	queries := []string{standin.WriteQuery("once", 20000), standin.WriteQuery("once", 20000), standin.WriteQuery("once", 20000)}
	release := map[string]chan struct{}{}
	for _, query := range queries {
		release[standin.RequestID(query)] = make(chan struct{})
	}
	node.Handler = func(backend *pgproto3.Backend, _ net.Conn, query string) {
		<-release[standin.RequestID(query)]
		node.SendValue(backend, standin.RequestID(query))
	}
	router := newRouter(t, node)
	router.Settings = longTargetSettings
	router.Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	for _, query := range queries {
		client.SendStatement(query)
		client.SendStatement("")
	}
	standin.WaitFor(t, "all requests", func() bool { return len(node.Statements()) == len(queries) })
	close(release[standin.RequestID(queries[1])]) // its answer waits for that of the first query
	time.Sleep(leaveGrace)
	sendCancelAndWait(t, client, client.CancelKey)
	for _, want := range []string{"57014", "empty", standin.RequestID(queries[1]), "empty"} {
		client.Expect(want)
	}
	sendCancelAndWait(t, client, client.CancelKey)
	client.Expect("57014")
	client.Expect("empty")
	close(release[standin.RequestID(queries[0])])
	close(release[standin.RequestID(queries[2])])
	if requests := node.Statements(); len(requests) != len(queries) {
		t.Errorf("%d requests came to the node", len(requests))
	}
}

// A canceled request is treated as one whose client has left: it is not sent once its connection is established,
// and a failed attempt is not retried. This holds after SIGTERM as well.
func TestNothingIsSentForCanceledRequests(t *testing.T) {
	t.Parallel()
	node := standin.NewNode(t, "source")
	startups, connect, release := make(chan struct{}, 9), make(chan struct{}), make(chan struct{})
	var sessions atomic.Int32
	node.OnStartup = func(net.Conn) bool {
		if sessions.Add(1) == 1 {
			return true
		}
		startups <- struct{}{}
		<-connect
		return true
	}
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, query string) {
		if strings.Contains(query, "c=view") {
			node.SendValue(backend, "v")
			return
		}
		<-release
		standin.CloseConnection(backend, conn, query)
	}
	router := newRouter(t, node)
	router.Settings = longTargetSettings
	router.Start(os.Args[0])
	first := router.Open(standin.WriteQuery("order", 20000))
	standin.WaitFor(t, "the first attempt", func() bool { return len(node.Statements()) == 1 })
	second := router.Open(standin.WriteQuery("order", 20000))
	<-startups
	router.Cmd.Process.Signal(syscall.SIGTERM)
	standin.WaitFor(t, "the shutdown to begin", func() bool { return router.Logged(`"leaving"`) })
	for _, client := range []*standin.Client{first, second} {
		sendCancelAndWait(t, client, client.CancelKey)
		client.Expect("57014")
	}
	time.Sleep(leaveGrace)
	close(release)
	close(connect)
	wantAtMostRequests(t, node, 1)
	select {
	case err := <-router.Exit:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the router does not end")
	}
}

// However a cancel request races the answer of its request, each query has one answer, in order, and no request
// runs twice.
func TestCancelRequestsRaceAnswers(t *testing.T) {
	t.Parallel()
	const tries = 120
	node := standin.NewNode(t, "source")
	node.Handler = func(backend *pgproto3.Backend, _ net.Conn, query string) {
		time.Sleep(time.Duration(standin.IDFraction(query) * float64(2*time.Millisecond)))
		node.SendValue(backend, standin.RequestID(query))
	}
	router := newRouter(t, node)
	router.Settings = longTargetSettings
	router.Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	outcomes := map[string]int{}
	for range tries {
		canceled, next := standin.WriteQuery("order", 20000), standin.ReadQuery(20000)
		done := make(chan struct{})
		client.Send(&pgproto3.Query{String: canceled})
		client.Send(&pgproto3.Query{String: ""})
		client.Flush()
		go func() { sendCancelAndWait(t, client, client.CancelKey); close(done) }()
		switch answer := client.Answer(); answer {
		case standin.RequestID(canceled):
			outcomes["answered"]++
		case "57014":
			outcomes["canceled"]++
		case "53300":
			outcomes["rejected"]++
		default:
			t.Fatalf("answered %q", answer)
		}
		client.Expect("empty")
		<-done
		client.SendStatement(next)
		switch answer := client.Answer(); answer { // attempts of canceled requests may still fill the node
		case standin.RequestID(next):
		case "53300":
			outcomes["rejected"]++
		default:
			t.Fatalf("the next was answered %q", answer)
		}
	}
	ran := map[string]int{}
	for _, query := range node.Statements() {
		ran[standin.RequestID(query)]++
		if ran[standin.RequestID(query)] > 1 {
			t.Errorf("a request ran twice: %s", query)
		}
	}
	if outcomes["canceled"] == 0 || outcomes["answered"] == 0 {
		t.Logf("only one kind in %d tries: %v", tries, outcomes)
	}
}
