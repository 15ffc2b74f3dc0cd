package main

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// copyingNode is a node that sends a share of its answers a second time a little later, before it reads on, and turns a share
// of its statements away. It answers with the statement's id.
type copyingNode struct {
	*standin.Node
	mu   sync.Mutex
	runs map[string]int // how often each id has run
}

const (
	copiedShare     = 0.2
	turnedAwayShare = 0.2
)

func newCopyingNode(t *testing.T, role string) *copyingNode {
	node := &copyingNode{Node: standin.NewNode(t, role), runs: map[string]int{}}
	node.RejectReplicaWrites = true
	node.RepeatsEmptyAnswers = true
	node.RepeatPause = time.Millisecond
	node.Handler = func(backend *standin.Backend, conn standin.Conn, query string) {
		id := standin.RequestID(query)
		time.Sleep(2 * time.Millisecond)
		answer := func() { node.SendValue(backend, id) }
		if standin.IDFraction(query) < turnedAwayShare {
			answer = func() { node.ErrorHandler("53300")(backend, conn, query) }
		} else {
			node.mu.Lock()
			node.runs[id]++
			node.mu.Unlock()
		}
		answer()
		if standin.IDFraction("copy "+query) < copiedShare {
			time.Sleep(time.Duration(200+800*standin.IDFraction(query)) * time.Microsecond)
			answer()
		}
	}
	return node
}

// Nodes send a fifth of their answers twice, rejections too, up to a millisecond apart. No client is served with the value of
// another request, and no request that must not run twice does, as the rejection of the one before it would be taken for its
// own (docs/incidents/second-copies-of-answers.md).
func TestSecondCopiesOfAnswers(t *testing.T) {
	const clients, span = 24, 3 * time.Second
	nodes := []*copyingNode{newCopyingNode(t, "source"), newCopyingNode(t, "copy"), newCopyingNode(t, "copy")}
	router := newRouter(t, nodes[0].Node, nodes[1].Node, nodes[2].Node)
	router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"deadlineUs":30000000`, `"deadlineUs":2000000`)
	router.Start(os.Args[0])
	var served, foreign, other atomic.Int64
	var running sync.WaitGroup
	until := time.Now().Add(span)
	for i := range clients {
		running.Go(func() {
			client := router.Open("")
			client.Answer()
			for time.Now().Before(until) {
				query := []string{standin.ReadQuery(1500), standin.WriteQuery("order", 1500), standin.WriteQuery("once", 1500)}[i%3]
				answer, err := client.Query(query)
				switch {
				case err != nil:
					t.Error(err)
					return
				case answer == standin.RequestID(query):
					served.Add(1)
				case len(answer) == len("53300"):
					other.Add(1)
				default:
					foreign.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	running.Wait()
	twice := 0
	for _, node := range nodes {
		for _, runs := range node.runs {
			if runs > 1 {
				twice++
			}
		}
	}
	t.Logf("%d served, %d rejected or failed, %d served with the value of another request, %d ran twice",
		served.Load(), other.Load(), foreign.Load(), twice)
	if foreign.Load() > 0 || twice > 0 {
		t.Errorf("%d requests were served with the value of another one, and %d ran twice", foreign.Load(), twice)
	}
	if served.Load() < 2*other.Load() {
		t.Errorf("%d requests served and %d not", served.Load(), other.Load())
	}
}
