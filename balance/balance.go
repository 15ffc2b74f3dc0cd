// Package balance decides to which node each request is sent, when it is retried and how it ends.
//
// A caller creates a Router with NewRouter and reports to it:
//   - the list of nodes (BeginListUpdate, UpdateNode, EndListUpdate, ListFailed, RefreshList),
//   - requests (ReserveSlot, Accept, ClientLeft),
//   - results of attempts and probes (AttemptEnded, ProbeEnded),
//   - its timer (OnTimer).
//
// The router answers by calls on Actions. Actions and Settings are declared in types.go, the router's state in
// state.go; each other file has one concern and is named after it. A Router is not safe for concurrent use.
//
// Basic routing follows docs/design.md. Six mechanisms are added to it:
//  1. Concurrency limit: how many attempts a node can serve so that they take half their target latency on average.
//  2. Ejection: a node that fails, or stops answering, gets no requests for a while.
//  3. Hedging: a request whose attempt is overdue gets another attempt where nodes have unused capacity.
//  4. Cold budget: a node that has just started gets a share of the work that warm nodes get.
//  5. Load reports: one router probes the nodes and sends the results to the others, or a request waits for probes.
//     Where nodes check freshness themselves, a replica's lag is assumed to stay as it was last reported.
//  6. Lagging replicas first: long reads that any member may answer go to replicas too far behind to serve others.
package balance

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the routing decisions.
const (
	// targetLatencyRatio is the mean time of attempts, as a part of their target latency, that concurrency limits aim
	// at.
	targetLatencyRatio = 0.5
	// lateLatencyRatio is the latency ratio that a late attempt without an answer counts with.
	lateLatencyRatio = 3 * targetLatencyRatio

	initialLimit = 4.0  // attempts at a node before anything is known of it
	maxLimit     = 64.0 // attempts at a node
	rampStep     = 0.3  // added to the limit with each answer, until the mean latency ratio first exceeds its target
	limitGrowth  = 1.02 // factor for each answer in time from a node whose load is at least half of its limit

	fastAverageWeight = 1.0 / 8 // weight of a new sample in an exponentially weighted average
	slowAverageWeight = fastAverageWeight / 4

	ejectAfterFailures = 3 // in a row
	overdueTurnovers   = 2 // an attempt is overdue only after its node has answered its load this many times since

	coldWorkShare    = 0.6     // share of the work that overloads a cold node that all routers together may send it
	remoteZoneWeight = 1.0 / 8 // factor for the weight of a node in another zone
	sweepsPerTarget  = 16      // calls of OnTimer within the shortest target latency, while there are requests
	maxParkShare     = 0.2     // share of the time until its deadline for which a request may be parked without a primary

	// lowPriorityShare is the part of a concurrency limit that hedged attempts, and reads at the primary that
	// replicas should serve, may use. Any class of reads may use this part of a replica's limit. At low-traffic
	// routers it is also the part of the cold budget that is used.
	lowPriorityShare = 0.5

	maxLaggingUtilization = 0.9     // share of busy cores up to which a lagging replica is preferred for long reads
	unreportedAttempts    = 8.0     // assumed at a node beside those in its last report, at low-traffic routers
	reportChangeThreshold = 2.0     // change of a node's load, in attempts, that is worth a message
	lowTrafficAttempts    = 1.0 / 8 // mean attempts of a router at a node below which it is a low-traffic router
	probesPerRequest      = 2.0     // added to the probe budget by each request

	toleratedListFailures = 2        // calls for the list that may fail in a row before a change is received too late
	busyMachineMargin     = 1.0 / 12 // of Settings.ListAnnouncedAfter: reserved for a busy machine's delays
)

var startingLimit = concurrencyLimit{size: initialLimit, ramping: true}

// NewRouter creates a router and schedules its first call for the list. The same seed and calls lead to the same
// actions.
func NewRouter(settings *Settings, seed uint64, actions Actions, now int64) *Router {
	r := &Router{actions: actions, random: randomSource(seed&0x7fffffffffff | 1<<32 | 1), sharedLimit: startingLimit,
		nodesByHash: map[uint32][]int32{}, timerAt: math.MaxInt64, sweptAt: now}
	r.list.knownAt = now
	r.ApplySettings(settings)
	r.stopReporting(now)
	r.RefreshList(now)
	return r
}

// ApplySettings makes settings apply to all requests accepted from now on, and returns for each of their classes the
// number by which Accept knows it. Requests in progress keep their class; what is known of nodes is kept.
func (r *Router) ApplySettings(settings *Settings) (classNumbers []int) {
	r.maxAttempts, r.hedging, r.probesEnabled, r.nodesCheckFreshness =
		settings.MaxAttempts, settings.Hedging, settings.Probes, settings.NodesCheckFreshness
	r.ejectionTime = settings.ejectionTime()
	r.halfDrainGrace, r.warmUpTime, r.overloadWindow = settings.DrainGrace/2, settings.WarmUpTime, max(settings.OverloadWindow, 1)
	r.coldCapacityShare, r.coldBudget, r.maxRetryAfter =
		settings.ColdCapacityShare, coldWorkShare*settings.OverloadMultiple, settings.MaxRetryAfter
	r.removedMayServe, r.peerMessages = settings.RemovedMayServe, settings.PeerMessages
	r.listOnRequest, r.routerIndex, r.idleTimeout, r.zone =
		settings.ListOnRequest, settings.RouterIndex, settings.IdleTimeout, int32(settings.Zone)
	shortestTarget, bestValue, minStaleness := int64(math.MaxInt64), 0.0, int64(math.MaxInt64)
	for _, class := range settings.Classes {
		switch shortestTarget = min(shortestTarget, class.TargetLatency); {
		case class.Consistency >= Fresh:
			bestValue = max(bestValue, class.Value)
		case class.Consistency == Bounded:
			minStaleness = min(minStaleness, class.MaxStaleness)
		}
	}
	for _, class := range settings.Classes {
		// Attempts are assumed to take a quarter of their target latency until some have ended. According to its
		// value, a class may use half to five quarters of a primary's concurrency limit.
		record := classRecord{Class: class, tracking: settings.Sessions, meanTime: float64(class.TargetLatency) / 4,
			idleTime: float64(class.TargetLatency) / 4, primaryShare: lowPriorityShare + 0.75*class.Value/bestValue}
		record.retryAfter = settings.RetryAfter(&class)
		classNumbers = append(classNumbers, r.addClass(record, len(classNumbers) == 0))
	}
	r.configureSessions(settings)
	r.routerCount, r.onlyRouter = float64(max(settings.RouterCount, 1)), settings.RouterCount == 1
	r.initMeanWork()
	r.list.announcedAfter, r.list.watchTimeout = settings.ListAnnouncedAfter, settings.WatchTimeout
	r.sweepInterval = max(settings.TickInterval, shortestTarget/sweepsPerTarget)
	r.setListPauses(settings)
	if r.laggingThreshold = minStaleness; minStaleness == math.MaxInt64 {
		r.laggingThreshold = 2 * shortestTarget
	}
	// Positions are refreshed by probes before they are too old for reads.
	r.positionRefresh, r.reportInterval, r.loadLifetime = r.laggingThreshold*4/5, shortestTarget/2, 4*shortestTarget
	return classNumbers
}

// RetryAfter returns for how long a client is asked to stay away once its request can no longer be of value, or 0. It is
// above 0 only where it covers the remaining time until the client's deadline; there attempts time out at the target
// latency. Elsewhere the client would retry before its deadline, which would be more work.
func (c *Settings) RetryAfter(class *Class) int64 {
	afterTarget := class.Deadline - class.TargetLatency
	if class.LateValueShare > 0 || class.RetrySafety != Idempotent || afterTarget <= 0 || afterTarget > c.MaxRetryAfter {
		return 0
	}
	return c.MaxRetryAfter
}

// Accept routes the new request in a reserved slot. Its client waits for an answer for the given time; terms restrict how
// the request may be routed.
func (r *Router) Accept(now int64, slot Slot, class, group int, wait int64, session SessionRef, terms *Terms) {
	req := &r.requests[slot]
	r.scheduleTimer(now)
	// A request adds two probes to the budget; only one where routers can send reports but none does, so that all of
	// them probe; and an eighth where reports arrive, or where this router's own counts show the load and nodes check
	// freshness.
	if r.probeBudget += probesPerRequest; !r.lowTraffic() && r.nodesCheckFreshness || r.hasPeerReports(now) {
		r.probeBudget -= probesPerRequest * (1 - fastAverageWeight/2)
	} else if r.peerMessages && r.lowTraffic() {
		r.probeBudget -= probesPerRequest / 2
	}
	r.probeBudget = min(r.probeBudget, float64(len(r.group(group).members)))
	*req = request{slot: slot, live: true, class: int32(class), group: int32(group), attempts: req.attempts[:0],
		arrivedAt: now, targetAt: now + min(wait, r.classes[class].TargetLatency), deadline: now + wait,
		parkUntil: now + int64(maxParkShare*float64(wait)), maxAttempts: r.maxAttempts, terms: *terms}
	if terms.MaxAttempts > 0 {
		req.maxAttempts = min(req.maxAttempts, int(terms.MaxAttempts))
	}
	req.randomDraw = r.draw()
	r.meanRequestWork += slowAverageWeight * (r.classes[class].meanTime - r.meanRequestWork)
	r.meanIdleTime += slowAverageWeight * (r.classes[class].idleTime - r.meanIdleTime)
	if r.stopped {
		r.finish(req, 0, Stopping)
		return
	}
	req.session, req.isRetry, req.minPosition = session.ID, session.IsRetry, r.sessionMinPosition(&r.classes[class], session, now)
	r.dispatch(req, now)
}

// dispatch sends the request's next attempt, parks the request or gives it up. A request whose answer would come too
// late to be of value is not sent.
func (r *Router) dispatch(req *request, now int64) {
	class := &r.classes[req.class]
	earliestAnswer := now + int64(class.meanTime/2) // half the mean time, to err on the side of sending
	if class.LateValueShare == 0 && earliestAnswer > req.targetAt {
		class.decayMeanTime(req, now)
		r.giveUp(req, now, class.retryAfter, TooLate)
		return
	} else if req.terms.Refused || !r.mayRetry(req, now) || earliestAnswer > req.deadline {
		class.decayMeanTime(req, now)
		r.giveUp(req, now, 0, NoAttemptLeft)
		return
	}
	// A new request is parked briefly for the results of probes. Where a low-traffic router gets no reports from others,
	// the request causes probes of two members, once; where no replica is known to be fresh enough, of all members.
	// Without the wait, routers would overload nodes, and primaries above all.
	justArrived := now < req.arrivedAt+2*r.sweepInterval
	if justArrived && len(req.attempts) == 0 && r.lowTraffic() && !r.hasPeerReports(now) && now-r.totalLoadAt >= r.loadLifetime {
		req.parked = r.probeMembers(req, 2-2*req.loadProbes, r.loadLifetime/4, now)
		req.loadProbes = 1
	}
	if class.Consistency < Fresh && !req.parked && req.minPosition != primaryOnly {
		replica, anyFresh := r.chooseReplica(req, now)
		switch {
		case replica >= 0:
			r.send(req, replica, now)
			return
		case anyFresh && (class.Consistency == Any || r.lowTraffic()): // other reads may use a part of the primary's limit
			r.giveUp(req, now, 0, ReplicasFull)
			return
		}
		req.primaryFallback = true
		req.parked = !anyFresh && justArrived && r.probeMembers(req, len(r.nodes), 4*r.sweepInterval, now)
	}
	if !req.parked {
		r.sendToPrimary(req, now)
	}
}

// giveUp ends a request, unless one of its attempts may still bring an answer. The request is rejected where the client
// may safely retry it, and failed elsewhere.
func (r *Router) giveUp(req *request, now, retryAfter int64, reason Reason) {
	if req.finished || req.inFlight > 0 && now < req.deadline {
		return
	}
	r.finish(req, retryAfter, reason)
}

// finish gives a request its final answer.
func (r *Router) finish(req *request, retryAfter int64, reason Reason) {
	if req.finished, retryAfter = true, max(retryAfter, req.terms.MinRetryAfter); req.terms.MaxRetryAfter > 0 {
		retryAfter = min(retryAfter, req.terms.MaxRetryAfter)
	}
	class := &r.classes[req.class]
	if class.RetrySafety == Idempotent || req.firstPossiblyRun(-1) == nil ||
		class.RetrySafety == Deduplicated && class.DedupScope == DedupEverywhere {
		r.actions.Reject(req.slot, retryAfter, reason)
	} else {
		r.actions.Fail(req.slot, reason)
	}
	r.freeIfDone(req.slot)
}

// endExpired gives the final answer of a request whose deadline has passed before the last sweep, even if the outcome of
// an attempt has not been reported. An attempt that ends at the deadline has had the time since that sweep to be reported,
// and after a stall of the process an answer that came in time has had it to be read.
func (r *Router) endExpired(req *request, now int64) {
	req.parked = false
	r.giveUp(req, now, 0, Expired)
}

// Stop gives up all requests in progress, though attempts may still bring answers, and each one that is accepted from now on.
// It is for a process that will be killed soon.
func (r *Router) Stop() {
	r.stopped = true
	for i := range r.requests {
		if req := &r.requests[i]; req.live && !req.finished {
			req.parked = false
			r.finish(req, 0, Stopping)
		}
	}
}

// ClientLeft records that the request's client has disconnected: no answer is needed any more.
func (r *Router) ClientLeft(slot Slot) {
	r.requests[slot].finished = true
	r.freeIfDone(slot)
}

// OnTimer does all that depends on time alone: calls for the list, reports, averages, overdue attempts, parked requests
// and requests past their deadlines. The caller calls it when the timer set by Actions.SetTimer fires.
func (r *Router) OnTimer(now int64) {
	if r.listOnRequest && r.nextListCallAt > 0 && now >= r.nextListCallAt {
		r.nextListCallAt, r.listCalledAt = 0, now
		r.list.recordCall(now)
		r.actions.WatchList()
	}
	r.recordTimerDelay(now)
	r.settleClock()
	r.exchangeReports(now)
	lastSweptAt := r.sweptAt
	workSum, warmNodes, decay := 0.0, 0.0, math.Pow(1-slowAverageWeight, float64(now-lastSweptAt)/float64(r.sweepInterval))
	r.timerAt, r.sweptAt, r.maxValueRate = math.MaxInt64, now, 0
	for i := range r.classes {
		if class := &r.classes[i]; !class.retired && class.Consistency < Fresh {
			r.maxValueRate = max(r.maxValueRate, class.Value/class.meanTime)
		}
	}
	for i := range r.nodes {
		node := &r.nodes[i]
		r.decayWork(node, now)
		node.orphans *= decay
		if r.acceptsWork(node) && r.warmShare(node, now) >= 1 {
			workSum, warmNodes = workSum+node.recentWork/node.weight, warmNodes+1
		}
	}
	if warmNodes > 0 {
		r.warmNodeWork = workSum / warmNodes
	}
	for i := range r.requests {
		req := &r.requests[i]
		if req.live && req.deadline <= lastSweptAt {
			r.endExpired(req, now)
		}
		if req.live && !r.checkOverdue(req, now) && !req.parked && now < req.targetAt && r.mayRetry(req, now) {
			r.dispatch(req, now)
		}
	}
	r.resumeParked(now)
	r.scheduleTimer(now)
}

// resumeParked dispatches the parked requests again in the order of their deadlines; those for which nodes have no
// capacity are parked again or given up.
func (r *Router) resumeParked(now int64) {
	r.parkedSlots = r.parkedSlots[:0]
	for i := range r.requests {
		if req := &r.requests[i]; req.live && req.parked && !req.finished && now >= req.resumeAt {
			r.parkedSlots = append(r.parkedSlots, Slot(i))
		}
	}
	byDeadline := func(a, b Slot) int { return cmp.Compare(r.requests[a].deadline, r.requests[b].deadline) }
	slices.SortFunc(r.parkedSlots, byDeadline)
	for _, slot := range r.parkedSlots {
		r.requests[slot].parked = false
		r.dispatch(&r.requests[slot], now)
	}
}
