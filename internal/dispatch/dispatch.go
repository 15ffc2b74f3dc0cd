// Package dispatch connects the routing decisions of package balance with the goroutines that execute them.
// It owns the balance.Router: one lock guards it, one clock and one timer drive it. The router calls back
// into the dispatcher (balance.Actions) while the lock is held; the dispatcher only queues what the router
// decided, and other goroutines execute it, so that nothing here blocks.
package dispatch

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/decide/loadsum"
	"sedgestream/internal/decide/plan"
	"sedgestream/internal/decide/terms"
	"sedgestream/internal/recovery"
	"sedgestream/internal/settings"
)

// NodeRegistry receives the addresses of nodes by node number, and learns when a number is no longer in use.
type NodeRegistry interface {
	SetNode(node int, name, address string)
	RemoveNode(node int)
}

// Policy is the configuration that applies to a request from its arrival to its end: the settings, and the
// terms if there are any. It is immutable.
type Policy struct {
	Settings *settings.Settings
	terms    *terms.RouteTable
	classIDs []int // the router's number of each class in Settings
}

// maxClasses bounds the number of classes that the start and all reloads of the settings add together: the router
// keeps some bytes for each of them until the process ends.
const maxClasses = 1 << 12

// Dispatcher owns the router of this process. All its methods may be called concurrently.
type Dispatcher struct {
	log       *zap.Logger
	trace     trace // guarded by mu
	startTime time.Time
	startUnix int64 // startTime in Unix nanoseconds
	registry  NodeRegistry
	policy    atomic.Pointer[Policy] // for requests that arrive from now on
	stalls    stallDetector

	mu           sync.Mutex
	router       *balance.Router
	timer        *time.Timer
	slots        []slot
	lastSerial   uint64
	inFlight     int
	mailboxes    sync.Pool // mailboxes for reuse
	nodeNumbers  map[string]int
	nodeNames    []string
	freeNumbers  []int // numbers of nodes that have left, to be assigned again
	groupIndexes map[int64]int
	zoneIndexes  map[string]int
	notices      *plan.NoticeBoard     // the newest state of each node as planners and the list give it; nil without planners
	listedNodes  map[string]ListedNode // nodes as the list has them, while notices is not nil
	loadMeter    *loadsum.Meter        // load of this router's attempts, for the planners that add up all routers' load; nil without them
	nodeByHash   map[uint32]int        // nodes by the CRC-32 of their name, while loadMeter is not nil; negative if two names share it

	// Actions that belong to no request. Each list is bounded, as a node has at most one outstanding probe.
	pendingProbes, pendingCloseIdle    []int
	pendingWatchList, pendingFetchList bool
	pendingMessages                    []PeerMessage
	Pending                            chan struct{} // signaled when TakeActions has something to return
}

// New starts a dispatcher and its router. The seed is that of the router's random choices.
func New(c *settings.Settings, seed uint64, nodes NodeRegistry, log *zap.Logger) *Dispatcher {
	d := &Dispatcher{
		log:          log,
		trace:        newTrace(log),
		startTime:    time.Now(),
		registry:     nodes,
		nodeNumbers:  map[string]int{},
		groupIndexes: map[int64]int{},
		zoneIndexes:  map[string]int{},
		Pending:      make(chan struct{}, 1),
	}
	d.startUnix = d.startTime.UnixNano()
	d.timer = recovery.AfterFunc(log, "alarm", time.Hour, d.onTimer)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.ResolveZone(d.zoneIndexes)
	d.router = balance.NewRouter(&c.Settings, seed, d, d.Now())
	d.policy.Store(&Policy{Settings: c, classIDs: d.router.ApplySettings(&c.Settings)})
	return d
}

// Policy returns the policy for requests that arrive now.
func (d *Dispatcher) Policy() *Policy { return d.policy.Load() }

// Reconfigure replaces the settings and the terms in one step for requests that arrive from now on. Requests
// in flight keep the policy they arrived under.
func (d *Dispatcher) Reconfigure(c *settings.Settings, table *terms.RouteTable) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if have := d.router.ClassCount(); have+len(c.Classes) > maxClasses {
		return fmt.Errorf("%d request classes have been configured since the start: restart the router to configure more", have)
	}
	if table != nil {
		table.Inherit(d.policy.Load().terms)
	}
	c.ResolveZone(d.zoneIndexes)
	d.policy.Store(&Policy{Settings: c, terms: table, classIDs: d.router.ApplySettings(&c.Settings)})
	return nil
}

// Now returns the router's clock in Unix nanoseconds. It is set once at the start and is monotonic from there.
func (d *Dispatcher) Now() int64 { return d.startUnix + int64(time.Since(d.startTime)) }

// Time converts a time of the router's clock into one for socket deadlines.
func (d *Dispatcher) Time(now int64) time.Time {
	return d.startTime.Add(time.Duration(now - d.startUnix))
}

// onTimer runs when the timer that the router has set by SetTimer expires.
func (d *Dispatcher) onTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.stalls.recordEvent(now, d.inFlight > 0)
	d.router.OnTimer(now)
}

// GroupIndex returns the index of a group by its name, and whether the list has named that group.
func (d *Dispatcher) GroupIndex(name int64) (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	index, ok := d.groupIndexes[name]
	return index, ok
}

// SetTerms replaces the terms for requests that arrive from now on. With nil only the settings apply.
// Requests in flight keep the terms they arrived under. Routes of the same name take over the statistics of
// the previous table.
func (d *Dispatcher) SetTerms(table *terms.RouteTable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.policy.Load()
	if table != nil {
		table.Inherit(previous.terms)
	}
	d.policy.Store(&Policy{Settings: previous.Settings, terms: table, classIDs: previous.classIDs})
}

// GroupNames returns the set of group names that the list has named.
func (d *Dispatcher) GroupNames() map[int64]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make(map[int64]bool, len(d.groupIndexes))
	for name := range d.groupIndexes {
		names[name] = true
	}
	return names
}

// ProbeEnded passes on the result of a probe that the router has ordered.
func (d *Dispatcher) ProbeEnded(node int, ok bool, report balance.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok && d.loadMeter != nil {
		d.recordReport(node, report)
	}
	d.router.ProbeEnded(d.Now(), node, ok, report)
}

// NodeIsReplica passes on that a node has shown that it is a replica, other than by the answer to an attempt or a probe.
func (d *Dispatcher) NodeIsReplica(node int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.NodeIsReplica(d.Now(), node)
}

// ProbeMayBegin reports whether a probe that has waited for its connection may still be sent to its node.
func (d *Dispatcher) ProbeMayBegin(node int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.NodeAdmits(d.Now(), node)
}

// Stop gives up all requests in flight, and each one that arrives from now on.
func (d *Dispatcher) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Stop()
}

// PeerMessageReceived passes on a message from another router.
func (d *Dispatcher) PeerMessageReceived(from int, payload []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ReceiveMessage(d.Now(), from, payload)
}
