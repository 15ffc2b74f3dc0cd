package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sedgestream/internal/standin"
)

// The router can open no descriptor for longer than all attempts that the settings allow would take. As nothing was
// sent, no attempt is used up and no node is ejected: the request is served once descriptors are available again.
func TestDescriptorShortageLongerThanRetries(t *testing.T) {
	t.Parallel()
	const timeoutMs, shortage = 4000, time.Second
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	router.Settings = strings.NewReplacer(`"aimUs":80000`, `"aimUs":4000000`, `"probes":true`, `"probes":false`,
		`"peers":true`, `"peers":false`).Replace(standin.DefaultSettings)
	router.Start(os.Args[0])
	<-router.ListRequests
	client := router.Open("")
	client.Expect("empty")
	for _, query := range []string{standin.ReadQuery(timeoutMs), standin.WriteQuery("order", timeoutMs),
		standin.WriteQuery("once", timeoutMs)} {
		giveBack := takeDescriptors(t, router)
		for _, node := range router.Nodes {
			node.CloseConnections() // so that each request needs a new connection
		}
		start := time.Now()
		client.SendStatement(query)
		time.AfterFunc(shortage, giveBack)
		answer := client.Answer()
		if took := time.Since(start); !strings.HasPrefix(answer, "from ") || took < shortage {
			t.Errorf("answered %q after %v", answer, took)
		}
	}
	if router.Logged(`"msg":"ejected"`) {
		t.Error("a node was ejected although only the router lacked descriptors")
	}
}

// The same where the target latency is shorter than the wait for a descriptor may be: the wait is no silence of the
// node. Requests are answered while the shortage lasts, and served after it.
func TestDescriptorShortageIsNoSilence(t *testing.T) {
	t.Parallel()
	const timeoutMs, shortage, rounds = 4000, 400 * time.Millisecond, 5
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	router.Settings = strings.NewReplacer(`"probes":true`, `"probes":false`, `"peers":true`, `"peers":false`).Replace(standin.DefaultSettings)
	router.Start(os.Args[0])
	<-router.ListRequests
	client := router.Open("")
	client.Expect("empty")
	for range rounds {
		endShortage := takeDescriptors(t, router)
		for _, node := range router.Nodes {
			node.CloseConnections()
		}
		for end := time.Now().Add(shortage); time.Now().Before(end); {
			client.SendStatement(standin.WriteQuery("order", timeoutMs))
			if answer := client.Answer(); answer != "53300" && !strings.HasPrefix(answer, "from ") {
				t.Errorf("answered %q", answer)
			}
		}
		endShortage()
		client.SendStatement(standin.WriteQuery("order", timeoutMs))
		if answer := client.Answer(); answer != "from source" {
			t.Errorf("after the shortage answered %q", answer)
		}
	}
	if router.Logged(`"msg":"ejected"`) {
		t.Error("a node was ejected although only the router lacked descriptors")
	}
}

// takeDescriptors lets the router open no further descriptor, and returns the function that ends this.
func takeDescriptors(t *testing.T, router *standin.Harness) (giveBack func()) {
	t.Helper()
	var limit unix.Rlimit
	if err := unix.Prlimit(router.Cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		t.Fatal(err)
	}
	set := func(limit unix.Rlimit) {
		if err := unix.Prlimit(router.Cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			t.Fatal(err)
		}
	}
	set(unix.Rlimit{Cur: 3, Max: limit.Max})
	return func() { set(limit) }
}
