package main

import (
	"maps"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// The router process is stopped for 0.15 s several times while many clients send requests as fast as they can, and
// all clients leave right after each stop, some of them by a cancel request. Once the process continues, no attempt
// may begin for these requests, except for the one that the single core was about to write: the router cannot check
// again between its last check and the system call. The subtest checks that not even that one begins.
func TestClientsGoneWhileProcessIsStopped(t *testing.T) {
	t.Parallel()
	const clients, rounds, stopFor, slack = 64, 10, 150 * time.Millisecond, 100 * time.Millisecond
	primary, replica := standin.NewPair(t)
	nodes := []*standin.Node{primary, replica}
	for _, node := range nodes {
		node.Handler = func(backend *pgproto3.Backend, _ net.Conn, _ string) {
			time.Sleep(time.Millisecond)
			node.SendValue(backend, "from "+node.Role)
		}
	}
	router := newRouter(t, nodes...)
	router.Limits = `{"cores":1,"memory_mb":192,"sockets":1024}`
	router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"aimUs":80000`, `"aimUs":8000000`)
	router.Start(os.Args[0])
	answered, late := 0, 0
	for round := range rounds {
		lateClosed, lateCanceled := 0, 0
		var mu sync.Mutex
		var asking sync.WaitGroup
		open := make([]*standin.Client, clients)
		asked := map[string]int{} // the client of each request in flight
		for k := range open {
			open[k] = router.Open("")
			open[k].Expect("empty")
			asking.Add(1)
			go func() {
				defer asking.Done()
				for i := 0; ; i++ {
					query := standin.ReadQuery(8000)
					if k%2 == 0 {
						query = standin.WriteQuery("order", 8000)
					}
					mu.Lock()
					asked[standin.RequestID(query)] = k
					mu.Unlock()
					if answer, err := open[k].Query(query); err != nil || answer == "57014" {
						return
					}
					mu.Lock()
					delete(asked, standin.RequestID(query))
					answered++
					mu.Unlock()
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		router.Suspend()
		time.Sleep(5 * time.Millisecond) // the clients have read all answers sent before the stop
		mu.Lock()
		leaving := maps.Clone(asked)
		mu.Unlock()
		for k, client := range open {
			if leavesByCancel(k) {
				sendCancel(t, client)
			} else {
				client.Conn.Close()
			}
		}
		leftAt := time.Now()
		time.AfterFunc(2*stopFor, func() {
			for _, client := range open {
				client.Conn.Close()
			}
		})
		time.Sleep(stopFor)
		router.Resume()
		asking.Wait()
		time.Sleep(stopFor)
		for _, node := range nodes {
			for _, attempt := range node.Executions() {
				k, leaves := leaving[attempt.ID]
				switch {
				case !leaves || attempt.ReceivedAt.Before(leftAt.Add(slack)):
				case leavesByCancel(k):
					lateCanceled++
				default:
					lateClosed++
				}
			}
		}
		late += lateClosed + lateCanceled
		if lateClosed+lateCanceled > 1 {
			t.Errorf("round %d: %d attempts began over %v after their client had closed, %d after it had canceled them", round,
				lateClosed, slack, lateCanceled)
		}
	}
	t.Run("not a single late attempt", func(t *testing.T) {
		if late > 0 {
			t.Errorf("%d attempts began for clients that had gone", late)
		}
	})
	if answered < clients*rounds {
		t.Errorf("only %d requests were answered: the test checks too little", answered)
	}
}

// Connections to nodes are established while the router process is stopped, and the clients whose attempts wait for
// them leave meanwhile, half of them by a cancel request: nothing is written over any of these connections.
func TestClientsGoneAsConnectsFinishWhileProcessIsStopped(t *testing.T) {
	t.Parallel()
	const nodeCount, clients, minConnecting, stopFor = 8, 24, 6, 150 * time.Millisecond
	release := make(chan struct{})
	var connecting atomic.Int32
	var nodes []*standin.Node
	for range nodeCount {
		node := standin.NewNode(t, "copy")
		node.OnStartup = func(net.Conn) bool { connecting.Add(1); <-release; return true }
		nodes = append(nodes, node)
	}
	router := newRouter(t, nodes...)
	router.Settings = longTargetSettings
	router.Start(os.Args[0])
	var open []*standin.Client
	for range clients {
		client := router.Open("")
		client.Expect("empty")
		open = append(open, client)
	}
	for _, client := range open {
		client.SendStatement(standin.ReadQuery(20000))
	}
	standin.WaitFor(t, "connections being established", func() bool { return connecting.Load() >= minConnecting })
	time.Sleep(stopFor)
	router.Suspend()
	close(release)
	for k, client := range open {
		if k%2 == 0 {
			client.Conn.Close()
		} else {
			sendCancel(t, client)
		}
	}
	time.Sleep(stopFor)
	router.Resume()
	time.Sleep(2 * stopFor)
	got := 0
	for _, node := range nodes {
		got += len(node.Statements())
	}
	if got > 0 {
		t.Errorf("%d attempts began for clients that had left", got)
	}
	other := router.Open("")
	other.Expect("empty")
	standin.WaitFor(t, "a client that stays to be served", func() bool {
		other.SendStatement(standin.ReadQuery(1000))
		return other.Answer() == "from copy"
	})
}

// leavesByCancel reports whether a client leaves by a cancel request.
func leavesByCancel(client int) bool { return client%4 == 3 }

// sendCancel sends a cancel request for what a client is waiting for, and does not wait for the router to read it.
func sendCancel(t *testing.T, client *standin.Client) {
	sock, err := net.Dial("tcp", client.Conn.RemoteAddr().String())
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { sock.Close() })
	frontend := pgproto3.NewFrontend(sock, sock)
	frontend.Send(&pgproto3.CancelRequest{ProcessID: client.CancelKey.ProcessID, SecretKey: client.CancelKey.SecretKey})
	frontend.Flush()
}

// Hundreds of clients cancel while the router process is stopped, and the connections that their attempts wait for
// are established meanwhile. The process then gets a tenth of a core, so that reading the cancel requests from the
// listener's backlog takes longer than any fixed pause. No attempt may begin for a request whose cancel request
// arrived before.
func TestManyCancelsWhileProcessIsStopped(t *testing.T) {
	t.Parallel()
	const nodeCount, clients, minConnecting, stopFor = 96, 256, 240, 150 * time.Millisecond
	release := make(chan struct{})
	var connecting atomic.Int32
	var nodes []*standin.Node
	for range nodeCount {
		node := standin.NewNode(t, "copy")
		node.OnStartup = func(net.Conn) bool { connecting.Add(1); <-release; return true }
		nodes = append(nodes, node)
	}
	router := newRouter(t, nodes...)
	router.Limits = `{"cores":1,"memory_mb":192,"sockets":4096}`
	router.Settings = strings.ReplaceAll(longTargetSettings, `"aimUs":80000`, `"aimUs":8000000`)
	router.Start(os.Args[0])
	var open []*standin.Client
	for range clients {
		client := router.Open("")
		client.Expect("empty")
		open = append(open, client)
	}
	for _, client := range open {
		client.SendStatement(standin.ReadQuery(20000))
	}
	standin.WaitFor(t, "connections being established", func() bool { return connecting.Load() >= minConnecting })
	time.Sleep(stopFor)
	router.Suspend()
	close(release)
	for _, client := range open {
		sendCancel(t, client)
	}
	time.Sleep(stopFor)
	for range 100 { // the process runs a tenth of the time
		router.Cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(time.Millisecond)
		router.Cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(9 * time.Millisecond)
	}
	router.Resume()
	time.Sleep(2 * stopFor)
	begunAttempts := 0
	for _, node := range nodes {
		begunAttempts += len(node.Executions())
	}
	if begunAttempts > 0 {
		t.Errorf("%d attempts began for requests that had been canceled", begunAttempts)
	}
	for _, client := range open {
		client.Expect("57014")
	}
}

// A query and its cancel request both arrive while the router process is stopped. They are in separate socket
// queues, so the router may read the cancel request first. It still applies to the query that its client had sent
// by then, and no attempt may begin. Found by the soak test (seed 5): the query was read 0.1 ms after the stop and
// its attempt was written 31 ms later, although the cancel request had arrived 0.15 s before.
func TestCancelReadBeforeItsQuery(t *testing.T) {
	t.Parallel()
	const clients, rounds, stopFor = 48, 4, 150 * time.Millisecond
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	router.Settings = longTargetSettings
	router.Start(os.Args[0])
	var open []*standin.Client
	for range clients {
		client := router.Open("")
		client.Expect("empty")
		open = append(open, client)
	}
	for round := range rounds {
		before := len(replica.Executions()) + len(primary.Executions())
		router.Suspend()
		time.Sleep(5 * time.Millisecond)
		for _, client := range open {
			client.SendStatement(standin.ReadQuery(20000))
		}
		for _, client := range open {
			sendCancel(t, client)
		}
		time.Sleep(stopFor)
		router.Resume()
		for _, client := range open {
			client.Answer() // canceled or rejected
		}
		if begunAttempts := len(replica.Executions()) + len(primary.Executions()) - before; begunAttempts > 0 {
			t.Errorf("round %d: %d attempts began for requests that had been canceled", round, begunAttempts)
		}
	}
}
