// Package standin provides stand-ins for the surroundings of a router: database nodes, discovery, another
// router, and clients. They speak the public protocols (PostgreSQL version 3, HTTP/1.1), fail on demand, and
// record what they executed.
package standin

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sys/unix"
)

// TB is the part of testing.TB that stand-ins need. Programs outside of tests implement it too.
type TB interface {
	Helper()
	Fatal(args ...any)
	Error(args ...any)
	Errorf(format string, args ...any)
	Cleanup(f func())
	TempDir() string
	Failed() bool
}

// WaitTimeout is how long WaitFor waits before it fails the test.
const WaitTimeout = 20 * time.Second

// WaitFor waits until the condition holds, and fails the test after WaitTimeout.
func WaitFor(t TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain: ", what)
		}
	}
}

// Node is a stand-in for a database node. OnStartup and Handler are set before the node is used, or within
// WithLock.
type Node struct {
	Listener            net.Listener
	Role                string                                    // "source" is a primary, "copy" a replica; under WithLock
	Group               int                                       // the cluster number in statements and in the list
	Zone                string                                    // in the list
	ListsRole           bool                                      // its list entry has the node's role, as "rank"
	ReportsPosition     bool                                      // its answers carry its replication position (as_of)
	ClockOffset         time.Duration                             // offset of its clock, and of its start time in the list, from this machine's clock
	OnStartup           func(net.Conn) bool                       // called on a startup message; false closes the connection; may be nil
	Handler             func(*pgproto3.Backend, net.Conn, string) // answers a statement; nil: answers with the node's role
	SkipRecords         bool                                      // keeps no statements and executions, for load tests
	Position            func() time.Time                          // time up to which its answers include every write; nil: now
	OnEmptyQuery        func()                                    // called before an empty query is answered; may be nil
	RepeatsEmptyAnswers bool                                      // the answer to an empty query is sent twice, RepeatPause apart
	RepeatPause         time.Duration
	RejectReplicaWrites bool // a replica rejects writes with 25006, as PostgreSQL does, and records them in ReplicaWrites only

	t             TB
	mu            sync.Mutex
	statements    []string
	executions    []Execution
	replicaWrites []ReplicaWrite
	conns         map[net.Conn]struct{}
	down          bool
	startedMs     int64
	restarts      []time.Time // times of all starts but the first
	model         *ServiceModel
	ProbeCount    int // probes answered; under WithLock
	SessionCount  int // connections opened; under WithLock
}

// Backend and Conn are what a node's Handler answers over.
type (
	Backend = pgproto3.Backend
	Conn    = net.Conn
)

// Execution records one statement that a node received.
type Execution struct {
	ID         string
	Timeout    time.Duration // the attempt's timeout, from the statement's comment
	ReceivedAt time.Time
	AnsweredAt time.Time // zero: never
}

// ReplicaWrite records one write that a node received while it was a replica, whether or not it executed it.
type ReplicaWrite struct {
	ID         string
	ReceivedAt time.Time
	Rejected   bool // with 25006, so that it had no effect
}

// NewNode starts a node that listens on the loopback interface. Its role is "source" (primary) or "copy"
// (replica).
func NewNode(t TB, role string) *Node {
	n := &Node{t: t, Role: role, Group: defaultGroup, Zone: "z", conns: map[net.Conn]struct{}{}}
	var err error
	if n.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Listener.Close() })
	go func() {
		for {
			c, err := n.Listener.Accept()
			if err != nil {
				return
			}
			n.WithLock(func() {
				if n.down {
					c.Close()
				} else {
					n.conns[c] = struct{}{}
					go n.serve(c)
				}
			})
		}
	}()
	return n
}

// NewPair starts a primary and a replica.
func NewPair(t TB) (primary, replica *Node) { return NewNode(t, "source"), NewNode(t, "copy") }

// defaultGroup is the group of nodes and statements unless another is set.
const defaultGroup = 2

var commentPattern = regexp.MustCompile(`id=([^,]*),.*\bd=(\d+)`)

// ListEntry returns the node's entry in the discovery list, as JSON. Its index gives its id.
func (n *Node) ListEntry(index int, state string) string {
	started := int64(0)
	n.WithLock(func() { started = n.startedMs })
	rank := ""
	if n.ListsRole {
		rank = fmt.Sprintf(`,"rank":%q`, n.Role)
	}
	return fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":%q,"kind":"k","cell":%d,"state":%q,"weight":1,"started_ms":%d%s}`,
		index, n.Listener.Addr(), n.Zone, n.Group, state, n.toNodeClock(started), rank)
}

// toNodeClock converts Unix milliseconds to the node's clock; 0 stays 0.
func (n *Node) toNodeClock(ms int64) int64 {
	if ms == 0 {
		return 0
	}
	return ms + n.ClockOffset.Milliseconds()
}

// Stop closes the node's connections and rejects new ones until Restart.
func (n *Node) Stop() {
	n.WithLock(func() {
		n.down = true
		for c := range n.conns {
			c.Close()
		}
	})
}

// SetRole sets the node's role in its group. It takes effect with the node's next answer.
func (n *Node) SetRole(role string) {
	n.WithLock(func() { n.Role = role })
}

// role returns the node's current role.
func (n *Node) role() (role string) {
	n.WithLock(func() { role = n.Role })
	return role
}

// position returns the time up to which the node's answers include every write.
func (n *Node) position() time.Time {
	if n.Position != nil {
		return n.Position()
	}
	return time.Now()
}

// CloseConnections closes the node's open connections. New ones are accepted.
func (n *Node) CloseConnections() {
	n.WithLock(func() {
		for c := range n.conns {
			c.Close()
		}
	})
}

// Restart has a stopped node accept connections again, with a new start time.
func (n *Node) Restart() {
	n.WithLock(func() {
		n.down, n.startedMs = false, time.Now().UnixMilli()
		n.restarts = append(n.restarts, time.UnixMilli(n.startedMs))
	})
}

// Restarts returns the times of all starts but the first.
func (n *Node) Restarts() (restarts []time.Time) {
	n.WithLock(func() { restarts = append(restarts, n.restarts...) })
	return restarts
}

// StartedAt returns the time of the last restart, or the zero time if there was none.
func (n *Node) StartedAt() (at time.Time) {
	n.WithLock(func() {
		if n.startedMs > 0 {
			at = time.UnixMilli(n.startedMs)
		}
	})
	return at
}

// serve answers one connection until it ends.
func (n *Node) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		n.WithLock(func() { delete(n.conns, conn) })
	}()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil || n.OnStartup != nil && !n.OnStartup(conn) {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	backend.Flush()
	n.WithLock(func() { n.SessionCount++ })
	for {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		query, ok := message.(*pgproto3.Query)
		if !ok {
			n.t.Errorf("a node received an unexpected %T message", message)
			return
		}
		if n.answerSessionCommand(backend, query.String) {
			continue
		}
		if query.String == "SHOW vitals" {
			n.WithLock(func() { n.ProbeCount++ })
			primary := map[string]int{"source": 1}[n.role()]
			load := "load_share=0.1"
			if n.model != nil {
				load = n.model.report()
			}
			n.SendValue(backend, fmt.Sprintf("x0=%.3f,x1=%d,%s", float64(n.toNodeClock(n.position().UnixMilli()))/1e3, primary, load))
			continue
		}
		if n.role() != "source" && strings.HasPrefix(query.String, "INSERT") {
			n.recordReplicaWrite(query.String)
			if n.RejectReplicaWrites {
				n.ErrorHandler("25006")(backend, conn, query.String)
				continue
			}
		}
		handler, index := n.Handler, -1
		n.WithLock(func() {
			if handler = n.Handler; n.SkipRecords {
				return
			}
			if n.model == nil { // with a service model there are many statements, and the executions suffice
				n.statements = append(n.statements, query.String)
			}
			if match := commentPattern.FindStringSubmatch(query.String); match != nil {
				ms, _ := strconv.Atoi(match[2])
				index = len(n.executions)
				n.executions = append(n.executions, Execution{ID: match[1], Timeout: time.Duration(ms) * time.Millisecond, ReceivedAt: time.Now()})
			}
		})
		if handler != nil {
			handler(backend, conn, query.String)
		} else {
			n.SendValue(backend, "from "+n.role())
		}
		if index >= 0 {
			n.WithLock(func() { n.executions[index].AnsweredAt = time.Now() })
		}
	}
}

// answerSessionCommand answers a statement that has no effect, an empty one or a session command, at once. It reports whether
// the statement is one.
func (n *Node) answerSessionCommand(backend *pgproto3.Backend, query string) bool {
	command, _, _ := strings.Cut(query, " ")
	var answer pgproto3.BackendMessage
	switch command {
	case "":
		if n.OnEmptyQuery != nil {
			n.OnEmptyQuery()
		}
		answer = &pgproto3.EmptyQueryResponse{}
	case "SET", "RESET", "DISCARD":
		answer = &pgproto3.CommandComplete{CommandTag: []byte(command)}
	default:
		return false
	}
	n.sendEmptyAnswer(backend, answer)
	if command == "" && n.RepeatsEmptyAnswers {
		time.Sleep(n.RepeatPause)
		n.sendEmptyAnswer(backend, answer)
	}
	return true
}

// sendEmptyAnswer sends the answer to a statement without effect.
func (n *Node) sendEmptyAnswer(backend *pgproto3.Backend, answer pgproto3.BackendMessage) {
	backend.Send(answer)
	n.sendReady(backend)
}

// WithLock calls f with the node's lock held.
func (n *Node) WithLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// Statements returns the statements received so far without probes, in order of arrival.
func (n *Node) Statements() (statements []string) {
	n.WithLock(func() { statements = append(statements, n.statements...) })
	return statements
}

// Executions returns the executions recorded so far, in order of arrival.
func (n *Node) Executions() (executions []Execution) {
	n.WithLock(func() { executions = append(executions, n.executions...) })
	return executions
}

// ReplicaWrites returns the writes that arrived while the node was a replica, in order of arrival. They are recorded with
// RejectReplicaWrites as well as without it.
func (n *Node) ReplicaWrites() (writes []ReplicaWrite) {
	n.WithLock(func() { writes = append(writes, n.replicaWrites...) })
	return writes
}

// recordReplicaWrite records a write that has arrived at a replica.
func (n *Node) recordReplicaWrite(statement string) {
	if n.SkipRecords {
		return
	}
	write := ReplicaWrite{ID: RequestID(statement), ReceivedAt: time.Now(), Rejected: n.RejectReplicaWrites}
	n.WithLock(func() { n.replicaWrites = append(n.replicaWrites, write) })
}

// SendValue answers a statement with one row that has the value.
func (n *Node) SendValue(backend *pgproto3.Backend, value string) {
	backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("body"), DataTypeOID: 17, Format: 1}}})
	backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	n.sendReady(backend)
}

// sendReady ends an answer with the node's role, its position if it reports one, and ReadyForQuery.
func (n *Node) sendReady(backend *pgproto3.Backend) {
	backend.Send(&pgproto3.ParameterStatus{Name: "rank", Value: n.role()})
	if n.ReportsPosition {
		backend.Send(&pgproto3.ParameterStatus{Name: "as_of", Value: strconv.FormatInt(n.toNodeClock(n.position().UnixMilli()), 10)})
	}
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	backend.Flush()
}

// ErrorHandler returns a Handler that answers every statement with an error of that SQLSTATE.
func (n *Node) ErrorHandler(sqlState string) func(*pgproto3.Backend, net.Conn, string) {
	return func(backend *pgproto3.Backend, _ net.Conn, _ string) {
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: sqlState, Message: "no"})
		n.sendReady(backend)
	}
}

// CorkWrites sets TCP_CORK, so that the kernel keeps written data until the connection is closed, and the data
// arrives together with the end of the stream.
func CorkWrites(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
	}
}

// CloseConnection is a Handler that closes the connection instead of answering.
func CloseConnection(_ *pgproto3.Backend, conn net.Conn, _ string) { conn.Close() }

// Fault is how a node treats a share of its statements. The statement's id decides whether it is affected, so
// that two runs with the same ids have the same faults.
type Fault struct {
	Share    float64       // share of the statements, beginning where the previous fault's share ends
	SQLState string        // if set, an error with this state is the answer
	Close    bool          // the connection is closed instead of answering
	Delay    time.Duration // delay before the answer, error or close; negative: no answer at all
}

// WithFaults sets a Handler that applies the faults, and answers all other statements after the usual time.
func (n *Node) WithFaults(usualDelay time.Duration, faults ...Fault) *Node {
	n.WithLock(func() {
		n.Handler = func(backend *pgproto3.Backend, conn net.Conn, query string) {
			fraction := IDFraction(query)
			for _, fault := range faults {
				if fraction -= fault.Share; fraction >= 0 {
					continue
				}
				if fault.Delay < 0 {
					conn.Read(make([]byte, 1)) // until the router closes the connection
					conn.Close()
					return
				}
				time.Sleep(fault.Delay)
				switch {
				case fault.Close:
					conn.Close()
				case fault.SQLState != "":
					n.ErrorHandler(fault.SQLState)(backend, conn, query)
				default:
					n.SendValue(backend, "late")
				}
				return
			}
			time.Sleep(usualDelay)
			n.SendValue(backend, "from "+n.role())
		}
	})
	return n
}

// IDFraction maps a statement's id to a number in [0, 1) by a hash.
func IDFraction(query string) float64 {
	hash := uint32(2166136261)
	if match := commentPattern.FindStringSubmatch(query); match != nil {
		for i := range match[1] {
			hash = (hash ^ uint32(match[1][i])) * 16777619
		}
	}
	hash ^= hash >> 15
	hash *= 2246822519
	return float64(hash^hash>>13) / (1 << 32)
}
