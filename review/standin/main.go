// Command case plays one case of the review: its stand-ins and clients around a router process. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is what every case has: a record, nodes of one group, discovery and a router.
type world struct {
	root, dir string
	trouble   bool
	record    *record
	nodes     []*node
	known     list
	router    *router
}

// cases returns whether the rule was broken, or why the case could not run.
// Each case's file enters its own.
var cases = map[string]func(w *world) (broken bool, err error){}

// background are tasks that end with the process. Nobody waits for them.
var background sync.WaitGroup

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME ROOT RECORD")
		os.Exit(2)
	}
	broken, err := play(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func play(name, root, recordPath string) (broken bool, err error) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0"}
	if w.root, err = filepath.Abs(root); err != nil {
		return false, err
	}
	if w.record, err = newRecord(recordPath); err != nil {
		return false, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return false, err
	}
	end := func() {
		w.router.kill()
		os.RemoveAll(w.dir)
	}
	defer end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	background.Go(func() {
		<-stop
		end()
		os.Exit(2)
	})
	w.record.say("case %s, with the disruption: %v", name, w.trouble)
	return cases[name](w)
}

// open starts the nodes of one group, the first of them its primary, discovery, and a router.
func (w *world) open(nodes int, work time.Duration, l limits) error {
	for i := range nodes {
		n, err := startNode(fmt.Sprintf("s-%d", i), i == 0, work, w.record)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	w.known = listOf(w.nodes)
	discovery, err := startDiscovery(w.known)
	if err != nil {
		return err
	}
	w.router, err = startRouter(w.root, w.dir, discovery, w.known, l)
	return err
}
