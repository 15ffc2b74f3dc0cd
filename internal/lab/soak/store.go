package soak

import (
	"fmt"
	"math"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"sedgestream/internal/standin"
)

// Behaviour of nodes.
const (
	meanWork      = 4 * time.Millisecond // mean processing time of a request, exponentially distributed
	maxWorkMeans  = 6                    // limit of the processing time, as a multiple of the mean
	nodeCores     = 4                    // for the capacity from which the allowance of a cold node follows
	handOverTime  = 500 * time.Millisecond
	drainTime     = 1500 * time.Millisecond // from a node's draining to its stop
	slowConnDelay = 1500 * time.Millisecond // time to accept a slow connection
)

// SQLSTATEs with which nodes reject requests.
const (
	notPrimary = "25006"
	dataTooOld = "72000"
)

// valuePrefix is the prefix of every value that a node answers with.
const valuePrefix = "from "

// valueOf returns the value that a node answers with.
func valueOf(node int) string { return valuePrefix + strconv.Itoa(node) }

// store is a group of stand-in nodes: a primary, and replicas that receive its writes after the replication
// lag.
type store struct {
	scenario *Scenario
	recorder *recorder
	nodes    []*node

	mu      sync.Mutex
	primary int                  // -1: none
	lostAt  time.Time            // when the last primary was removed, while there is none
	commits map[string]time.Time // first execution of each write, by request id
}

// node is a node of the store.
type node struct {
	*standin.Node
	store *store
	index int

	// Guarded by the store's lock.
	frozenAt      time.Time // time of its data while it does not replicate
	hung          bool
	delay         time.Duration
	resetShare    float64 // share of the requests whose connection it resets
	slowConnShare float64 // share of the connections that it accepts slowly
	sessions      int     // connections accepted so far
}

// newStore starts the nodes of a scenario; the first is the primary.
func newStore(tb standin.TB, scenario *Scenario, recorder *recorder) *store {
	s := &store{scenario: scenario, recorder: recorder, commits: map[string]time.Time{}}
	for i := range scenario.Nodes {
		role := "copy"
		if i == 0 {
			role = "source"
		}
		n := &node{Node: standin.NewNode(tb, role), store: s, index: i}
		n.ReportsPosition, n.SkipRecords, n.Position = true, true, n.position
		n.OnStartup = n.onStartup
		n.Handler = n.serve
		s.nodes = append(s.nodes, n)
	}
	recorder.beginTerm(0)
	return s
}

// withLock calls f with the store's lock held.
func (s *store) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// position returns the time up to which the node has all writes.
func (n *node) position() (at time.Time) {
	n.store.withLock(func() { at = n.positionLocked() })
	return at
}

// positionLocked is position with the store's lock held.
func (n *node) positionLocked() time.Time {
	s, now := n.store, time.Now()
	switch {
	case s.primary == n.index:
		return now
	case !n.frozenAt.IsZero():
		return n.frozenAt
	case s.primary < 0:
		now = s.lostAt
	}
	return now.Add(-s.scenario.ReplicationLag)
}

// isPrimary reports whether the node is the primary.
func (n *node) isPrimary() (is bool) {
	n.store.withLock(func() { is = n.store.primary == n.index })
	return is
}

// waitOut waits while the node hangs, and then for its delay.
func (n *node) waitOut() {
	for {
		hung, delay := false, time.Duration(0)
		n.store.withLock(func() { hung, delay = n.hung, n.delay })
		if !hung {
			time.Sleep(delay)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// onStartup delays a share of the new connections, and all of them while the node hangs or is slow.
func (n *node) onStartup(net.Conn) bool {
	slow := false
	n.store.withLock(func() {
		n.sessions++
		slow = math.Mod(float64(n.sessions)*n.slowConnShare, 1) < n.slowConnShare
	})
	if slow {
		time.Sleep(slowConnDelay)
	}
	n.waitOut()
	return true
}

var commentPattern = regexp.MustCompile(`id=([0-9a-f]+),c=(\w+),d=(\d+)(?:.*,after=(\d+))?`)

// query is the content of a statement's comment.
type query struct {
	id        string
	class     Class
	timeout   time.Duration
	minCommit time.Time // commit time that a session read must see; zero: none
}

// parseQuery parses the comment of a statement.
func parseQuery(text string) (q query, ok bool) {
	parts := commentPattern.FindStringSubmatch(text)
	if parts == nil {
		return q, false
	}
	ms, _ := strconv.ParseInt(parts[3], 10, 64)
	minCommit, _ := strconv.ParseInt(parts[4], 10, 64)
	q = query{id: parts[1], timeout: time.Duration(ms) * time.Millisecond, class: -1}
	if minCommit > 0 {
		q.minCommit = time.UnixMilli(minCommit)
	}
	for i, name := range ClassNames {
		if name == parts[2] {
			q.class = Class(i)
		}
	}
	return q, q.class >= 0
}

// serve answers a statement and records the attempt.
func (n *node) serve(backend *standin.Backend, conn standin.Conn, text string) {
	query, ok := parseQuery(text)
	if !ok {
		n.ErrorHandler("08P01")(backend, conn, text)
		return
	}
	attempt := n.store.recorder.addAttempt(Attempt{ID: query.id, Node: n.index, ReceivedAt: time.Now(), Timeout: query.timeout})
	n.waitOut()
	if state := n.rejection(query); state != "" {
		n.recordAnswer(attempt, time.Time{})
		n.ErrorHandler(state)(backend, conn, text)
		return
	}
	dataTime := n.execute(query, attempt)
	fraction := standin.IDFraction(text)
	time.Sleep(time.Duration(float64(meanWork) * min(maxWorkMeans, -math.Log(1-min(fraction, 1-1e-9)))))
	resetShare := 0.0
	n.store.withLock(func() { resetShare = n.resetShare })
	if math.Mod(fraction*17, 1) < resetShare {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	n.recordAnswer(attempt, dataTime)
	n.SendValue(backend, valueOf(n.index))
}

// recordAnswer records that an attempt was answered from data of that time.
func (n *node) recordAnswer(attempt int, dataTime time.Time) {
	primary := n.isPrimary()
	n.store.recorder.updateAttempt(attempt, func(a *Attempt) { a.DataTime, a.AnsweredAt, a.ShowedReplica = dataTime, time.Now(), !primary })
}

// rejection returns the SQLSTATE with which the node rejects a request without executing it, or "".
func (n *node) rejection(query query) string {
	scenario := n.store.scenario
	primary := n.isPrimary()
	if query.class.IsWrite() {
		if primary {
			return ""
		}
		return notPrimary
	}
	if scenario.ServerChecks == "off" || primary {
		return ""
	}
	dataTime := n.position()
	tooOld := query.class == Fresh || query.class == Bounded && time.Since(dataTime) > stalenessBound ||
		query.class == Session && dataTime.Before(query.minCommit)
	if tooOld || query.class == Session && scenario.RouterSessions {
		return dataTooOld
	}
	return ""
}

// execute executes a request and returns the time of the data it saw.
func (n *node) execute(query query, attempt int) (dataTime time.Time) {
	dataTime = n.position()
	n.store.recorder.updateAttempt(attempt, func(a *Attempt) { a.Executed = true })
	if query.class.IsWrite() {
		now := time.Now()
		n.store.withLock(func() {
			if _, executed := n.store.commits[query.id]; !executed {
				n.store.commits[query.id] = now
			}
		})
	}
	return dataTime
}

// committed returns when a write took effect, rounded up to the next millisecond.
func (s *store) committed(id string) (at time.Time) {
	s.withLock(func() { at = s.commits[id] })
	if at.IsZero() {
		return at
	}
	return at.Truncate(time.Millisecond).Add(time.Millisecond)
}

// removePrimary leaves the group without a primary, because it was lost or has handed over. It returns the
// former one, or nil.
func (s *store) removePrimary(lost bool) (former *node) {
	s.withLock(func() {
		if s.primary < 0 {
			return
		}
		former = s.nodes[s.primary]
		former.frozenAt = time.Now()
		s.lostAt, s.primary = time.Now(), -1
		s.recorder.endTerm(s.lostAt, lost)
	})
	if former != nil {
		former.SetRole("copy")
	}
	return former
}

// electPrimary makes the first node that is up, except the excluded one, the primary. It has all committed writes.
func (s *store) electPrimary(excluded int, isUp func(n int) bool) {
	successor := -1
	for i := range s.nodes {
		if i != excluded && isUp(i) {
			successor = i
			break
		}
	}
	if successor < 0 {
		return
	}
	s.nodes[successor].SetRole("source")
	s.withLock(func() {
		s.primary = successor
		s.nodes[successor].frozenAt = time.Time{}
		s.recorder.beginTerm(successor)
	})
}

// resumeReplication has a node replicate from the primary again.
func (s *store) resumeReplication(index int) {
	s.withLock(func() { s.nodes[index].frozenAt = time.Time{} })
}

// allowance returns how many requests of mean work the settings allow a node within overloadWindow at its
// start.
func allowance() float64 {
	capacity := nodeCores * float64(time.Second) / float64(meanWork)
	return overloadMultiple * startCapacity * capacity * overloadWindow.Seconds()
}

// listEntry returns the node's entry in the discovery list, as JSON.
func (n *node) listEntry(state string) string {
	started := int64(0)
	if at := n.StartedAt(); !at.IsZero() {
		started = at.UnixMilli()
	}
	return fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"z","kind":"k","cell":2,"state":%q,"weight":1,"started_ms":%d}`,
		n.index, n.Listener.Addr(), state, started)
}

// listEntries returns the entries of all nodes by their states, without those whose state is empty.
func (s *store) listEntries(states []string) string {
	var entries []string
	for i, n := range s.nodes {
		if states[i] != "" {
			entries = append(entries, n.listEntry(states[i]))
		}
	}
	return strings.Join(entries, ",")
}
