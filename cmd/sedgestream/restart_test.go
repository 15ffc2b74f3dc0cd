package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// After SIGTERM new clients are served for a while, requests in flight are answered, and the process exits with 0.
func TestPlannedRestart(t *testing.T) {
	node := standin.NewNode(t, "source")
	release := make(chan struct{})
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
		<-release
		node.SendValue(backend, "at last")
	}
	router := newRouter(t, node).Start(os.Args[0])
	idle := router.Open("")
	idle.Expect("empty")
	client := router.Open(standin.WriteQuery("once", 20000))
	standin.WaitFor(t, "the request at the node", func() bool { return len(node.Statements()) == 1 })
	router.Cmd.Process.Signal(syscall.SIGTERM)
	standin.WaitFor(t, "leaving", func() bool { return router.Logged(`"leaving"`) })
	router.Open("").Expect("empty")
	if _, err := idle.Receive(); err == nil {
		t.Error("an idle client got a message")
	}
	standin.WaitFor(t, "finishing", func() bool { return router.Logged(`"finishing"`) })
	close(release)
	client.Expect("at last")
	if err := <-router.Exit; err != nil {
		t.Error(err)
	}
}

// Clients send requests all through a planned restart: every request that reached a node is answered in full, and the
// process exits with 0 although the clients never stop.
func TestPlannedRestartUnderLoad(t *testing.T) {
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica).Start(os.Args[0])
	var answered atomic.Int64
	var clients sync.WaitGroup
	for range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				sock, err := net.Dial("tcp", router.Address)
				if err != nil {
					return // the router no longer listens
				}
				sock.SetDeadline(time.Now().Add(standin.WaitTimeout))
				client := standin.NewClient(t, sock)
				client.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker"}})
				if client.Flush() == nil && client.Answer() == "" {
					for err == nil {
						client.Send(&pgproto3.Query{String: standin.ReadQuery(20000)})
						if err = client.Flush(); err == nil {
							if answer := client.Answer(); answer == "from copy" {
								answered.Add(1)
							} else if err = io.EOF; strings.HasPrefix(answer, "from") {
								t.Errorf("truncated answer %q", answer)
							}
						}
					}
				}
				sock.Close()
			}
		}()
	}
	standin.WaitFor(t, "requests", func() bool { return answered.Load() > 100 })
	router.Cmd.Process.Signal(syscall.SIGTERM)
	if err := <-router.Exit; err != nil {
		t.Error(err)
	}
	clients.Wait()
	if n := len(primary.Statements()) + len(replica.Statements()); int64(n) != answered.Load() {
		t.Errorf("%d requests went to nodes, %d were answered", n, answered.Load())
	}
}

// sentQuery is a client's query and its answer.
type sentQuery struct {
	id, answer string
	router     int
	at         time.Time
	took       time.Duration
}

// Three routers get SIGTERM one after the other, while one of three nodes hangs and clients keep writing pipelined
// queries. By the records of nodes and clients, each query that reached a node has one complete answer in time, a
// query without an answer was never sent, no connection ends inside an answer, and each router exits with its last
// request.
func TestRestartsUnderPipelinedLoad(t *testing.T) {
	t.Parallel()
	const timeoutMs, maxUnanswered, pace = 1500, 20, 15 * time.Millisecond
	nodes := []*standin.Node{standin.NewNode(t, "source"), standin.NewNode(t, "copy"), standin.NewNode(t, "copy")}
	var hangs atomic.Bool
	nodes[1].Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
		if hangs.Load() {
			io.Copy(io.Discard, conn)
			return
		}
		nodes[1].SendValue(backend, "from copy")
	}
	var routers []*standin.Harness
	for range 3 {
		router := newRouter(t, nodes...)
		router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"deadlineUs":30000000`, fmt.Sprintf(`"deadlineUs":%d`, timeoutMs*1000))
		routers = append(routers, router.Start(os.Args[0]))
	}
	var mu sync.Mutex
	var queries []*sentQuery
	var truncated []string
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 9 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for turn := i; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				sock, err := net.Dial("tcp", routers[turn%3].Address)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				sock.SetDeadline(time.Now().Add(standin.WaitTimeout))
				client := standin.NewClient(t, sock)
				if !client.Startup() {
					sock.Close()
					continue
				}
				var queue []*sentQuery // guarded by mu
				done := make(chan struct{})
				go func() { // writes at a fixed pace while fewer than maxUnanswered queries are unanswered
					for n := 0; ; n++ {
						select {
						case <-done:
							return
						case <-stop:
							sock.(*net.TCPConn).CloseWrite()
							return
						case <-time.After(pace):
						}
						text := standin.ReadQuery(timeoutMs)
						if n%3 == 2 {
							text = standin.WriteQuery("once", timeoutMs)
						}
						mu.Lock()
						if len(queue) < maxUnanswered {
							sent := &sentQuery{id: standin.RequestID(text), router: turn % 3, at: time.Now()}
							queries, queue = append(queries, sent), append(queue, sent)
							mu.Unlock()
							io.WriteString(sock, "Q"+string(binary.BigEndian.AppendUint32(nil, uint32(len(text)+5)))+text+"\x00")
							continue
						}
						mu.Unlock()
					}
				}()
				for {
					answer, err := client.ReadAnswer()
					mu.Lock()
					if err != nil {
						if answer != "" || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
							truncated = append(truncated, fmt.Sprintf("%q, %v", answer, err))
						}
						mu.Unlock()
						break
					}
					queue[0].answer, queue[0].took = answer, time.Since(queue[0].at)
					queue = queue[1:]
					mu.Unlock()
				}
				close(done)
				sock.Close()
			}
		}()
	}
	standin.WaitFor(t, "answers", func() bool { mu.Lock(); defer mu.Unlock(); return len(queries) > 300 })
	hangs.Store(true)
	finishingAt := make([]time.Time, len(routers)) // from then on the router may begin no request
	for i, router := range routers {
		start := time.Now()
		router.Cmd.Process.Signal(syscall.SIGTERM)
		standin.WaitFor(t, "finishing", func() bool { return router.Logged(`"finishing"`) })
		finishingAt[i] = time.Now().Add(50 * time.Millisecond)
		select {
		case err := <-router.Exit:
			if err != nil {
				t.Errorf("router %d ended with %v", i, err)
			}
		case <-time.After(time.Until(start.Add((700 + timeoutMs + 200) * time.Millisecond))):
			t.Errorf("router %d does not exit in time", i)
			router.Cmd.Process.Kill()
		}
	}
	close(stop)
	clients.Wait()
	ran := map[string]bool{}
	for _, node := range nodes {
		for _, attempt := range node.Executions() {
			ran[attempt.ID] = true
		}
	}
	outcomes := map[string]int{}
	for _, query := range queries {
		switch {
		case ran[query.id] && query.at.After(finishingAt[query.router]):
			outcomes["begun by a router about to exit"]++
		case query.answer == "" && ran[query.id]:
			outcomes["went to a node and has no answer"]++
		case query.answer == "":
			outcomes["never read"]++
		case strings.HasPrefix(query.answer, "from") && !ran[query.id]:
			outcomes["answered, but by no node"]++
		case query.took > (timeoutMs+500)*time.Millisecond: // with 500 ms of slack for a busy machine
			outcomes["late"]++
		default:
			outcomes[query.answer]++
		}
	}
	if len(truncated) > 0 || outcomes["went to a node and has no answer"]+outcomes["answered, but by no node"]+outcomes["late"]+
		outcomes["begun by a router about to exit"] > 0 || outcomes["from copy"] == 0 {
		t.Errorf("of %d: %v; truncated: %q", len(queries), outcomes, truncated[:min(len(truncated), 5)])
	}
	if !slices.ContainsFunc(queries, func(query *sentQuery) bool { return query.answer == "53300" }) {
		t.Error("no query was rejected by a router about to exit")
	}
}
