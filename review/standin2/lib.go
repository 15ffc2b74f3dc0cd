// Command review-2 plays the cases of the second review: it is node, discovery, client and platform to a router that it
// starts by the line `run` of deploy/balancer.toml. It uses the standard library alone.
package main

import (
	"bufio"
	"encoding/binary"
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// background runs what goes on beside a case, up to the end of the process.
var background sync.WaitGroup

// scene is one run of a case: its record, its temporary folder, and what has to be ended.
type scene struct {
	trouble bool
	start   time.Time
	dir     string
	mu      sync.Mutex
	record  *os.File
	cleanup []func()
}

// note writes a line to record.txt.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// eachSecond writes what state returns to the record, once a second, until the end of the run.
func (s *scene) eachSecond(state func() string) {
	over := make(chan struct{})
	s.onEnd(func() { close(over) })
	background.Go(func() {
		for {
			select {
			case <-over:
				return
			case <-time.After(time.Second):
				s.note("%s", state())
			}
		}
	})
}

func (s *scene) onEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanup = append(s.cleanup, f)
}

// end runs what onEnd has collected.
func (s *scene) end() {
	s.mu.Lock()
	todo := s.cleanup
	s.cleanup = nil
	s.mu.Unlock()
	for i := len(todo) - 1; i >= 0; i-- {
		todo[i]()
	}
}

// fail ends a run that could not take place.
func (s *scene) fail(format string, args ...any) {
	s.note("could not run: "+format, args...)
	s.end()
	fmt.Printf("could not run: "+format+"\n", args...)
	os.Exit(cannotRun)
}

// query is a statement as a node or a client sees it.
type query struct {
	text, id, class, key string
	write                bool
	d                    int
	cluster              int
	arrived              time.Time
}

var (
	idPattern      = regexp.MustCompile(`[ ,*]id=([^, ]*)`)
	classPattern   = regexp.MustCompile(`[ ,]c=([^, ]*)`)
	waitPattern    = regexp.MustCompile(`[ ,]d=(\d+)`)
	clusterPattern = regexp.MustCompile(`[ ,]cluster=(\d+)`)
	keyPattern     = regexp.MustCompile(`'([0-9a-f]+)'`)
)

func field(p *regexp.Regexp, text string) string {
	if m := p.FindStringSubmatch(text); m != nil {
		return m[1]
	}
	return ""
}

func parseQuery(text string) query {
	d, _ := strconv.Atoi(field(waitPattern, text))
	cluster, _ := strconv.Atoi(field(clusterPattern, text))
	return query{text: text, id: field(idPattern, text), class: field(classPattern, text), key: field(keyPattern, text),
		write: strings.HasPrefix(text, "INSERT"), d: d, cluster: cluster, arrived: time.Now()}
}

// Messages of the protocol.

func message(kind byte, body []byte) []byte {
	b := make([]byte, 5, 5+len(body))
	b[0] = kind
	binary.BigEndian.PutUint32(b[1:], uint32(4+len(body)))
	return append(b, body...)
}

func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(header[1:])) - 4
	if n < 0 || n > 1<<20 {
		return 0, nil, errors.New("a message of a wrong length")
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// answer is what a node answers to a statement.
type answer struct {
	value string
	code  string // of an error; "" for a value
	role  string // source or copy
	asOf  int64  // position in Unix milliseconds; 0: none
	vital string // load report; "": none
	tag   string
}

func (a answer) bytes() (b []byte) {
	if a.code != "" {
		b = append(b, message('E', []byte("SERROR\x00VERROR\x00C"+a.code+"\x00Mno\x00\x00"))...)
	} else {
		description := append([]byte{0, 1}, "body\x00"...)
		description = append(description, make([]byte, 6)...)
		description = append(description, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
		b = append(b, message('T', description)...)
		row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(a.value)))
		b = append(b, message('D', append(row, a.value...))...)
		b = append(b, message('C', []byte(a.tag+"\x00"))...)
	}
	b = append(b, message('S', []byte("rank\x00"+a.role+"\x00"))...)
	if a.asOf > 0 {
		b = append(b, message('S', []byte("as_of\x00"+strconv.FormatInt(a.asOf, 10)+"\x00"))...)
	}
	if a.vital != "" {
		b = append(b, message('S', []byte("vitals\x00"+a.vital+"\x00"))...)
	}
	return append(b, message('Z', []byte{'I'})...)
}

// node is a database node. handle is called for each statement in a goroutine of its connection, and writes the answer.
type node struct {
	id, zone string
	cell     int
	listener net.Listener
	onOpen   func(number int, c net.Conn) bool // called for a startup packet; false ends the connection
	handle   func(c *nodeConn, q query)
	report   func() string             // the answer to SHOW vitals
	network  func(c net.Conn) net.Conn // if set, stands between
	opened   atomic.Int64
	mu       sync.Mutex
	conns    map[*nodeConn]struct{}
}

type nodeConn struct {
	net.Conn
	number int
	in     *bufio.Reader
	role   func() string
}

func (s *scene) newNode(id string, cell int, handle func(c *nodeConn, q query)) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("%v", err)
	}
	n := &node{id: id, zone: "z", cell: cell, listener: l, handle: handle, conns: map[*nodeConn]struct{}{}}
	s.onEnd(func() { l.Close(); n.closeAll() })
	background.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n.network != nil {
				c = n.network(c)
			}
			conn := &nodeConn{Conn: c, in: bufio.NewReader(c), number: int(n.opened.Add(1))}
			background.Go(func() { n.serve(conn) })
		}
	})
	return n
}

func (n *node) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Close()
	}
}

func (n *node) address() string { return n.listener.Addr().String() }

func (n *node) serve(c *nodeConn) {
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	var length [4]byte
	if _, err := io.ReadFull(c.in, length[:]); err != nil {
		return
	}
	size := int(binary.BigEndian.Uint32(length[:])) - 4
	if size < 4 || size > 4096 {
		return
	}
	if _, err := io.CopyN(io.Discard, c.in, int64(size)); err != nil {
		return
	}
	if n.onOpen != nil && !n.onOpen(c.number, c) {
		return
	}
	c.Write(append(message('R', []byte{0, 0, 0, 0}), message('Z', []byte{'I'})...))
	for {
		kind, body, err := readMessage(c.in)
		if err != nil || kind == 'X' {
			return
		}
		if kind != 'Q' || len(body) == 0 {
			continue
		}
		text := string(body[:len(body)-1])
		switch {
		case text == "SHOW vitals" && n.report != nil:
			c.Write(answer{value: n.report(), role: "copy", tag: "SHOW"}.bytes())
		case text == "SHOW vitals":
			c.Write(answer{code: "42501", role: "copy"}.bytes())
		default:
			n.handle(c, parseQuery(text))
		}
	}
}

// discovery serves the list of nodes.
type discovery struct {
	address string
	mu      sync.Mutex
	version int
	delay   time.Duration // before each response
	entries map[string]map[string]any
	order   []string
	watches map[chan string]struct{}
	ends    chan struct{} // closed to reset the watches
	log     func(format string, args ...any)
}

// resetWatches ends all open watches; the caller holds the lock.
func (d *discovery) resetWatches() {
	close(d.ends)
	d.ends = make(chan struct{})
}

func (s *scene) newDiscovery(nodes ...*node) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("%v", err)
	}
	d := &discovery{address: l.Addr().String(), version: 7, entries: map[string]map[string]any{}, watches: map[chan string]struct{}{},
		ends: make(chan struct{})}
	for _, n := range nodes {
		d.entries[n.id] = map[string]any{"id": n.id, "addr": n.address(), "zone": n.zone, "kind": "k", "cell": n.cell, "state": "up",
			"weight": 1, "started_ms": 0}
		d.order = append(d.order, n.id)
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	background.Go(func() { server.Serve(l) })
	s.onEnd(func() { server.Close() })
	return d
}

// list returns the whole list as JSON; the caller holds the lock.
func (d *discovery) list() string {
	var servers []any
	for _, id := range d.order {
		servers = append(servers, d.entries[id])
	}
	b, _ := json.Marshal(map[string]any{"version": d.version, "full": true, "servers": servers})
	return string(b)
}

func (d *discovery) whole() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

// set changes an entry and tells the open watches.
func (d *discovery) set(id string, change map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for k, v := range change {
		d.entries[id][k] = v
	}
	b, _ := json.Marshal(map[string]any{"version": d.version, "full": false, "servers": []any{d.entries[id]}})
	for w := range d.watches {
		w <- string(b) + "\n"
	}
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	d.mu.Lock()
	delay, ends := d.delay, d.ends
	d.mu.Unlock()
	time.Sleep(delay)
	if d.log != nil {
		d.log("discovery answers %s after %v; the caller has given up: %v", r.URL, time.Since(came).Round(time.Millisecond), r.Context().Err() != nil)
	}
	if r.FormValue("stream") != "1" {
		io.WriteString(w, d.whole())
		return
	}
	lines := make(chan string, 100)
	d.mu.Lock()
	if since, _ := strconv.Atoi(r.FormValue("index")); since < d.version {
		lines <- d.list() + "\n"
	}
	d.watches[lines] = struct{}{}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, lines)
		d.mu.Unlock()
	}()
	w.WriteHeader(200)
	w.(http.Flusher).Flush()
	for {
		select {
		case line := <-lines:
			io.WriteString(w, line)
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		case <-ends:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}

// router is a process of the program.
type router struct {
	cmd     *exec.Cmd
	address string
	exited  chan struct{}
	exitErr error
	config  string
}

func freePort(s *scene) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runLine returns the line `run` of the deploy file.
func runLine(s *scene) string {
	b, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		s.fail("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run *= *"(.*)" *$`).FindSubmatch(b)
	if m == nil {
		s.fail("no line run in the deploy file")
	}
	return strings.ReplaceAll(string(m[1]), `\"`, `"`)
}

// limits are the limits of a router.
var limits = `{"cores":1.0,"memory_mb":192,"sockets":1024}`

// startRouter starts a router among the nodes that discovery lists, and waits until it answers an empty query.
func (s *scene) startRouter(name string, d *discovery, settings string) *router {
	r := &router{address: freePort(s), exited: make(chan struct{}), config: filepath.Join(s.dir, name+".json")}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":%s,"known":%s,"settings":%s}`, name, r.address, d.address, limits, d.whole(), settings)
	if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
		s.fail("%v", err)
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.fail("%v", err)
	}
	r.cmd = exec.Command("/bin/sh", "-c", runLine(s))
	r.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+r.config, "ROUTER_NAME="+name, "ROUTER_LISTEN="+r.address, "ROUTER_DISCOVERY="+d.address)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		s.fail("%v", err)
	}
	background.Go(func() { r.exitErr = r.cmd.Wait(); close(r.exited) })
	s.onEnd(func() {
		r.cmd.Process.Signal(syscall.SIGCONT)
		r.cmd.Process.Kill()
		select {
		case <-r.exited:
		case <-time.After(5 * time.Second):
		}
	})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if c, err := dialClient(r.address); err == nil {
			err = c.send("")
			if err == nil {
				_, err = c.receive(time.Second)
			}
			c.Close()
			if err == nil {
				break
			}
		}
		if time.Now().After(end) {
			s.fail("the router is not ready within 10 s")
		}
	}
	s.note("router %s is ready, process %d", name, r.cmd.Process.Pid)
	return r
}

// client is a client's connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

// reply is an answer as a client gets it.
type reply struct {
	value  string
	code   string // of an error, "" for a value
	served bool
	at     time.Time
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	body := append([]byte{0, 3, 0, 0}, "user\x00worker\x00database\x00catalog\x00\x00"...)
	packet := binary.BigEndian.AppendUint32(nil, uint32(4+len(body)))
	if _, err := c.Write(append(packet, body...)); err != nil {
		c.Close()
		return nil, err
	}
	k := &client{c, bufio.NewReader(c)}
	k.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		kind, _, err := readMessage(k.in)
		if err != nil || kind == 'E' {
			c.Close()
			return nil, errors.Join(err, errors.New("no startup"))
		}
		if kind == 'Z' {
			return k, nil
		}
	}
}

func (c *client) send(text string) error {
	_, err := c.Write(message('Q', append([]byte(text), 0)))
	return err
}

// receive reads one answer, up to ReadyForQuery.
func (c *client) receive(timeout time.Duration) (r reply, err error) {
	c.SetReadDeadline(time.Now().Add(timeout))
	row, complete := false, false
	for {
		kind, body, err := readMessage(c.in)
		if err != nil {
			return r, err
		}
		switch kind {
		case 'D':
			if len(body) >= 6 {
				r.value, row = string(body[6:]), true
			}
		case 'C':
			complete = true
		case 'E':
			for _, f := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(f, "C") {
					r.code = f[1:]
				}
			}
		case 'Z':
			r.served, r.at = row && complete && r.code == "", time.Now()
			return r, nil
		}
	}
}

var lastID atomic.Int64

// newID returns an id that no other request of this run has.
func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), lastID.Add(1)) }

func readStatement(key, id, class string, d, cluster int, more string) string {
	return fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s' /* id=%s,c=%s,d=%d,cluster=%d%s */", key, id, class, d, cluster, more)
}

func writeStatement(key, value, id, class string, d, cluster int, more string) string {
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('%s', '\x%s') RETURNING body /* id=%s,c=%s,d=%d,cluster=%d%s */`,
		key, value, id, class, d, cluster, more)
}
