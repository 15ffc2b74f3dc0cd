package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// The router process is stopped for longer than the target latency while nodes answer at once: the answers wait in its
// sockets, so no node may be ejected for its silence. Target latency and stops are four times those of the platform's days: the
// nodes share this test's process, which may get no processor for tens of milliseconds, and are silent then.
func TestStopEjectsNoNode(t *testing.T) {
	t.Parallel()
	const clients, rounds, answerTime = 8, 10, 20 * time.Millisecond
	const targetLatency = 320 * time.Millisecond
	const stopFor, runFor = 600 * time.Millisecond, 250 * time.Millisecond
	primary, replica := standin.NewPair(t)
	for _, node := range []*standin.Node{primary, replica} {
		node.Handler = func(backend *standin.Backend, _ standin.Conn, _ string) {
			time.Sleep(answerTime)
			node.SendValue(backend, "from "+node.Role)
		}
	}
	router := newRouter(t, primary, replica)
	router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"aimUs":80000`,
		fmt.Sprintf(`"aimUs":%d`, targetLatency.Microseconds()))
	router.Start(os.Args[0])
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for number := range clients {
		client := router.Open("")
		client.Expect("empty")
		asking.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				query := standin.ReadQuery(4000)
				if number%2 == 0 {
					query = standin.WriteQuery("order", 4000)
				}
				if _, err := client.Query(query); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range rounds {
		time.Sleep(runFor)
		router.Cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(stopFor)
		router.Cmd.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(runFor)
	close(stop)
	asking.Wait()
	if router.Logged(`"msg":"ejected"`) {
		t.Error("a node was ejected, although only the router was stopped")
	}
}
