package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sedgestream/internal/message"
	"sedgestream/internal/standin"
)

var (
	tierSeed = flag.Uint64("tier.seed", 18, "seed of the scenario of failures")
	tierSpan = flag.Duration("tier.span", 12*time.Second, "duration of the scenario")
)

// Times of the tier under test, as in its file and tierSettings.
const (
	tierTerm       = 400 * time.Millisecond
	tierPeriod     = 50 * time.Millisecond
	tierDrainGrace = 500 * time.Millisecond
	tierColdPeriod = 5 * time.Second
	tierFallWindow = time.Second
	clockSlack     = 250 * time.Millisecond // slack of checks against the clock, for a busy machine
)

// tierSettings has a class of fresh reads (now), nodes that stay cold for some seconds, and short times.
var tierSettings = standin.ShortTimeoutSettings

// tierHarness runs forwarders and planners among nodes. Each forwarder has a discovery list of its own.
type tierHarness struct {
	t            *testing.T
	path         string
	addrs        []string
	planners     []*exec.Cmd
	plannerEnded []chan struct{} // closed as each planner's process ends
	nodes        []*standin.Node
	routers      []*standin.Harness

	mu       sync.Mutex
	requests map[string]*sentRequest
}

// sentRequest is a request as its client sees it.
type sentRequest struct {
	class     string
	forwarder int
	sentAt    time.Time
	took      time.Duration
	answer    string
	excused   bool // its forwarder was killed while it was in flight
}

// newTierHarness starts the planners and forwarders. members replaces the default members of the tier file, beside the
// planners.
func newTierHarness(t *testing.T, forwarders, planners int, nodes []*standin.Node, members ...string) *tierHarness {
	harness := &tierHarness{t: t, nodes: nodes, requests: map[string]*sentRequest{}, path: filepath.Join(t.TempDir(), "tier.json")}
	var list []string
	for planner := range planners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		datagrams, err := net.ListenPacket("udp", listener.Addr().String()) // a port that is free for TCP may be in use for UDP
		for ; err != nil; datagrams, err = net.ListenPacket("udp", listener.Addr().String()) {
			listener.Close()
			if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
		}
		datagrams.Close()
		harness.addrs = append(harness.addrs, listener.Addr().String())
		listener.Close()
		list = append(list, fmt.Sprintf(`{"name": "p%d", "address": %q}`, planner, harness.addrs[planner]))
	}
	if members == nil {
		members = []string{fmt.Sprintf(`"term": %q, "period": %q`, tierTerm, tierPeriod)}
	}
	os.WriteFile(harness.path, fmt.Appendf(nil, `{"version": 1, %s, "planners": [%s]}`, strings.Join(members, ","),
		strings.Join(list, ",")), 0o600)
	harness.planners, harness.plannerEnded = make([]*exec.Cmd, planners), make([]chan struct{}, planners)
	for planner := range planners {
		harness.startPlanner(planner)
	}
	for forwarder := range forwarders {
		router := newRouter(t, nodes...)
		router.RouterName, router.Settings = fmt.Sprintf("f%d", forwarder), tierSettings
		router.Args = []string{"forward", "--tier", harness.path}
		router.Start(os.Args[0])
		harness.routers = append(harness.routers, router)
	}
	return harness
}

// startPlanner starts a planner and waits until it is ready.
func (harness *tierHarness) startPlanner(planner int) {
	cmd := exec.Command(os.Args[0], "plan", "--tier", harness.path, "--name", fmt.Sprintf("p%d", planner))
	cmd.Env = append(os.Environ(), routerProcessEnv+"=1")
	out, _ := cmd.StderrPipe()
	if err := cmd.Start(); err != nil {
		harness.t.Fatal(err)
	}
	ready := make(chan bool, 1)
	log, ended := &strings.Builder{}, make(chan struct{})
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			harness.mu.Lock()
			fmt.Fprintln(log, lines.Text())
			harness.mu.Unlock()
			if strings.Contains(lines.Text(), `"planning"`) {
				ready <- true
			}
		}
		cmd.Wait()
		close(ready)
		close(ended)
	}()
	harness.planners[planner], harness.plannerEnded[planner] = cmd, ended
	harness.t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		harness.mu.Lock()
		defer harness.mu.Unlock()
		if s := log.String(); harness.t.Failed() || strings.Contains(s, "panic") || strings.Contains(s, "DATA RACE") {
			harness.t.Errorf("planner %d:\n%s", planner, s)
		}
	})
	select {
	case ok := <-ready:
		if !ok {
			harness.t.Fatal("a planner ended")
		}
	case <-time.After(standin.WaitTimeout):
		harness.t.Fatal("a planner is not ready in time")
	}
}

// startClients runs clients of a forwarder until stop is closed; they reconnect when the forwarder is killed.
func (harness *tierHarness) startClients(forwarder, clients int, stop chan struct{}, running *sync.WaitGroup, down func() bool) {
	for i := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			for n := i; ; {
				select {
				case <-stop:
					return
				default:
				}
				sock, err := net.Dial("tcp", harness.address(forwarder))
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				sock.SetDeadline(time.Now().Add(time.Minute))
				n = harness.sendRequests(forwarder, n, sock, stop, down)
				sock.Close()
			}
		}()
	}
}

func (harness *tierHarness) address(forwarder int) string {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	return harness.routers[forwarder].Address
}

// sendRequests sends requests over one connection until it ends, and returns the number of the next request.
func (harness *tierHarness) sendRequests(forwarder, n int, sock net.Conn, stop chan struct{}, down func() bool) int {
	client := standin.NewClient(harness.t, sock)
	if !client.Startup() {
		return n
	}
	for ; ; n++ {
		select {
		case <-stop:
			return n
		default:
		}
		class := []string{"view", "view", "view", "now", "order", "once"}[n%6]
		query := standin.WriteQuery(class, 2000)
		if class == "view" || class == "now" {
			query = strings.Replace(standin.ReadQuery(2000), "c=view", "c="+class, 1)
		}
		_, id, _ := strings.Cut(query, "id=")
		id, _, _ = strings.Cut(id, ",")
		request := &sentRequest{class: class, forwarder: forwarder, sentAt: time.Now()}
		harness.mu.Lock()
		harness.requests[id] = request
		harness.mu.Unlock()
		answer, err := client.Query(query)
		harness.mu.Lock()
		request.took, request.answer, request.excused = time.Since(request.sentAt), answer, err != nil && down()
		if err != nil && !request.excused {
			request.answer = "lost: " + err.Error()
		}
		harness.mu.Unlock()
		if err != nil {
			return n + 1
		}
	}
}

// Planners are killed, restarted and paused, forwarders are killed, and nodes die, come back cold and drain, with
// lists that reach each forwarder at a different time, all drawn from a fixed seed. The rules are checked against
// the records of nodes and clients.
func TestTierThroughFailures(t *testing.T) {
	random := rand.New(rand.NewPCG(*tierSeed, 6))
	nodes := []*standin.Node{standin.NewNode(t, "source")}
	for range 6 {
		nodes = append(nodes, standin.NewNode(t, "copy"))
	}
	for _, node := range nodes {
		node.RejectReplicaWrites = true
		node.WithFaults(4*time.Millisecond, standin.Fault{Share: 0.005, SQLState: "XX000"}, standin.Fault{Share: 0.005, Close: true})
	}
	harness := newTierHarness(t, 6, 3, nodes)
	stop, down := make(chan struct{}), make([]bool, 6)
	var clients sync.WaitGroup
	for forwarder := range harness.routers {
		harness.startClients(forwarder, 4, stop, &clients, func() bool { return down[forwarder] })
	}
	version := 7
	announcedAt := map[int]map[int]time.Time{} // of drains: by node and forwarder, when the forwarder's own list announced it
	announce := func(forwarder, version, n int, state string) bool {
		line := fmt.Sprintf("{\"version\":%d,\"full\":false,\"servers\":[%s]}\n", version, nodes[n].ListEntry(n, state))
		select {
		case harness.routers[forwarder].Updates <- line:
			return true
		case <-time.After(2 * time.Second):
			return false
		}
	}
	cold, drained, dead := map[int]bool{}, map[int]bool{}, -1
	start := time.Now()
	for step := 0; time.Since(start) < *tierSpan; step++ {
		time.Sleep(150 * time.Millisecond)
		switch draw := random.IntN(10); {
		case draw < 2:
			planner := random.IntN(3)
			harness.planners[planner].Process.Signal(syscall.SIGCONT)
			harness.planners[planner].Process.Kill()
			<-harness.plannerEnded[planner]
			harness.startPlanner(planner)
		case draw < 4:
			process := harness.planners[random.IntN(3)].Process
			process.Signal(syscall.SIGSTOP)
			time.AfterFunc(time.Duration(100+random.IntN(1200))*time.Millisecond, func() { process.Signal(syscall.SIGCONT) })
		case draw == 4:
			forwarder := random.IntN(6)
			old := harness.routers[forwarder]
			harness.mu.Lock()
			down[forwarder] = true
			harness.mu.Unlock()
			old.Cmd.Process.Kill()
			<-old.Exit
			time.Sleep(50 * time.Millisecond) // its clients notice
			router := newRouter(t, nodes...)
			router.RouterName, router.Settings, router.Args = old.RouterName, tierSettings, old.Args
			router.KnownVersion, router.KnownStates = version, listStates(nodes, drained, dead)
			router.Start(os.Args[0])
			harness.mu.Lock()
			harness.routers[forwarder], down[forwarder] = router, false
			for _, at := range announcedAt {
				if !at[forwarder].IsZero() {
					at[forwarder] = time.Now()
				}
			}
			harness.mu.Unlock()
		case draw == 5 && dead < 0 && len(cold) < 2:
			if n := 1 + random.IntN(6); !drained[n] && !cold[n] {
				dead = n
				nodes[n].Stop()
			}
		case draw == 6 && dead >= 0:
			nodes[dead].Restart()
			cold[dead] = true
			version++
			for forwarder := range harness.routers {
				announce(forwarder, version, dead, "up")
			}
			dead = -1
		case draw == 7 && len(drained) < 2:
			if n := 1 + random.IntN(6); !drained[n] && n != dead && !cold[n] {
				version++
				drained[n] = true
				announcedAt[n] = map[int]time.Time{}
				for _, forwarder := range random.Perm(6)[:2] { // the others learn of it from planners, or much later from their lists
					if announce(forwarder, version, n, "draining") {
						announcedAt[n][forwarder] = time.Now()
					}
				}
			}
		}
	}
	for n := range drained {
		for forwarder := range harness.routers {
			if announcedAt[n][forwarder].IsZero() && announce(forwarder, version, n, "draining") {
				announcedAt[n][forwarder] = time.Now()
			}
		}
	}
	time.Sleep(tierDrainGrace + 2*clockSlack)
	close(stop)
	clients.Wait()
	harness.checkRules(announcedAt)
}

// listStates returns the states of the nodes in the list with which a forwarder starts.
func listStates(nodes []*standin.Node, drained map[int]bool, dead int) (states []string) {
	for n := range nodes {
		state := "up"
		if drained[n] {
			state = "draining"
		}
		states = append(states, state)
	}
	return states
}

// checkRules checks the rules against the records of nodes and clients. announcedAt has the drains, by node and
// forwarder.
func (harness *tierHarness) checkRules(announcedAt map[int]map[int]time.Time) {
	t := harness.t
	runs := map[string][]standin.Execution{}
	perNode := make([][]standin.Execution, len(harness.nodes))
	lost, answered := 0, 0
	for n, node := range harness.nodes {
		perNode[n] = node.Executions()
		for _, attempt := range perNode[n] {
			runs[attempt.ID] = append(runs[attempt.ID], attempt)
			request := harness.requests[attempt.ID]
			if request == nil {
				t.Fatalf("node %d ran a job that nobody asked for: %s", n, attempt.ID)
			}
			// Rule 3: no new request once the grace after the forwarder's own list has announced the drain.
			if at := announcedAt[n][request.forwarder]; !at.IsZero() && attempt.ReceivedAt.After(at.Add(tierDrainGrace+clockSlack)) {
				t.Errorf("node %d got a request of forwarder %d %v after its list said that it drains", n, request.forwarder,
					attempt.ReceivedAt.Sub(at))
			}
			// Rule 5: fresh reads and writes go to the primary. A write counts even if the replica turned it away.
			if request.class != "view" && n != 0 {
				t.Errorf("replica %d ran a request of %s", n, request.class)
			}
		}
		for _, write := range node.ReplicaWrites() {
			request := harness.requests[write.ID]
			if request == nil {
				t.Fatalf("replica %d received a write that nobody asked for: %s", n, write.ID)
			}
			t.Errorf("replica %d received the write %s of %s from forwarder %d, %v after its client had sent it", n, write.ID,
				request.class, request.forwarder, write.ReceivedAt.Sub(request.sentAt))
		}
	}
	for id, request := range harness.requests {
		// Rule 1: each request has one answer, in time.
		switch {
		case request.excused:
			lost++
		case request.answer == "" || strings.HasPrefix(request.answer, "lost"):
			t.Errorf("request %s of forwarder %d has no answer: %q after %v", id, request.forwarder, request.answer, request.took)
		case request.took > 2050*time.Millisecond+clockSlack:
			t.Errorf("request %s was answered after %v", id, request.took)
		case strings.HasPrefix(request.answer, "from") && len(runs[id]) == 0:
			t.Errorf("job %s was done by no node", id)
		default:
			answered++
		}
		// Rule 2: an at-most-once request runs at most once, and not at all if it was rejected; an order does not
		// run again after its window.
		attempts := runs[id]
		if request.class == "once" && (len(attempts) > 1 || len(attempts) > 0 && request.answer == "53300") {
			t.Errorf("job %s ran %d times and was answered by %q", id, len(attempts), request.answer)
		}
		for _, attempt := range attempts {
			if request.class == "order" && attempt.ReceivedAt.Sub(attempts[0].ReceivedAt).Abs() > 1200*time.Millisecond+clockSlack {
				t.Errorf("order %s ran again after %v", id, attempt.ReceivedAt.Sub(attempts[0].ReceivedAt))
			}
		}
	}
	peak := harness.checkColdStartLimit(perNode)
	t.Logf("%d requests answered, %d lost with their forwarders; a cold node's peak was %.2f of its limit", answered, lost, peak)
	if answered < 2000 {
		t.Error("too little was tested")
	}
}

// checkColdStartLimit checks rule 4: in any window of the rule a cold node gets at most the rule's multiple of its
// warmed share of what warm replicas got on average. It returns the highest ratio of requests to limit.
func (harness *tierHarness) checkColdStartLimit(perNode [][]standin.Execution) (peak float64) {
	const multiple, share, tolerance = 2.0, 0.15, 8
	count := func(n int, from time.Time) (c float64) {
		for _, attempt := range perNode[n] {
			if !attempt.ReceivedAt.Before(from) && attempt.ReceivedAt.Before(from.Add(tierFallWindow)) {
				c++
			}
		}
		return c
	}
	for n, node := range harness.nodes {
		started := node.StartedAt()
		if started.IsZero() {
			continue
		}
		for from := started; from.Before(started.Add(tierColdPeriod)); from = from.Add(tierFallWindow / 10) {
			warm, nodes := 0.0, 0.0
			for k := 1; k < len(harness.nodes); k++ {
				if c := count(k, from); k != n && c > 0 && harness.nodes[k].StartedAt().IsZero() {
					warm, nodes = warm+c, nodes+1
				}
			}
			if nodes == 0 {
				continue
			}
			age := min(1, float64(from.Add(tierFallWindow).Sub(started))/float64(tierColdPeriod))
			limit := multiple * (share + (1-share)*age) * warm / nodes
			got := count(n, from)
			if limit > tolerance {
				peak = max(peak, got/limit)
			}
			if got > limit+tolerance {
				harness.t.Errorf("cold node %d got %v requests within %v of %v after its start, %v at most", n, got, tierFallWindow,
					from.Sub(started), limit)
			}
		}
	}
	return peak
}

// A drain that only one forwarder's list announces reaches all forwarders through the planners: they stop sending
// to the node within the grace and a few periods.
func TestDrainReachesAll(t *testing.T) {
	nodes := []*standin.Node{standin.NewNode(t, "source"), standin.NewNode(t, "copy"), standin.NewNode(t, "copy")}
	for _, node := range nodes {
		node.WithFaults(2 * time.Millisecond)
	}
	harness := newTierHarness(t, 4, 2, nodes)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for forwarder := range harness.routers {
		harness.startClients(forwarder, 2, stop, &clients, func() bool { return false })
	}
	for forwarder := range harness.routers {
		standin.WaitFor(t, "forwarders to find both planners",
			func() bool { return strings.Count(harness.routers[forwarder].Log(), `"msg":"planner"`) >= 2 })
	}
	harness.routers[0].Updates <- fmt.Sprintf("{\"version\":9,\"full\":false,\"servers\":[%s]}\n", nodes[2].ListEntry(2, "draining"))
	for forwarder := range harness.routers[1:] {
		standin.WaitFor(t, "the drain to reach all forwarders", func() bool { return harness.routers[forwarder+1].Logged("a planner's word") })
	}
	time.Sleep(tierDrainGrace)
	before := len(nodes[2].Statements())
	time.Sleep(2 * clockSlack)
	if after := len(nodes[2].Statements()); after != before {
		t.Errorf("%d requests came after the grace", after-before)
	}
	// An older list version that has the node as up does not revive it.
	harness.routers[1].Updates <- fmt.Sprintf("{\"version\":8,\"full\":false,\"servers\":[%s]}\n", nodes[2].ListEntry(2, "up"))
	time.Sleep(clockSlack)
	if after := len(nodes[2].Statements()); after != before {
		t.Error("an older list version revived the node")
	}
	code, out, errs := runProgram(t, "plan", "show", "--tier", harness.path)
	if code != 0 || !strings.Contains(out, "draining, list 9") || strings.Count(out, "f3") < 2 {
		t.Errorf("%d\n%s%s", code, out, errs)
	}
	var shown []message.PlannerStatus
	if _, out, _ := runProgram(t, "plan", "show", "--tier", harness.path, "--name", "p1", "--json"); json.Unmarshal([]byte(out), &shown) != nil ||
		len(shown) != 1 || len(shown[0].Forwarders) != 4 {
		t.Errorf("%s", out)
	}
	harness.planners[1].Process.Kill()
	<-harness.plannerEnded[1]
	if code, _, errs := runProgram(t, "plan", "show", "--tier", harness.path); code != 1 ||
		!strings.Contains(errs, "planner p1 does not answer") {
		t.Errorf("%d %s", code, errs)
	}
	close(stop)
	clients.Wait()
}

// A planner closes a connection with a reason on garbage, another protocol version, or a message that the peer may
// not send, and goes on to serve others.
func TestPlannerClosesInvalidConnections(t *testing.T) {
	harness := newTierHarness(t, 0, 1, nil)
	good := &message.Frame{Hello: &message.Hello{Version: message.Version, Kind: message.Operator}}
	for name, send := range map[string]func(conn *message.Conn){
		"another version: 9": func(conn *message.Conn) {
			conn.Write(&message.Frame{Hello: &message.Hello{Version: 9, Kind: message.Planner}}, time.Second)
		},
		"hello comes first": func(conn *message.Conn) {
			conn.Write(&message.Frame{PlannerStatus: &message.PlannerStatus{}}, time.Second)
		},
		"no word of ours": func(conn *message.Conn) { io.WriteString(conn.Socket, "\x00\x00\x00\x04\xc1\xc1\xc1\xc1") },
		"a frame of":      func(conn *message.Conn) { io.WriteString(conn.Socket, "GET / HTTP/1.1\r\n\r\n") },
		"may not say this": func(conn *message.Conn) {
			conn.Write(good, time.Second)
			conn.Write(&message.Frame{Report: &message.Report{}}, time.Second)
		},
		"a name of 100 bytes": func(conn *message.Conn) {
			conn.Write(&message.Frame{Hello: &message.Hello{Version: 1, Kind: message.Planner, Name: strings.Repeat("n", 100)}}, time.Second)
		},
	} {
		sock, err := net.Dial("tcp", harness.addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		conn := message.NewConn(sock)
		send(conn)
		for {
			received, err := conn.Read(standin.WaitTimeout)
			if err != nil || received.CloseReason != "" {
				if err != nil || !strings.Contains(received.CloseReason, name) {
					t.Errorf("%s: %v, %v", name, received, err)
				}
				break
			}
		}
		sock.Close()
	}
	if code, out, errs := runProgram(t, "plan", "show", "--tier", harness.path); code != 0 {
		t.Error(out, errs)
	}
	if code, _, errs := runProgram(t, "plan", "--tier", harness.path, "--name", "p7"); code != 1 ||
		!strings.Contains(errs, `names no planner \"p7\"","place":"`+harness.path+`","status":1}`) {
		t.Error(code, errs)
	}
}

// Planners drop the load of a forwarder that has ended at once, although its last report was of full load.
func TestLoadOfStoppedForwarderIsDropped(t *testing.T) {
	t.Parallel()
	node := standin.NewNode(t, "source")
	node.WithFaults(50 * time.Millisecond)
	harness := newTierHarness(t, 2, 1, []*standin.Node{node}, `"term": "8s", "period": "2s", "loads": {}`)
	loadAtPlanner := func() float64 {
		var shown []message.PlannerStatus
		_, out, _ := runProgram(t, "plan", "show", "--tier", harness.path, "--json")
		if json.Unmarshal([]byte(out), &shown) != nil || len(shown) != 1 {
			t.Fatal(out)
		}
		if nodes := shown[0].Nodes; len(nodes) > 0 && nodes[0].Load != nil {
			return float64(nodes[0].Load.InFlight)
		}
		return 0
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	harness.startClients(0, 3, stop, &clients, func() bool { return true })
	standin.WaitFor(t, "its load at the planner", func() bool { return loadAtPlanner() > 1 })
	harness.routers[0].Cmd.Process.Signal(syscall.SIGTERM)
	<-harness.routers[0].Exit
	close(stop)
	clients.Wait()
	// Its last report would count in full for 4 s.
	for end := time.Now().Add(3 * time.Second); loadAtPlanner() > 0.1; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%.2f attempts of a router that has left", loadAtPlanner())
		}
	}
}
