// Package planner runs a planner: a program that carries no requests. It receives the reports of forwarders and the notices
// of other planners, grants leases, and passes on which nodes have changed or failed, as internal/decide/plan decides.
//
// One lock guards all state. Each connection has one goroutine that reads and one that writes the newest state. No messages
// are queued: a slow peer gets the newest state when it reads again.
package planner

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/decide/loadsum"
	"sedgestream/internal/decide/members"
	"sedgestream/internal/decide/plan"
	"sedgestream/internal/member"
	"sedgestream/internal/message"
	"sedgestream/internal/recovery"
)

// Config configures a planner.
type Config struct {
	Name            string
	Listen          string            // address
	Peers           map[string]string // addresses of the other planners, by name
	LeaseTerm       time.Duration
	HeartbeatPeriod time.Duration
	MaxConns        int           // incoming connections
	VoteValidity    time.Duration // how long a forwarder's vote on a node counts
	RetainRemoved   time.Duration // how long a node that has left, or a forwarder that is silent, is remembered

	// The following fields configure the membership, whose datagrams use the port of Listen.
	Fleet                    string
	Advertise                string
	Seeds                    []string
	ProbePeriod, ForgetAfter time.Duration
}

// Planner is a running planner.
type Planner struct {
	config   Config
	log      *zap.Logger
	listener net.Listener
	member   *member.Instance
	start    time.Time
	stop     chan struct{}
	tasks    sync.WaitGroup

	mu               sync.Mutex
	runID            plan.RunID
	board            *plan.NoticeBoard
	changed          map[string]change // last change of each notice on the board, by node
	changes          uint64            // how many changes there have been
	failureDecisions uint64            // how often the quorum has decided that a node failed
	pools            map[string]*plan.Pool
	failures         *plan.FailureQuorum
	loads            *loadsum.Aggregator // load of the nodes, as routers report it
	forwarders       map[plan.RunID]*forwarder
	conns            map[*conn]struct{}
	lastTick         int64
}

// change is the last change of a notice: its number among all changes of the board, and its time.
type change struct {
	number uint64
	at     int64
}

// conn is an incoming connection.
type conn struct {
	*message.Conn
	hello         message.Hello
	sentChanges   uint64        // number of the last change of the board that was sent
	sentDecisions uint64        // failureDecisions when failed nodes were last sent
	wake          chan struct{} // signaled when there is something to send
}

// New starts to listen. The caller has to call Serve next.
func New(config Config, log *zap.Logger) (*Planner, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	p := &Planner{
		config: config, log: log, listener: listener, start: time.Now(), stop: make(chan struct{}),
		board: plan.NewNoticeBoard(), changed: map[string]change{},
		failures: plan.NewFailureQuorum(int64(config.VoteValidity)), loads: loadsum.NewAggregator(int64(config.HeartbeatPeriod)),
		forwarders: map[plan.RunID]*forwarder{}, conns: map[*conn]struct{}{},
	}
	p.startRun()
	p.lastTick = p.now()
	p.member, err = member.New(member.Config{
		Fleet: config.Fleet, Name: config.Name, Kind: members.Planner, Listen: p.Address(), Advertise: config.Advertise,
		Seeds: config.Seeds, Period: config.ProbePeriod, ForgetAfter: config.ForgetAfter,
	}, log, nil)
	return p, err
}

// startRun begins a new run, which does not know what earlier runs granted.
func (p *Planner) startRun() {
	p.runID, p.pools = plan.RunID(rand.Uint64()|1), map[string]*plan.Pool{}
}

// now returns the monotonic time in ns, counted from an hour before the start.
func (p *Planner) now() int64 { return int64(time.Since(p.start)) + int64(time.Hour) }

// Address returns the address that the planner listens on.
func (p *Planner) Address() string {
	if addr := p.listener.Addr(); addr != nil {
		return addr.String()
	}
	return p.config.Listen // the system does not tell the address
}

// Serve serves connections until Close is called.
func (p *Planner) Serve() {
	for name, address := range p.config.Peers {
		p.spawn(func() { p.gossipTo(name, address) })
	}
	p.spawn(p.tick)
	p.spawn(p.member.Serve)
	for {
		socket, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			p.log.Warn("accepting a connection failed", zap.Error(err))
			time.Sleep(p.config.HeartbeatPeriod)
			continue
		}
		p.mu.Lock()
		full := len(p.conns) >= p.config.MaxConns
		p.mu.Unlock()
		if full {
			message.NewConn(socket).CloseWithReason(errors.New("the connection limit is reached"))
			continue
		}
		p.spawn(func() { p.serveConn(socket) })
	}
	p.tasks.Wait()
}

// spawn runs f in a goroutine that Serve waits for.
func (p *Planner) spawn(f func()) {
	p.tasks.Add(1)
	recovery.Go(p.log, "planner", func() {
		defer p.tasks.Done()
		f()
	}, nil)
}

// Close leaves the membership, stops listening and closes all connections.
func (p *Planner) Close() {
	p.member.Leave()
	close(p.stop)
	p.member.Close()
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Socket.Close()
	}
}

// tick removes, once per heartbeat period, what has expired. It starts a new run after a pause of this process,
// since what it knows of its pools is then outdated.
func (p *Planner) tick() {
	ticker := time.NewTicker(p.config.HeartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		now := p.now()
		if plan.Stalled(p.lastTick, now, int64(p.config.HeartbeatPeriod)) {
			p.startRun()
			p.log.Warn("this planner was away; it starts anew", zap.Duration("for", time.Duration(now-p.lastTick)))
		}
		p.lastTick = now
		for node, pool := range p.pools {
			if pool.RemoveExpired(now); pool.Empty() {
				delete(p.pools, node)
			}
		}
		for runID, f := range p.forwarders {
			if now-f.lastReport > int64(p.config.RetainRemoved) {
				delete(p.forwarders, runID)
			}
		}
		for node, c := range p.changed {
			// A standing of 2 is balance.Removed.
			if n, _ := p.board.Get(node); n.Standing == 2 && now-c.at > int64(p.config.RetainRemoved) {
				p.board.Delete(node)
				delete(p.changed, node)
			}
		}
		p.mu.Unlock()
	}
}

// serveConn serves one incoming connection until it ends.
func (p *Planner) serveConn(socket net.Conn) {
	c := &conn{Conn: message.NewConn(socket), wake: make(chan struct{}, 1)}
	received, err := c.Read(p.config.LeaseTerm)
	if err == nil && received.Hello == nil {
		err = errors.New("hello comes first")
	}
	if err != nil {
		if !errors.Is(err, io.EOF) {
			p.log.Info("hung up", zap.Stringer("from", socket.RemoteAddr()), zap.Error(err))
		}
		c.CloseWithReason(err)
		return
	}
	c.hello = *received.Hello
	p.mu.Lock()
	p.conns[c] = struct{}{}
	hello := &message.Hello{Version: message.Version, Kind: message.Planner, Name: p.config.Name, RunID: p.runID}
	p.mu.Unlock()
	done := make(chan struct{})
	defer func() {
		close(done)
		socket.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	if err := c.Write(&message.Frame{Hello: hello}, p.config.LeaseTerm); err != nil {
		return
	}
	if c.hello.Kind == message.Forwarder {
		p.spawn(func() { p.pushUpdates(c, done) })
	}
	for {
		received, err := c.Read(4 * p.config.LeaseTerm)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.log.Info("hung up", zap.String("on", c.hello.Name), zap.Error(err))
				c.CloseWithReason(err)
			}
			return
		}
		if err := p.handle(c, received); err != nil {
			return
		}
	}
}

// pushUpdates sends changes of the board and failed nodes to a forwarder at once, so that a drain takes effect without
// waiting for the next report.
func (p *Planner) pushUpdates(c *conn, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-c.wake:
		}
		p.mu.Lock()
		reply := &message.Reply{Notices: p.pendingNotices(c)}
		if c.sentDecisions != p.failureDecisions {
			c.sentDecisions, reply.QuorumEjected = p.failureDecisions, p.failedNodes()
		}
		p.mu.Unlock()
		if (len(reply.Notices) > 0 || len(reply.QuorumEjected) > 0) && c.Write(&message.Frame{Reply: reply}, p.config.LeaseTerm) != nil {
			c.Socket.Close()
			return
		}
	}
}

// pendingNotices returns the notices that have not been sent on the connection yet, up to the size of one message, and marks
// them as sent. If there are more, it notifies the connection. The caller holds the lock.
func (p *Planner) pendingNotices(c *conn) (notices []plan.Notice) {
	type pendingChange struct {
		number uint64
		node   string
	}
	var pending []pendingChange
	for node, last := range p.changed {
		if last.number > c.sentChanges {
			pending = append(pending, pendingChange{last.number, node})
		}
	}
	slices.SortFunc(pending, func(a, b pendingChange) int { return int(int64(a.number) - int64(b.number)) })
	for _, next := range pending {
		if len(notices) == message.MaxNodes/8 {
			c.notify()
			break
		}
		if n, ok := p.board.Get(next.node); ok {
			notices = append(notices, n)
		}
		c.sentChanges = next.number
	}
	return notices
}

// notify wakes the goroutine that pushes updates.
func (c *conn) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// handle takes in a message and answers it. After an error the connection ends.
func (p *Planner) handle(c *conn, received *message.Frame) error {
	switch {
	case received.Report != nil && c.hello.Kind == message.Forwarder:
		reply, err := p.handleReport(c, received.Report)
		if err != nil {
			c.CloseWithReason(err)
			return err
		}
		return c.Write(&message.Frame{Reply: reply}, p.config.LeaseTerm)
	case received.Gossip != nil && c.hello.Kind == message.Planner:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyNotices(received.Gossip.Notices)
		return nil
	case received.PlannerStatus != nil:
		p.mu.Lock()
		status := p.snapshot()
		p.mu.Unlock()
		return c.Write(&message.Frame{PlannerStatus: status}, p.config.LeaseTerm)
	case received.CloseReason == message.ReasonLeft && c.hello.Kind == message.Forwarder:
		p.mu.Lock()
		defer p.mu.Unlock()
		// Otherwise its last reported load, of attempts that have ended, would count for some periods.
		p.loads.RemoveRouter(uint64(c.hello.RunID))
		delete(p.forwarders, c.hello.RunID)
		return errors.New(received.CloseReason)
	case received.CloseReason != "":
		return errors.New(received.CloseReason)
	case received.Chunk != nil && c.hello.Kind == message.Member,
		(received.FleetStatus != nil || received.Removal != nil) && c.hello.Kind == message.Operator:
		return p.member.HandleFrame(c.Conn, received)
	}
	err := fmt.Errorf("a %s may not say this", c.hello.Kind)
	c.CloseWithReason(err)
	return err
}

// applyNotices takes in notices, and notifies all connections if any node has changed. The caller holds the lock.
func (p *Planner) applyNotices(notices []plan.Notice) {
	changed := false
	for _, n := range notices {
		before, known := p.board.Get(n.Node)
		if p.board.Apply(n); !known || before.Standing != n.Standing || before.StartedAt != n.StartedAt {
			if after, ok := p.board.Get(n.Node); ok && (!known || after != before) {
				p.changes++
				p.changed[n.Node] = change{p.changes, p.now()}
				if changed = true; after.Standing > 0 { // the node drains or is gone
					p.log.Info("the standing of a node has changed",
						zap.String("node", n.Node), zap.Uint8("standing", uint8(after.Standing)), zap.Uint64("version", after.Version))
				}
			}
		}
	}
	if changed {
		for c := range p.conns {
			c.notify()
		}
	}
}

// handleReport takes in a forwarder's report and returns the answer to it.
func (p *Planner) handleReport(c *conn, report *message.Report) (*message.Reply, error) {
	permissions := p.member.Permissions()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	f := p.forwarders[c.hello.RunID]
	if f == nil && !report.Full {
		return nil, errForgotten
	}
	if f == nil {
		f = &forwarder{name: c.hello.Name}
		p.forwarders[c.hello.RunID] = f
	}
	f.update(now, report)
	p.applyNotices(report.Notices)
	for _, outcome := range report.Outcomes {
		failedBefore := outcome.Failed && p.failures.IsFailed(now, outcome.Node)
		if p.failures.Record(now, outcome.Node, c.hello.RunID, outcome.Failed); outcome.Failed && !failedBefore &&
			permissions.TrustHints && p.failures.IsFailed(now, outcome.Node) {
			p.failureDecisions++ // all connections are notified at once
			for other := range p.conns {
				other.notify()
			}
		}
	}
	reply := &message.Reply{Notices: p.pendingNotices(c), AnswersReport: true, LivePlanners: permissions.Planners}
	for _, request := range report.LeaseRequests {
		pool := p.pools[request.Node]
		if pool == nil {
			if len(p.pools) >= message.MaxNodes {
				continue
			}
			pool = plan.NewPool(p.runID, int64(p.config.LeaseTerm), now)
			p.pools[request.Node] = pool
		}
		if leaseReply, ok := pool.HandleRequest(now, request.Request); ok {
			reply.LeaseReplies = append(reply.LeaseReplies, message.LeaseReply{Node: request.Node, Reply: leaseReply})
		}
	}
	if permissions.TrustHints {
		reply.QuorumEjected = p.failedNodes()
	}
	if len(report.Loads) > 0 || p.loads.RouterCount(now) > 0 {
		p.loads.AddReport(now, uint64(c.hello.RunID), report.Loads)
		reply.Digest = p.loads.Digest(now, p.member.ForwarderCount())
	}
	return reply, nil
}

// failedNodes returns the nodes that have failed by the quorum, sorted by name. The caller holds the lock.
func (p *Planner) failedNodes() (nodes []string) {
	now := p.now()
	for node := range p.changed {
		if p.failures.IsFailed(now, node) {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// snapshot returns this planner's status, for operators. The caller holds the lock.
func (p *Planner) snapshot() *message.PlannerStatus {
	now := p.now()
	status := &message.PlannerStatus{Planner: p.config.Name, Members: p.member.KnownMembers()}
	loads := map[uint32]*loadsum.Summary{}
	if p.loads.RouterCount(now) > 0 {
		digest := p.loads.Digest(now, p.member.ForwarderCount())
		for i := range digest {
			loads[digest[i].NodeID] = &digest[i]
		}
	}
	p.board.Each(func(n plan.Notice) {
		node := message.NodeStatus{Notice: n, QuorumEjected: p.failures.IsFailed(now, n.Node)}
		node.Load = loads[crc32.ChecksumIEEE([]byte(n.Node))]
		if pool := p.pools[n.Node]; pool != nil {
			node.LeaseHolders, node.Pledged, node.Granted = pool.Totals(now)
		}
		status.Nodes = append(status.Nodes, node)
	})
	slices.SortFunc(status.Nodes, func(a, b message.NodeStatus) int {
		if a.Notice.Node < b.Notice.Node {
			return -1
		}
		return 1
	})
	for _, f := range p.forwarders {
		status.Forwarders = append(status.Forwarders,
			message.ForwarderBeliefs{Name: f.name, Age: now - f.lastReport, Beliefs: slices.Clone(f.beliefs)})
	}
	slices.SortFunc(status.Forwarders, func(a, b message.ForwarderBeliefs) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return status
}
