// Package forward connects a router to planners: it reports what the router sees, pledges the router's shares of cold nodes
// and uses the leases that planners grant, as internal/decide/plan decides. The router works without planners whenever they
// do not answer.
package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"sedgestream/internal/decide/loadsum"
	"sedgestream/internal/decide/members"
	"sedgestream/internal/decide/plan"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/message"
	"sedgestream/internal/recovery"
)

// Config configures the connections to planners.
type Config struct {
	Name         string
	Planners     map[string]string // addresses, by name
	LeaseTerm    time.Duration
	ReportPeriod time.Duration
	// Permissions returns what this router may do, given its view of the other members; nil without membership.
	Permissions func() members.Permissions
	// ShareLoads makes the router report the load of its attempts to planners and use the sums that they return.
	ShareLoads bool
	// SendLoadReport sends the load of this router's attempts to fanout other routers while no planner adds up the loads, and
	// RouterCount returns how many routers may be sending, or 0 while that is not known; both are nil without membership.
	SendLoadReport func(report *message.LoadReport, fanout int)
	RouterCount    func() int
}

// Links holds a router's connections to planners.
type Links struct {
	config     Config
	dispatcher *dispatch.Dispatcher
	log        *zap.Logger
	runID      plan.RunID
	startedAt  int64
	stop       chan struct{}
	tasks      sync.WaitGroup

	mu         sync.Mutex
	holders    map[string]*plan.Holder // by node
	links      map[string]*link        // established connections, by planner
	views      *loadsum.PlannerViews   // the loads that planners added up; nil unless loads are shared
	lastDigest int64                   // when a planner's last sum of loads arrived
	sample     *loadsum.Aggregator     // loads of other routers; nil while planners add up the loads
}

// link is a connection to a planner.
type link struct {
	*message.Conn
	livePlanners []string // planners that are alive in this planner's view
	lastHeard    int64    // when the planner's last reply arrived; before the first one, when the connection was made

	reported *reportDelta
	reports  chan *message.Report // to be written, in order

	lastReport    int64  // when the last report was sent
	reportedLoads bool   // the last report contained loads
	lastHash      uint64 // hash of the last report without its lease requests and loads
}

// New makes the dispatcher follow planners. It must be called before the dispatcher gets its first list.
func New(config Config, d *dispatch.Dispatcher, log *zap.Logger) *Links {
	d.EnablePlanner()
	var views *loadsum.PlannerViews
	if config.ShareLoads {
		d.EnableLoadMeter()
		views = loadsum.NewPlannerViews(int64(config.ReportPeriod))
	}
	return &Links{
		views: views, config: config, dispatcher: d, log: log,
		runID: plan.RunID(rand.Uint64() | 1), startedAt: d.Now(), stop: make(chan struct{}),
		holders: map[string]*plan.Holder{}, links: map[string]*link{},
	}
}

// Serve connects to the planners and sends reports until Close is called.
func (s *Links) Serve() {
	for name, address := range s.config.Planners {
		s.tasks.Add(1)
		recovery.Go(s.log, "planner link", func() {
			defer s.tasks.Done()
			s.maintainLink(name, address)
		}, nil)
	}
	ticker := time.NewTicker(s.config.ReportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			s.tasks.Wait()
			return
		case <-ticker.C:
			s.report()
		}
	}
}

// Close ends all connections. It tells the planners that this router has left, with no attempt in flight.
func (s *Links) Close() {
	close(s.stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.CloseWithReason(errors.New(message.ReasonLeft))
	}
}

// maintainLink keeps a connection to a planner. It reconnects with exponential backoff and jitter, so that routers that lose
// a planner together don't reconnect together.
func (s *Links) maintainLink(name, address string) {
	wait := s.config.ReportPeriod
	for {
		started := time.Now()
		err := s.runLink(name, address)
		if err != nil && !errors.Is(err, io.EOF) {
			s.log.Info("no planner", zap.String("planner", name), zap.Error(err))
		}
		if time.Since(started) > s.config.LeaseTerm {
			wait = s.config.ReportPeriod
		}
		select {
		case <-s.stop:
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, 4*s.config.LeaseTerm)
	}
}

// runLink connects to a planner, exchanges hellos, and handles the planner's messages until the connection ends.
func (s *Links) runLink(name, address string) error {
	socket, err := net.DialTimeout("tcp", address, s.config.LeaseTerm)
	if err != nil {
		return err
	}
	l := &link{
		Conn: message.NewConn(socket), lastHeard: s.dispatcher.Now(),
		reported: newReportDelta(), reports: make(chan *message.Report, 1),
	}
	defer socket.Close()
	if err := l.Write(&message.Frame{
		Hello: &message.Hello{Version: message.Version, Kind: message.Forwarder, Name: s.config.Name, RunID: s.runID},
	}, s.config.LeaseTerm); err != nil {
		return err
	}
	received, err := l.Read(s.config.LeaseTerm)
	if err != nil || received.Hello == nil {
		return errors.Join(err, errors.New("the planner sent no hello"))
	}
	s.mu.Lock()
	select {
	case <-s.stop:
		s.mu.Unlock()
		return nil
	default:
	}
	s.links[name] = l
	s.mu.Unlock()
	s.log.Info("planner", zap.String("planner", name))
	done := make(chan struct{})
	defer close(done)
	s.tasks.Add(1)
	recovery.Go(s.log, "planner reports", func() {
		defer s.tasks.Done()
		l.writeReports(s.config.ReportPeriod, done)
	}, nil)
	defer func() {
		s.mu.Lock()
		delete(s.links, name)
		s.mu.Unlock()
	}()
	for {
		received, err := l.Read(4 * s.config.LeaseTerm)
		switch {
		case err != nil:
			l.CloseWithReason(err)
			return err
		case received.CloseReason != "":
			return errors.New(received.CloseReason)
		case received.Reply != nil:
			s.handleReply(name, l, received.Reply)
		}
	}
}

// writeReports writes reports in order until done is closed. It closes the connection if a report cannot be written within a
// period.
func (l *link) writeReports(period time.Duration, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case report := <-l.reports:
			if l.Write(&message.Frame{Report: report}, period) != nil {
				l.Socket.Close()
				return
			}
		}
	}
}

// handleReply takes in a planner's answer to a report, or an update that the planner sends unasked.
func (s *Links) handleReply(name string, l *link, reply *message.Reply) {
	s.dispatcher.ApplyNotices(reply.Notices)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.Now()
	if l.lastHeard = now; reply.AnswersReport {
		l.livePlanners = reply.LivePlanners
	}
	for _, leaseReply := range reply.LeaseReplies {
		if holder := s.holders[leaseReply.Node]; holder != nil {
			holder.HandleReply(now, name, leaseReply.Reply)
			s.applyLease(leaseReply.Node, holder)
		}
	}
	if s.views != nil && len(reply.Digest) > 0 {
		if s.lastDigest = now; s.sample != nil {
			s.sample = nil
			s.log.Info("planners add up the load again", zap.String("planner", name))
		}
		s.dispatcher.ApplyLoadSummaries(reply.Digest, func(summary *loadsum.Summary) (float64, int64) {
			return s.views.Update(now, name, summary)
		})
	}
	if s.config.Permissions != nil && !s.config.Permissions().TrustHints {
		return
	}
	for _, node := range reply.QuorumEjected { // ejected until about the next report, unless a later reply repeats it
		s.dispatcher.Eject(node, plan.EjectedUntil(now, int64(s.config.LeaseTerm), int64(s.config.ReportPeriod)))
	}
}

// applyLease passes the holder's lease on to the balancer.
func (s *Links) applyLease(node string, holder *plan.Holder) {
	lease, leaseEnds, floorUntil := holder.Status()
	s.dispatcher.GrantWork(node, lease, 1.0/plan.FloorDivisor, leaseEnds, floorUntil)
}

// report sends a report to each planner for which one is due, and requests leases of the cold nodes from the planners that
// are responsible for them.
func (s *Links) report() {
	coldNodes, observations, notices, loads := s.dispatcher.ColdNodes(),
		s.dispatcher.Observations(int64(s.config.LeaseTerm)), s.dispatcher.Notices(), s.dispatcher.TakeLoads()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.Now()
	report := message.Report{Notices: notices}
	for _, observation := range observations {
		if observation.Failed || observation.Answered {
			report.Outcomes = append(report.Outcomes, message.NodeOutcome{Node: observation.Node, Failed: observation.Failed})
		}
		belief := message.NodeBelief{
			Node: observation.Node, Standing: uint8(observation.Standing), Allowance: -1, Ejected: observation.Failed,
		}
		if holder := s.holders[observation.Node]; holder != nil {
			belief.Planner = holder.Planner()
			belief.Allowance, _, _ = holder.Status()
		}
		report.Beliefs = append(report.Beliefs, belief)
	}
	requests := map[string][]message.LeaseRequest{} // by planner
	permissions := members.Permissions{MayPledge: true}
	if s.config.Permissions != nil {
		permissions = s.config.Permissions()
	}
	reachable := s.reachablePlanners(now, permissions.Planners)
	for _, cold := range coldNodes {
		holder := s.holders[cold.Node]
		if holder == nil {
			if len(s.holders) >= plan.MaxNotices {
				continue
			}
			holder = plan.NewHolder(s.runID, int64(s.config.LeaseTerm), s.startedAt)
			s.holders[cold.Node] = holder
		}
		if owner := plan.Owner(cold.Group, reachable); owner != "" &&
			permissions.MayPledge && holder.MayRequest(now, owner) && cold.Share > 0 {
			requests[owner] = append(requests[owner], message.LeaseRequest{
				Node: cold.Node, Request: holder.Request(now, owner, cold.Share, cold.Wanted, cold.MinRequest),
			})
		}
		s.applyLease(cold.Node, holder)
	}
	for node, holder := range s.holders { // drop those of nodes that are no longer cold, once neither lease nor floor is in force
		if _, leaseEnds, floorUntil := holder.Status(); now > max(leaseEnds, floorUntil) &&
			!slices.ContainsFunc(coldNodes, func(cold dispatch.ColdNode) bool { return cold.Node == node }) {
			delete(s.holders, node)
		}
	}
	encoded, err := msgpack.Marshal(&report)
	if err != nil {
		s.log.Error("encoding a report failed", zap.Error(err))
		return
	}
	hash := xxhash.Sum64(encoded)
	if s.views != nil {
		s.views.Expire(now)
		s.sampleLoads(now, loads)
	}
	failing := slices.ContainsFunc(report.Outcomes, func(outcome message.NodeOutcome) bool { return outcome.Failed })
	for name, l := range s.links {
		if !plan.ReportDue(now, l.lastReport, int64(s.config.LeaseTerm),
			l.lastHash != hash || len(loads) > 0 || l.reportedLoads, len(requests[name]) > 0, failing) {
			continue
		}
		// One report without loads follows the last one with loads.
		l.lastReport, l.lastHash, l.reportedLoads = now, hash, len(loads) > 0
		delta := l.reported.next(report)
		delta.LeaseRequests, delta.Loads = requests[name], loads
		select {
		case l.reports <- &delta:
		default: // the planner has not taken the two previous reports
			l.Socket.Close()
		}
	}
}

// sampleSource stands for a planner's name at the sums that the router itself makes of other routers' loads.
const sampleSource = ""

// sampleLoads replaces the planners' sums while no planner adds up the loads: the router sends its own loads to some other
// routers and adds up those that it receives.
func (s *Links) sampleLoads(now int64, loads []loadsum.NodeLoad) {
	if s.config.SendLoadReport == nil || !loadsum.WithoutPlanners(now, max(s.lastDigest, s.startedAt), int64(s.config.LeaseTerm)) {
		return
	}
	if s.sample == nil {
		s.sample = loadsum.NewSample(int64(s.config.ReportPeriod))
		s.log.Info("no planner adds up the load: other routers are asked for a sample")
	}
	s.sample.AddReport(now, uint64(s.runID), loads)
	s.config.SendLoadReport(&message.LoadReport{RunID: uint64(s.runID), Loads: loads}, loadsum.SampleFanout)
	summaries := s.sample.Digest(now, s.config.RouterCount())
	s.dispatcher.ApplyLoadSummaries(summaries, func(summary *loadsum.Summary) (float64, int64) {
		return s.views.Update(now, sampleSource, summary)
	})
}

// HandleLoadReport takes in another router's report of the load of its attempts.
func (s *Links) HandleLoadReport(report *message.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sample != nil && report.RunID != uint64(s.runID) {
		s.sample.AddReport(s.dispatcher.Now(), report.RunID, report.Loads)
	}
}

// reachablePlanners returns, sorted by name, the planners that answer this router and are in the given view. If the view is
// nil, the view of the planner that was heard last is used. A planner that has been silent for a lease term is left out,
// since its lease would arrive too late.
func (s *Links) reachablePlanners(now int64, view []string) (names []string) {
	var newest *link
	for _, l := range s.links {
		if newest == nil || l.lastHeard > newest.lastHeard {
			newest = l
		}
	}
	if view == nil && newest != nil {
		view = newest.livePlanners
	}
	for name, l := range s.links {
		if now-l.lastHeard < int64(s.config.LeaseTerm) && (view == nil || slices.Contains(view, name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
