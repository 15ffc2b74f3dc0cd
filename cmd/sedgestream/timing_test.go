package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"sedgestream/internal/standin"
)

// Clients leave while a connection for their requests is being established: none of the requests is sent once it is.
func TestClientsLeaveDuringConnect(t *testing.T) {
	t.Parallel()
	node := standin.NewNode(t, "source")
	startups, release := make(chan struct{}, 100), make(chan struct{})
	node.OnStartup = func(net.Conn) bool { startups <- struct{}{}; <-release; return true }
	router := newRouter(t, node)
	// A long target latency, since a node that is silent for longer than the target is ejected.
	router.Settings = strings.NewReplacer(`"probes":true`, `"probes":false`, `"aimUs":80000`, `"aimUs":20000000`).Replace(standin.DefaultSettings)
	router.Start(os.Args[0])
	var clients []*standin.Client
	for i := range 9 {
		clients = append(clients, router.Open(standin.WriteQuery([]string{"once", "order"}[i%2], 20000)))
	}
	const quiet = 200 * time.Millisecond
	connecting := 0 // as many as the initial concurrency limit of the node allows, which is partly random
	for more := true; more; {
		select {
		case <-startups:
			connecting++
		case <-time.After(quiet):
			more = connecting < 2
		}
	}
	before := router.Descriptors()
	for _, client := range clients {
		client.Conn.Close()
	}
	standin.WaitFor(t, "the clients' connections to end", func() bool { return router.Descriptors() <= before-len(clients) })
	close(release)
	router.Open(standin.WriteQuery("once", 20000)).Expect("from source")
	if requests := node.Statements(); len(requests) != 1 {
		t.Errorf("the node got %d requests of clients that had left: %q", len(requests)-1, requests)
	}
}

// A node begins to drain while connections for requests are being established: after the drain grace no request
// begins there, and the requests go to another node.
func TestNodeDrainsDuringConnect(t *testing.T) {
	t.Parallel()
	primary, replica := standin.NewPair(t)
	startups, release := make(chan struct{}, 100), make(chan struct{})
	replica.OnStartup = func(net.Conn) bool { startups <- struct{}{}; <-release; return true }
	router := newRouter(t, primary, replica)
	router.WholeLines = true
	router.Settings = strings.NewReplacer(`"probes":true`, `"probes":false`, `"aimUs":80000`, `"aimUs":20000000`).Replace(standin.DefaultSettings)
	router.Start(os.Args[0])
	<-router.ListRequests
	var clients []*standin.Client
	for range 3 {
		clients = append(clients, router.Open(standin.ReadQuery(20000)))
	}
	<-startups
	router.Updates <- `{"version":8,"full":false,"servers":[` + router.ListEntries("up", "draining") + "]}\n"
	time.Sleep(800 * time.Millisecond) // past the drain grace of 500 ms
	close(release)
	answers := map[string]int{}
	for _, client := range clients {
		answers[client.Answer()]++
	}
	// The primary's concurrency limit is partly random.
	if answers["from source"] == 0 || answers["from source"]+answers["53300"] < len(clients) {
		t.Errorf("answered %v", answers)
	}
	if requests := replica.Statements(); len(requests) != 0 {
		t.Errorf("the draining node got %d requests", len(requests))
	}
}

// A client writes more than the router reads at a time and leaves: the queries behind its requests in flight are
// not sent, although the end of its connection is behind unread bytes.
func TestClientLeavesWithFullBuffer(t *testing.T) {
	t.Parallel()
	node := standin.NewNode(t, "source")
	release := make(chan struct{})
	node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) { <-release; node.SendValue(backend, "v") }
	router := newRouter(t, node)
	router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"aimUs":80000`, `"aimUs":20000000`)
	router.Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	for range 200 {
		client.Send(&pgproto3.Query{String: standin.WriteQuery("once", 20000)})
	}
	client.Flush()
	standin.WaitFor(t, "requests at the node", func() bool { return len(node.Statements()) >= 4 })
	time.Sleep(100 * time.Millisecond)      // the router has read as much as it will
	client.Conn.(*net.TCPConn).CloseWrite() // the client keeps reading, so that no write of an answer fails
	go io.Copy(io.Discard, client.Conn)
	time.Sleep(300 * time.Millisecond) // from here on no query of the client may be sent
	got := len(node.Statements())
	close(release)
	router.Open(standin.WriteQuery("once", 20000)).Expect("v")
	time.Sleep(100 * time.Millisecond)
	if more := len(node.Statements()) - got - 1; more > 0 {
		t.Errorf("%d requests were sent for a client that had left", more)
	}
}

// Whatever a node does, the client gets its answer before its own deadline, in most tries on a busy machine.
func TestAnsweredBeforeDeadline(t *testing.T) {
	t.Parallel()
	endless := func(backend *pgproto3.Backend, conn net.Conn, _ string) { // never ends
		conn.Write([]byte("T\x00\x00\x00\x1d\x00\x01body\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01D\x00\x00\xff\x00"))
		for _, err := conn.Write([]byte("v")); err == nil; _, err = conn.Write([]byte("v")) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	silent := func(backend *pgproto3.Backend, conn net.Conn, _ string) { io.Copy(io.Discard, conn) }
	for name, handler := range map[string]func(*pgproto3.Backend, net.Conn, string){"silent": silent, "never ends": endless} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := standin.NewNode(t, "source")
			node.Handler = handler
			router := newRouter(t, node)
			router.Settings = strings.ReplaceAll(standin.DefaultSettings, `"aimUs":80000`, `"aimUs":300000`) // the node is not ejected
			router.Start(os.Args[0])
			client := router.Open("")
			client.Expect("empty")
			const timeoutMs, tries = 280, 7
			late := 0
			for range tries {
				start := time.Now()
				client.SendStatement(standin.WriteQuery("once", timeoutMs))
				if answer := client.Answer(); answer != "57014" {
					t.Fatalf("answered %q", answer)
				}
				if time.Since(start) > timeoutMs*time.Millisecond {
					late++
				}
			}
			if late > tries/2 {
				t.Errorf("%d of %d answers came after their clients had given up", late, tries)
			}
		})
	}
}

// A query that arrives some time after a long one on the same connection has its full deadline: its waiting time
// counts from its own arrival, not from that of the long query.
func TestDeadlineAfterLongQuery(t *testing.T) {
	t.Parallel()
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica).Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	for _, size := range []int{1000, 2500, 3900, 9000, 60000} {
		client.SendStatement(strings.Replace(standin.WriteQuery("order", 20000), `\x9f03`, `\x`+strings.Repeat("ab", size/2), 1))
		client.Expect("from source")
		time.Sleep(400 * time.Millisecond)
		client.SendStatement(standin.ReadQuery(300))
		if answer := client.Answer(); !strings.HasPrefix(answer, "from") {
			t.Errorf("after a query of %d bytes the next is answered %q", size, answer)
		}
	}
}

// All watches of several routers go silent, a node begins to drain right after, and the list that announces it is
// indented JSON. Each router gets the list within the time allowed, and sends the node nothing after the grace. The
// same holds where discovery accepts connections but answers nothing for a while.
func TestWatchesGoSilent(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name             string
		down             time.Duration
		earliest, latest time.Duration // until the next watch, from the silence or from the recovery of discovery
	}{{"silent", 0, time.Second, 4500 * time.Millisecond}, {"silent and discovery down", 8 * time.Second, 0, 2500 * time.Millisecond}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			primary, replica := standin.NewPair(t)
			other := standin.NewNode(t, "copy")
			var routers []*standin.Harness
			for range 3 {
				router := newRouter(t, primary, replica, other)
				router.WholeLines = true
				router.Settings = strings.Replace(standin.DefaultSettings, `"askEveryUs":1000000`, `"askEveryUs":10000000`, 1)
				router.Start(os.Args[0])
				<-router.ListRequests
				routers = append(routers, router)
			}
			var updates sync.WaitGroup
			for i, router := range routers {
				updates.Add(1)
				go func() {
					defer updates.Done()
					since := time.Now()
					router.SetDiscoveryDown(test.down > 0)
					router.SilenceWatches()
					if test.down > 0 {
						time.Sleep(test.down)
						router.SetDiscoveryDown(false)
						since = time.Now()
					}
					version := <-router.ListRequests
					if took := time.Since(since); took < test.earliest || took > test.latest || version != "7" {
						t.Errorf("router %d resumed its watch at version %s after %v", i, version, took)
					}
					list := `{"version":8,"full":false,"servers":[` + router.ListEntries("up", "draining", "up") + "]}\n"
					router.Updates <- strings.NewReplacer("{", "{\n  ", ",", ",\n  ", "}", "\n}").Replace(list)
				}()
			}
			updates.Wait()
			time.Sleep(500 * time.Millisecond) // the drain grace
			before := len(replica.Statements())
			for _, router := range routers {
				client := router.Open("")
				client.Expect("empty")
				for range 40 {
					client.SendStatement(standin.ReadQuery(20000))
					if answer := client.Answer(); !strings.HasPrefix(answer, "from") {
						t.Fatalf("answered %q", answer)
					}
				}
			}
			if n := len(replica.Statements()) - before; n > 0 {
				t.Errorf("%d requests went to the draining node", n)
			}
		})
	}
}

// Discovery accepts calls but answers none for a while, and a node begins to drain. The drain counts as announced
// when discovery recovers, which is just after a call that is never answered. No router begins a request at the
// node after the grace, although clients send requests all the time.
func TestNodeDrainsAsDiscoveryRecovers(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	primary, replica := standin.NewPair(t)
	other := standin.NewNode(t, "copy")
	var routers []*standin.Harness
	for range 3 {
		router := newRouter(t, primary, replica, other)
		router.WholeLines, router.CallTimes = true, make(chan time.Time, 1000)
		router.Settings = strings.NewReplacer(`"askEveryUs":1000000`, `"askEveryUs":10000000`, `"drainGraceUs":500000`, `"drainGraceUs":1000000`,
			`"probes":true`, `"probes":false`).Replace(standin.DefaultSettings)
		router.Start(os.Args[0])
		<-router.ListRequests
		routers = append(routers, router)
	}
	var tasks sync.WaitGroup
	announcedAt, stop := make([]time.Time, len(routers)), make(chan struct{})
	for i, router := range routers {
		tasks.Add(2)
		go func() {
			defer tasks.Done()
			client := router.Open("")
			client.Expect("empty")
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				query := strings.Replace(standin.ReadQuery(20000), "id=0", fmt.Sprintf("id=%d", i), 1)
				if answer, err := client.Query(query); err != nil || !strings.HasPrefix(answer, "from") {
					t.Errorf("router %d answered %q, %v", i, answer, err)
					return
				}
			}
		}()
		go func() {
			defer tasks.Done()
			router.SetDiscoveryDown(true)
			router.SilenceWatches()
			time.Sleep(6 * time.Second)
			for len(router.CallTimes) > 0 {
				<-router.CallTimes
			}
			<-router.CallTimes // this call is never answered
			time.Sleep(10 * time.Millisecond)
			router.SetDiscoveryDown(false)
			announcedAt[i] = time.Now()
			router.Updates <- `{"version":8,"full":false,"servers":[` + router.ListEntries("up", "draining", "up") + "]}\n"
			time.Sleep(time.Until(announcedAt[i].Add(3 * grace)))
		}()
	}
	served := func() int { return len(replica.Executions()) }
	standin.WaitFor(t, "requests at the node", func() bool { return served() > 30 })
	go func() { time.Sleep(12 * time.Second); close(stop) }()
	tasks.Wait()
	late := map[int]time.Duration{}
	for _, attempt := range replica.Executions() {
		if i := int(attempt.ID[0] - '0'); attempt.ReceivedAt.After(announcedAt[i].Add(grace + 50*time.Millisecond)) {
			late[i] = max(late[i], attempt.ReceivedAt.Sub(announcedAt[i]))
		}
	}
	if len(late) > 0 {
		t.Errorf("requests were begun at the draining node after %v, by router", late)
	}
}

// The first attempt of a deduplicated request ends as one that may have run, and the connection for the retry is
// established only after the retry window: the retry is not sent and the request fails. Within the window it is
// sent.
func TestRepeatAfterSlowConnect(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		window, connectDelay time.Duration
		answer               string
		runs                 int
	}{{400 * time.Millisecond, 600 * time.Millisecond, "57014", 1}, {20 * time.Second, 600 * time.Millisecond, "from source", 2}} {
		node := standin.NewNode(t, "source")
		var requests, sessions atomic.Int32
		node.OnStartup = func(net.Conn) bool {
			if sessions.Add(1) > 1 {
				time.Sleep(test.connectDelay)
			}
			return true
		}
		node.Handler = func(backend *pgproto3.Backend, conn net.Conn, _ string) {
			if requests.Add(1) == 2 {
				conn.Close()
				return
			}
			node.SendValue(backend, "from source")
		}
		router := newRouter(t, node)
		router.Settings = strings.NewReplacer(`"windowUs":30000000`, fmt.Sprintf(`"windowUs":%d`, test.window.Microseconds()),
			`"aimUs":80000`, `"aimUs":20000000`, `"probes":true`, `"probes":false`).Replace(standin.DefaultSettings)
		router.Start(os.Args[0])
		router.Open(standin.WriteQuery("order", 20000)).Expect("from source") // finds the primary
		if answer := router.Open(standin.WriteQuery("order", 20000)).Answer(); answer != test.answer || int(requests.Load()) != 1+test.runs {
			t.Errorf("window %v: answered %q after %d runs, want %q after %d", test.window, answer, requests.Load()-1, test.answer, test.runs)
		}
	}
}

// A bounded read is assigned to a replica that is fresh enough, but the connection is established only when that is
// no longer known. The read goes to the primary if nodes do not check freshness themselves, and to the replica if
// they do.
func TestBoundedReadAfterSlowConnect(t *testing.T) {
	t.Parallel()
	for _, checks := range []string{"none", "await"} {
		primary, replica := standin.NewPair(t)
		var sessions atomic.Int32
		release := make(chan struct{})
		replica.OnStartup = func(net.Conn) bool {
			if sessions.Add(1) > 1 {
				time.Sleep(500 * time.Millisecond)
			}
			return true
		}
		replica.Handler = func(backend *pgproto3.Backend, _ net.Conn, query string) {
			if strings.Contains(query, "c=now") {
				<-release
			}
			backend.Send(&pgproto3.ParameterStatus{Name: "as_of", Value: fmt.Sprint(time.Now().UnixMilli())})
			replica.SendValue(backend, "from copy")
		}
		router := newRouter(t, primary, replica)
		router.Settings = strings.NewReplacer(`{"name":"once"`, `{"name":"now","aimUs":80000,"deadlineUs":30000000,"repeat":"pure","worth":1.0},
{"name":"once"`, `["eventual","mutate","mutate"]`, `["eventual","mutate","lag_bound","mutate"],"stalenessBoundUs":[0,0,300000,0]`,
			`"serverChecks":"await"`, fmt.Sprintf(`"serverChecks":%q`, checks)).Replace(standin.DefaultSettings)
		router.Settings = strings.NewReplacer(`"aimUs":80000`, `"aimUs":20000000`, `"probes":true`, `"probes":false`).Replace(router.Settings)
		router.Start(os.Args[0])
		boundedRead := func() string { return strings.Replace(standin.ReadQuery(20000), "c=view", "c=now", 1) }
		router.Open(standin.WriteQuery("once", 20000)).Expect("from source") // finds the primary
		router.Open(standin.ReadQuery(20000)).Expect("from copy")            // and the position of the replica
		first := router.Open(boundedRead())                                  // over the open connection
		standin.WaitFor(t, "the first read", func() bool { return len(replica.Statements()) == 2 })
		var others []*standin.Client // some of these need another connection
		for range 8 {
			others = append(others, router.Open(boundedRead()))
		}
		standin.WaitFor(t, "another connection", func() bool { return sessions.Load() > 1 })
		if checks == "await" {
			close(release)
		}
		answers := map[string]int{}
		for _, client := range others {
			answers[client.Answer()]++
		}
		if other := map[string]string{"none": "from source", "await": "from copy"}[checks]; answers[other] == 0 ||
			answers[other]+answers["53300"] < len(others) {
			t.Errorf("with node checks %q, answered %v", checks, answers)
		}
		if checks != "await" {
			close(release)
		}
		first.Expect("from copy")
	}
}
