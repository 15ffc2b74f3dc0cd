package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// The test's own program is the router, when it is started so.
const asRouter = "SEDGESTREAM_TEST_AS_ROUTER"

func TestMain(m *testing.M) {
	if os.Getenv(asRouter) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// patience is how long a condition may take to come true before the test fails.
const patience = 20 * time.Second

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain: ", what)
		}
	}
}

// node is a stand-in for a database node.
type node struct {
	t        *testing.T
	listener net.Listener
	role     string
	greet    func(net.Conn) bool                       // false: the connection ends before it is up
	job      func(*pgproto3.Backend, net.Conn, string) // answers a statement; the usual one if nil

	mu       sync.Mutex
	jobs     []string
	probes   int
	sessions int
}

func newNode(t *testing.T, role string) *node {
	n := &node{t: t, role: role}
	var err error
	if n.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.listener.Close() })
	go func() {
		for {
			c, err := n.listener.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n
}

func (n *node) serve(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil || n.greet != nil && !n.greet(c) {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	b.Flush()
	n.count(func() { n.sessions++ })
	for {
		m, err := b.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			n.t.Errorf("a node got %T", m)
			return
		}
		if q.String == "SHOW vitals" {
			n.count(func() { n.probes++ })
			primary := map[string]int{"source": 1}[n.role]
			n.row(b, fmt.Sprintf("x0=%.3f,x1=%d,load_share=0.1", float64(time.Now().UnixMilli())/1e3, primary))
			continue
		}
		n.count(func() { n.jobs = append(n.jobs, q.String) })
		if n.job != nil {
			n.job(b, c, q.String)
		} else {
			n.row(b, "from "+n.role)
		}
	}
}

func (n *node) count(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *node) got() (jobs []string) {
	n.count(func() { jobs = append(jobs, n.jobs...) })
	return jobs
}

func (n *node) row(b *pgproto3.Backend, value string) {
	b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("body"), DataTypeOID: 17, Format: 1}}})
	b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	n.ready(b)
}

func (n *node) ready(b *pgproto3.Backend) {
	b.Send(&pgproto3.ParameterStatus{Name: "rank", Value: n.role})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	b.Flush()
}

func (n *node) refuse(state string) func(*pgproto3.Backend, net.Conn, string) {
	return func(b *pgproto3.Backend, _ net.Conn, _ string) {
		b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "no"})
		n.ready(b)
	}
}

func hangUp(_ *pgproto3.Backend, c net.Conn, _ string) { c.Close() }

// fleet is what a router is started among: nodes, discovery, and another router.
type fleet struct {
	t        *testing.T
	nodes    []*node
	contract string // settings with a place for each test's own
	limits   string
	list     *http.Server
	watches  chan string   // where each watch begins
	changes  chan string   // lines for the watch that stands
	cut      chan struct{} // ends it
	address  string
	path     string // of the configuration
	peer     *net.UDPConn
	cmd      *exec.Cmd
	log      strings.Builder
	mu       sync.Mutex
	exit     chan error
}

const contract = `{"me":0,"balancers":2,"tickUs":5000,"discovery":"push",
"classes":[{"name":"view","aimUs":80000,"deadlineUs":30000000,"repeat":"pure","worth":1.0},
{"name":"order","aimUs":80000,"deadlineUs":30000000,"repeat":"token","group":"cell","windowUs":30000000,"worth":3.0},
{"name":"once","aimUs":80000,"deadlineUs":30000000,"repeat":"side_effect","worth":3.0}],
"limits":{"sendCap":3,"secondCopies":false,"probes":true,"peers":true,"connectTimeoutUs":5000000,"keepaliveUs":30000000},
"rules":{"askEveryUs":1000000,"coldUs":14000000,"drainGraceUs":500000,"fallMultiple":2.0,"fallUs":3000000,"startCapacity":0.15},
"specifics":{"consistency":["eventual","mutate","mutate"],"reportX0":"position","reportX1":"role","serverChecks":"await",
"tokenMode":"brought"}}`

func newFleet(t *testing.T, nodes ...*node) *fleet {
	f := &fleet{t: t, nodes: nodes, contract: contract, limits: `{"cores":1,"memory_mb":192,"sockets":1024}`,
		watches: make(chan string, 100), changes: make(chan string), cut: make(chan struct{}), exit: make(chan error, 1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.list = &http.Server{Addr: l.Addr().String(), Handler: http.HandlerFunc(f.discovery)}
	go f.list.Serve(l)
	t.Cleanup(func() { f.list.Close() })
	if f.peer, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.peer.Close() })
	return f
}

func (f *fleet) discovery(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		f.t.Errorf("discovery was asked for %s", r.URL)
	}
	if r.FormValue("stream") != "1" {
		f.watches <- "whole"
		fmt.Fprintf(w, `{"version":2,"full":true,"servers":[%s]}`, f.entries())
		return
	}
	w.WriteHeader(200)
	w.(http.Flusher).Flush()
	f.watches <- r.FormValue("index")
	for {
		select {
		case line := <-f.changes:
			for i := range line { // cut at every place
				io.WriteString(w, line[i:i+1])
				w.(http.Flusher).Flush()
			}
		case <-f.cut:
			return
		case <-time.After(time.Second): // nothing has changed
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (f *fleet) entries(states ...string) string {
	var s []string
	for i, n := range f.nodes {
		state := "up"
		if i < len(states) {
			state = states[i]
		}
		s = append(s, fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"z","kind":"k","cell":2,"state":%q,"weight":1,"started_ms":0}`,
			i, n.listener.Addr(), state))
	}
	return strings.Join(s, ",")
}

// configure writes the configuration, and gives the environment that names it.
func (f *fleet) configure() []string {
	var settings any
	if err := json.Unmarshal([]byte(f.contract), &settings); err != nil {
		f.t.Fatal(err)
	}
	s, _ := json.Marshal(settings)
	text := fmt.Sprintf(`{"name":"n0","discovery":%q,"seed":"8c1f30d27a5be964","limits":%s,
"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9",%q],"peers_all":%q,
"known":{"version":7,"full":true,"servers":[%s]},"settings":%s}`, f.list.Addr, f.limits, f.peer.LocalAddr(),
		f.peer.LocalAddr(), f.entries(), s)
	if f.path == "" {
		f.path = filepath.Join(f.t.TempDir(), "config.json")
	}
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	// Where the file lacks a value the environment has it.
	return append(os.Environ(), asRouter+"=1", "ROUTER_CONFIG="+f.path, "ROUTER_LISTEN=127.0.0.1:0")
}

// start starts the program and waits until it serves.
func (f *fleet) start() *fleet {
	f.t.Helper()
	f.cmd = exec.Command(os.Args[0])
	f.cmd.Env = f.configure()
	out, _ := f.cmd.StderrPipe()
	if err := f.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	serving := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			f.mu.Lock()
			fmt.Fprintln(&f.log, lines.Text())
			f.mu.Unlock()
			var line struct{ Msg, Listen string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
				select {
				case serving <- line.Listen:
				default: // again, after a reload
				}
			}
		}
		f.exit <- f.cmd.Wait()
	}()
	f.t.Cleanup(func() {
		f.cmd.Process.Kill()
		f.mu.Lock()
		defer f.mu.Unlock()
		if log := f.log.String(); f.t.Failed() || strings.Contains(log, "panic") || strings.Contains(log, "DATA RACE") {
			f.t.Error("the router's log:\n", log)
		}
	})
	select {
	case f.address = <-serving:
	case err := <-f.exit:
		f.t.Fatal("the router ended: ", err)
	case <-time.After(patience):
		f.t.Fatal("the router does not serve")
	}
	return f
}

func (f *fleet) lines() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.String()
}

func (f *fleet) logged(words string) bool { return strings.Contains(f.lines(), words) }

// descriptors is how many the router has open.
func (f *fleet) descriptors() int {
	d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.cmd.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	return len(d)
}

// client is a connection to the router.
type client struct {
	t    *testing.T
	sock net.Conn
	*pgproto3.Frontend
}

func (f *fleet) dial() *client {
	f.t.Helper()
	sock, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { sock.Close() })
	sock.SetDeadline(time.Now().Add(patience))
	return &client{f.t, sock, pgproto3.NewFrontend(sock, sock)}
}

// open begins a connection with a query directly behind the startup message.
func (f *fleet) open(query string) *client {
	c := f.dial()
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker", "database": "catalog"}})
	c.ask(query)
	if r := c.answer(); r != "" {
		f.t.Fatal("startup was answered by ", r)
	}
	return c
}

func (c *client) ask(query string) {
	c.Send(&pgproto3.Query{String: query})
	if err := c.Flush(); err != nil {
		c.t.Fatal(err)
	}
}

// answer is what comes up to ReadyForQuery: the value, or the state of an error.
func (c *client) answer() (said string) {
	c.t.Helper()
	for {
		m, err := c.Receive()
		if err != nil {
			return said + err.Error()
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			said += string(m.Values[0])
		case *pgproto3.ErrorResponse:
			said += m.Code
		case *pgproto3.EmptyQueryResponse:
			said += "empty"
		case *pgproto3.ReadyForQuery:
			return said
		}
	}
}

func (c *client) expect(answer string) {
	c.t.Helper()
	if got := c.answer(); got != answer {
		c.t.Fatalf("answered %q, want %q", got, answer)
	}
}

var lastID atomic.Int64 // each job has a new one

func view(d int) string {
	return fmt.Sprintf(`SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=%016x,c=view,d=%d,cluster=2 */`, lastID.Add(1), d)
}

func change(tariff string, d int) string {
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\x9f03') RETURNING body /* id=%016x,c=%s,d=%d,k=5c0f,cluster=2 */`,
		lastID.Add(1), tariff, d)
}

func pair(t *testing.T) (primary, replica *node) { return newNode(t, "source"), newNode(t, "copy") }

func TestDone(t *testing.T) {
	primary, replica := pair(t)
	f := newFleet(t, primary, replica).start()
	c := f.open("")
	c.expect("empty")
	job := view(20000)
	c.ask(job)
	c.expect("from copy")
	wait := regexp.MustCompile(`,d=\d+,`) // all but this is passed on as it was
	if jobs := replica.got(); len(jobs) != 1 || wait.ReplaceAllString(jobs[0], ",d=20000,") != job {
		t.Errorf("the replica got %q", jobs)
	}
	c.ask(change("order", 20000))
	c.expect("from source")
	for i := range 3 { // several at once keep their order
		c.Send(&pgproto3.Query{String: []string{view(20000), "", change("order", 20000)}[i]})
	}
	c.ask("SET x = 1")
	for _, a := range []string{"from copy", "empty", "from source", ""} {
		c.expect(a)
	}
	long := strings.Replace(change("order", 20000), `\x9f03`, `\x`+strings.Repeat("ab", 64<<10), 1)
	primary.count(func() { primary.job = func(b *pgproto3.Backend, _ net.Conn, q string) { primary.row(b, q[:len(q)/2]) } })
	c.ask(long)
	if a := c.answer(); len(a) < 64<<10 || a != long[:len(a)] {
		t.Errorf("a long value came back as %d bytes", len(a))
	}
	until(t, "probes", func() (some bool) { replica.count(func() { some = replica.probes > 0 }); return })
}

// Queries written one behind the other do not wait for each other at nodes; their answers keep the order, errors
// included, and what ends the connection comes last.
func TestBehindOthers(t *testing.T) {
	primary, replica := pair(t)
	let := make(chan struct{})
	primary.job = func(b *pgproto3.Backend, c net.Conn, _ string) { <-let; primary.row(b, "from source") }
	long := strings.Repeat("v", 20000)
	replica.job = func(b *pgproto3.Backend, c net.Conn, _ string) { replica.row(b, long) }
	f := newFleet(t, primary, replica).start()
	c := f.open("")
	c.expect("empty")
	for _, q := range []string{change("once", 20000), view(20000), "nonsense", view(20000)} {
		c.Send(&pgproto3.Query{String: q})
	}
	c.ask("")
	until(t, "the reads at the replica", func() bool { return len(replica.got()) == 2 })
	for range 30 { // more than are taken at a time
		c.ask(view(20000))
	}
	c.sock.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff})
	close(let)
	for _, a := range append([]string{"from source", long, "42601", long, "empty"}, slices.Repeat([]string{long}, 30)...) {
		if got := c.answer(); got != a && !(a == long && got == "53300") { // a node holds only so many
			t.Fatalf("answered %.80q, want %.80q", got, a)
		}
	}
	if a := c.answer(); !strings.HasPrefix(a, "08P01") {
		t.Errorf("the end was %q", a)
	}
}

// A client library that others wrote finds nothing strange.
func TestStockClient(t *testing.T) {
	primary, replica := pair(t)
	f := newFleet(t, primary, replica).start()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c, err := pgconn.Connect(ctx, "postgres://worker@"+f.address+"/catalog?sslmode=prefer")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		r, err := c.Exec(ctx, view(20000)).ReadAll()
		if err != nil || len(r) != 1 || string(r[0].Rows[0][0]) != "from copy" {
			t.Fatal(r, err)
		}
	}
	if r := c.ExecParams(ctx, "SELECT $1", [][]byte{[]byte("1")}, nil, nil, nil).Read(); r.Err == nil ||
		r.Err.(*pgconn.PgError).Code != "0A000" {
		t.Error(r.Err)
	}
	if _, err := c.Exec(ctx, view(20000)).ReadAll(); err != nil {
		t.Error("after an error in the extended protocol: ", err)
	}
	if err := c.Close(ctx); err != nil {
		t.Error(err)
	}
	later := f.dial()
	later.Send(&pgproto3.StartupMessage{ProtocolVersion: 196610, Parameters: map[string]string{"user": "worker"}})
	later.Flush()
	if m, err := later.Receive(); err != nil || fmt.Sprintf("%T", m) != "*pgproto3.NegotiateProtocolVersion" {
		t.Errorf("version 3.2 was answered by %T, %v", m, err)
	}
	later.expect("")
}

// A connection that a node ends while it is idle costs no job anything.
func TestNodeEndsIdleConnections(t *testing.T) {
	n := newNode(t, "source")
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { n.row(b, "v"); c.Close() }
	f := newFleet(t, n).start()
	c := f.open("")
	c.expect("empty")
	<-f.watches
	before := f.descriptors()
	for range 5 {
		c.ask(change("once", 20000))
		c.expect("v")
		until(t, "the connection to end", func() bool { return f.descriptors() <= before+1 }) // one of a probe may stay
	}
}

func TestStrangeInput(t *testing.T) {
	primary, replica := pair(t)
	f := newFleet(t, primary, replica).start()
	c := f.open("SELECT 1")
	c.expect("42601")
	for _, q := range [][2]string{{"c=view", "c=sight"}, {"cluster=2", "cluster=9"}, {"d=500", "d=0"}, {"d=500,", ""},
		{"SELECT body", "DELETE body"}, {"c=view", "c=order,k=1"}, {"c=view", "c=order"}} {
		c.ask(strings.Replace(view(500), q[0], q[1], 1))
		if a := c.answer(); a != "22023" && a != "42601" {
			t.Errorf("%s was answered by %q", q[1], a)
		}
	}
	c.ask(view(20000))
	c.expect("from copy") // the connection goes on
	if n := len(primary.got()) + len(replica.got()); n != 1 {
		t.Errorf("%d statements went to nodes, want 1", n)
	}
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08\x00\x02\x00\x00", "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678"} {
		c := f.dial()
		io.WriteString(c.sock, bytes)
		if b, err := io.ReadAll(c.sock); err != nil || strings.Contains(string(b), "53300") {
			t.Errorf("%q: %q, %v", bytes, b, err)
		}
	}
	c.sock.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff}) // overlong
	if _, err := io.ReadAll(c.sock); err != nil {
		t.Error(err)
	}
	f.open(view(20000)).expect("from copy")
}

// The outcomes of trips that go wrong, for each kind of repeat: what the client is told, and how often a node got it.
func TestTroubleAtNodes(t *testing.T) {
	full := func(n *node) { n.job = n.refuse("53300") }
	fatal := func(n *node) {
		n.job = func(b *pgproto3.Backend, c net.Conn, _ string) {
			b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "no"})
			b.Flush()
			c.Close()
		}
	}
	reset := func(n *node) { n.job = hangUp }
	torn := func(n *node) {
		n.job = func(b *pgproto3.Backend, c net.Conn, _ string) {
			c.Write([]byte("D\x00\x00\x00\x20half a row"))
			c.Close()
		}
	}
	nonsense := func(n *node) {
		n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") }
	}
	never := func(n *node) { n.greet = func(net.Conn) bool { return false } }
	for _, c := range []struct {
		name, tariff string
		trouble      func(*node)
		answer       string
		trips        int // that reached the node; below 0: at least that many
	}{
		{"full", "once", full, "53300", -1},
		{"full, and the connection ends", "once", fatal, "53300", -1},
		{"reset after the last byte", "once", reset, "57014", 1},
		{"reset after the last byte", "order", reset, "57014", -2},
		{"torn answer", "once", torn, "57014", 1},
		{"nonsense", "once", nonsense, "57014", 1},
		{"never comes up", "once", never, "53300", 0},
		{"error", "once", func(n *node) { n.job = n.refuse("XX000") }, "57014", 1},
		{"no primary any more", "once", func(n *node) { n.job = n.refuse("25006") }, "53300", -1},
	} {
		t.Run(c.name+"/"+c.tariff, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, "source")
			c.trouble(n)
			f := newFleet(t, n).start()
			f.open(change(c.tariff, 2000)).expect(c.answer)
			if got := len(n.got()); got < c.trips || c.trips >= 0 && got != c.trips || c.trips < 0 && got < -c.trips {
				t.Errorf("the node got %d, want %d", got, c.trips)
			}
		})
	}
}

func TestSilentNode(t *testing.T) {
	n := newNode(t, "source")
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { io.Copy(io.Discard, c) }
	f := newFleet(t, n).start()
	f.open(change("once", 300)).expect("57014")
	if jobs := n.got(); len(jobs) != 1 {
		t.Errorf("the node got %q", jobs)
	}
}

// A client that says it waits for days waits as the settings say.
func TestWaitsForDays(t *testing.T) {
	n := newNode(t, "source")
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { io.Copy(io.Discard, c) }
	f := newFleet(t, n)
	f.contract = strings.ReplaceAll(contract, `"deadlineUs":30000000`, `"deadlineUs":300000`)
	f.start().open(change("once", 1<<31-1)).expect("57014")
}

// A client that goes while its job waits is noticed, and nothing more goes out for that job.
func TestClientGone(t *testing.T) {
	n := newNode(t, "source")
	let := make(chan struct{})
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { <-let; c.Close() }
	f := newFleet(t, n).start()
	<-f.watches
	before := f.descriptors()
	c := f.open(change("order", 20000))
	until(t, "the job at the node", func() bool { return len(n.got()) == 1 })
	c.sock.Close()
	until(t, "the client's connection to end", func() bool { return f.descriptors() <= before+2 })
	close(let)
	until(t, "the node's connection to end", func() bool { return f.descriptors() <= before+1 })
	f.open("").expect("empty")
	if jobs := n.got(); len(jobs) != 1 {
		t.Errorf("the node got %q", jobs)
	}
}

func TestListChanges(t *testing.T) {
	primary, a := pair(t)
	b := newNode(t, "copy")
	f := newFleet(t, primary, a, b).start()
	if at := <-f.watches; at != "7" {
		t.Fatalf("the watch begins at %s, want that of the known list", at)
	}
	c := f.open(view(20000))
	c.expect("from copy")
	wrong := strings.Replace(f.entries("up", "up", "removed"), `"up"`, `"asleep"`, 1)
	f.changes <- "\n{\"version\":8,\"full\":true,\"servers\":[" + wrong + "]}\n{\"version\":\n"
	f.changes <- `{"version":9,"full":false,"servers":[` + f.entries("up", "draining", "up") + "]}\n\n"
	until(t, "jobs to leave the draining node", func() bool {
		before := len(a.got())
		for range 10 {
			c.ask(view(20000))
			c.expect("from copy")
		}
		return len(a.got()) == before
	})
	if !f.logged("a line from discovery is wrong") {
		t.Error("a wrong line was not logged")
	}
	f.cut <- struct{}{} // the watch ends, and is asked for again from where it stood
	if at := <-f.watches; at != "9" {
		t.Errorf("the next watch begins at %s, want 9", at)
	}
	n := len(b.got())
	moved := newNode(t, "copy") // under the same id
	f.nodes[2] = moved
	f.changes <- `{"version":10,"full":true,"servers":[` + f.entries("up", "draining", "up") + "]}\n"
	until(t, "jobs at the new address", func() bool {
		c.ask(view(20000))
		c.expect("from copy")
		return len(moved.got()) > 0
	})
	if len(b.got()) < n {
		t.Error("the old address lost jobs")
	}
}

// After SIGTERM new clients are served for a while, what is in hand is answered, and the program ends well.
func TestPlannedRestart(t *testing.T) {
	n := newNode(t, "source")
	let := make(chan struct{})
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { <-let; n.row(b, "at last") }
	f := newFleet(t, n).start()
	idle := f.open("")
	idle.expect("empty")
	c := f.open(change("once", 20000))
	until(t, "the job at the node", func() bool { return len(n.got()) == 1 })
	f.cmd.Process.Signal(syscall.SIGTERM)
	until(t, "leaving", func() bool { return f.logged(`"leaving"`) })
	f.open("").expect("empty")
	if _, err := idle.Receive(); err == nil {
		t.Error("an idle client was told something")
	}
	until(t, "finishing", func() bool { return f.logged(`"finishing"`) })
	close(let)
	c.expect("at last")
	if err := <-f.exit; err != nil {
		t.Error(err)
	}
}

// Clients that go on asking through a planned restart: whatever went to a node was answered whole, and the program
// ends well although they would never stop.
func TestPlannedRestartUnderLoad(t *testing.T) {
	primary, replica := pair(t)
	f := newFleet(t, primary, replica).start()
	var answered atomic.Int64
	var clients sync.WaitGroup
	for range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				sock, err := net.Dial("tcp", f.address)
				if err != nil {
					return // nobody listens any more
				}
				sock.SetDeadline(time.Now().Add(patience))
				c := &client{t, sock, pgproto3.NewFrontend(sock, sock)}
				c.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "worker"}})
				if c.Flush() == nil && c.answer() == "" {
					for err == nil {
						c.Send(&pgproto3.Query{String: view(20000)})
						if err = c.Flush(); err == nil {
							if a := c.answer(); a == "from copy" {
								answered.Add(1)
							} else if err = io.EOF; strings.HasPrefix(a, "from") {
								t.Errorf("torn answer %q", a)
							}
						}
					}
				}
				sock.Close()
			}
		}()
	}
	until(t, "jobs", func() bool { return answered.Load() > 100 })
	f.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-f.exit; err != nil {
		t.Error(err)
	}
	clients.Wait()
	if n := len(primary.got()) + len(replica.got()); int64(n) != answered.Load() {
		t.Errorf("%d jobs went to nodes, %d were answered", n, answered.Load())
	}
}

// With all of the clients' descriptors in use an idle connection makes room; with none idle, a job is turned away and
// its connection ends.
func TestOutOfDescriptors(t *testing.T) {
	n := newNode(t, "source")
	let := make(chan struct{})
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { <-let; n.row(b, "v") }
	f := newFleet(t, n)
	f.limits = `{"cores":1,"memory_mb":64,"sockets":24}` // three for clients, and a spare one
	f.start()
	for range 8 {
		f.open("").expect("empty")
	}
	var busy []*client
	for range 3 {
		busy = append(busy, f.open(change("order", 20000)))
	}
	until(t, "three jobs at the node", func() bool { return len(n.got()) == 3 })
	for range 3 {
		late := f.open(change("order", 20000))
		if a := late.answer(); !strings.HasPrefix(a, "53300") || a == "53300" {
			t.Errorf("a client too many was answered %q, want to be turned away and its connection to end", a)
		}
	}
	close(let)
	for _, c := range busy {
		c.expect("v")
	}
	f.open(change("order", 20000)).expect("v")
	if d := f.descriptors(); d > 24 {
		t.Errorf("%d descriptors are open", d)
	}
}

// Clients that ask once and never let go make room, the one idle longest first, before they hold the third of the
// descriptors that clients may hold.
func TestClientsThatStay(t *testing.T) {
	primary, replica := pair(t)
	f := newFleet(t, primary, replica)
	f.limits = `{"cores":1,"memory_mb":64,"sockets":100}` // 37 for clients, a third is 33
	f.start()
	var stay []*client
	for range 33 {
		c := f.open("")
		c.expect("empty")
		stay = append(stay, c)
	}
	if m, err := stay[0].Receive(); !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		t.Errorf("the first to come holds its place: %v, %v", m, err)
	}
	stay[32].ask(view(20000))
	stay[32].expect("from copy")
}

// Long values on many connections at once wait for each other's memory, and all get their answers.
func TestLongValues(t *testing.T) {
	n := newNode(t, "source")
	value, let := strings.Repeat("v", 64<<10), make(chan struct{})
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { <-let; n.row(b, value) }
	f := newFleet(t, n)
	f.limits = `{"cores":1,"memory_mb":24,"sockets":512}` // for some twenty at a time
	f.start()
	long := strings.Replace(change("order", 20000), `\x9f03`, `\x`+strings.Repeat("ab", 64<<10), 1)
	answers := make(chan string)
	for i := range 100 {
		c := f.open("")
		c.expect("empty")
		go func() {
			c.Send(&pgproto3.Query{String: strings.Replace(long, "id=", fmt.Sprintf("id=%x", i), 1)})
			c.Flush()
			answers <- c.answer()
		}()
	}
	until(t, "a job at the node", func() bool { return len(n.got()) > 0 })
	close(let)
	for range 100 {
		if a := <-answers; a != value && a != "53300" {
			t.Fatalf("answered %.80q", a)
		}
	}
}

func TestTornMessage(t *testing.T) {
	f := newFleet(t, newNode(t, "source")).start()
	c := f.open("")
	c.expect("empty")
	c.sock.Write([]byte{'Q', 0, 0, 1, 0, 'S'})
	if b, err := io.ReadAll(c.sock); err != nil || !strings.Contains(string(b), "08P01") {
		t.Errorf("%q, %v", b, err)
	}
	f.open("").expect("empty")
}

// Clients that say nothing hold no place that others need, and their connections end; one that uses the id of a job in
// hand is told that this is wrong, and the job goes on.
func TestBadClients(t *testing.T) {
	n := newNode(t, "source")
	let := make(chan struct{})
	n.job = func(b *pgproto3.Backend, c net.Conn, _ string) { <-let; n.row(b, "v") }
	f := newFleet(t, n)
	f.limits = `{"cores":1,"memory_mb":64,"sockets":24}` // three for clients, and a spare one
	f.start()
	job := change("once", 20000)
	usual := f.open(job)
	until(t, "the job at the node", func() bool { return len(n.got()) == 1 })
	f.open(job).expect("22023")
	var silent []*client
	for range 30 {
		silent = append(silent, f.dial())
	}
	for i := range 5 {
		f.open("").expect("empty")
		silent[i].sock.Write([]byte("\x00\x00"))
	}
	half := f.dial()
	half.sock.Write([]byte("\x00\x00\x00\x40\x00\x03\x00\x00user"))
	for _, c := range append(silent, half) {
		b, err := io.ReadAll(c.sock)
		if errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(string(b), "53300") {
			t.Fatalf("%q, %v", b, err)
		}
	}
	close(let)
	usual.expect("v")
	usual.ask(job) // the id is free again
	usual.expect("v")
}

// Words go to the other routers, and what comes from no known address changes nothing.
func TestPeers(t *testing.T) {
	primary, replica := pair(t)
	f := newFleet(t, primary, replica).start()
	words := make([]byte, 1500)
	f.peer.SetReadDeadline(time.Now().Add(patience))
	n, from, err := f.peer.ReadFromUDP(words)
	if err != nil || n == 0 || n > 256 {
		t.Fatal(n, err)
	}
	stranger, err := net.DialUDP("udp", nil, from)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	for _, s := range []string{"", "?", string(words[:n]), strings.Repeat("x", 300)} {
		stranger.Write([]byte(s))
		f.peer.WriteToUDP([]byte(s), from)
	}
	f.open(view(20000)).expect("from copy")
}

// A reload under load: the list is asked for at the new address, which counts its versions otherwise, and the watch at
// the old one ends. A wrong file changes nothing, and no job notices.
func TestReload(t *testing.T) {
	primary, replica := pair(t)
	let := make(chan struct{})
	primary.job = func(b *pgproto3.Backend, c net.Conn, _ string) { <-let; primary.row(b, "at last") }
	f, moved := newFleet(t, primary, replica).start(), newFleet(t, primary, replica)
	if at := <-f.watches; at != "7" {
		t.Fatalf("the watch begins at %s", at)
	}
	held, c := f.open(change("once", 20000)), f.open(view(20000))
	c.expect("from copy")
	for _, wrong := range []string{"", "{", `{"discovery":"10.0.0.1:1"}`} {
		before := strings.Count(f.lines(), "the configuration is wrong")
		os.WriteFile(f.path, []byte(wrong), 0o600)
		f.cmd.Process.Signal(syscall.SIGHUP)
		until(t, "the wrong file to be refused", func() bool {
			return strings.Count(f.lines(), "the configuration is wrong") == before+1
		})
	}
	old := f.list.Addr
	f.list.Addr = moved.list.Addr
	f.configure()
	f.cmd.Process.Signal(syscall.SIGHUP)
	for _, want := range []string{"whole", "2"} {
		if at := <-moved.watches; at != want {
			t.Fatalf("the new discovery was asked for %s, want %s", at, want)
		}
	}
	moved.changes <- `{"version":3,"full":false,"servers":[` + f.entries("up", "draining") + "]}\n"
	until(t, "jobs to leave the draining node", func() bool {
		before := len(replica.got())
		for range 10 {
			c.ask(view(200))
			c.answer()
		}
		return len(replica.got()) == before
	})
	f.list.Addr = old // and back, while it stops
	f.configure()
	f.cmd.Process.Signal(syscall.SIGTERM)
	f.cmd.Process.Signal(syscall.SIGHUP)
	if at := <-f.watches; at != "whole" {
		t.Errorf("the old discovery was asked for %s", at)
	}
	close(let)
	held.expect("at last")
	if err := <-f.exit; err != nil {
		t.Error(err)
	}
}

func TestBadConfiguration(t *testing.T) {
	for _, c := range [][2]string{{`"sendCap":3`, `"sendCap":"three"`}, {`"mutate"`, `"mutated"`}, {`"limits"`, `"limit"`}} {
		f := newFleet(t, newNode(t, "source"))
		f.contract = strings.Replace(contract, c[0], c[1], 1)
		cmd := exec.Command(os.Args[0])
		cmd.Env = f.configure()
		out, err := cmd.CombinedOutput()
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		if cmd.ProcessState.ExitCode() != 1 || !strings.HasPrefix(lines[len(lines)-1], "sedgestream: ") {
			t.Errorf("%s: %v, %s", c[1], err, out)
		}
	}
}
