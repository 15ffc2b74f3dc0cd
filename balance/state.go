package balance

import "math"

// Router routes the requests of one router process: it keeps what is known of nodes, classes, sessions and requests in
// progress. Times are in nanoseconds of the caller's monotonic clock, unless they are said to be of the servers' clock.
type Router struct {
	actions                        Actions
	random                         randomSource
	classes                        []classRecord
	sessions                       sessionMemory
	clock                          serverClock
	retriesMarked                  bool    // clients mark their retries
	routerCount                    float64 // of the fleet, at least 1
	onlyRouter                     bool    // the fleet has no other router
	meanRequestWork                float64 // mean work of recent requests, in ns; a request's work is its class's mean time
	meanIdleTime                   float64 // mean idle time of recent requests, in ns
	nodes                          []nodeRecord
	groups                         []groupRecord
	requests                       []request // indexed by Slot
	freeSlots                      []Slot
	parkedSlots                    []Slot // buffer of resumeParked
	maxAttempts                    int
	listUpdate                     int // number of the last list update
	hedging                        bool
	probesEnabled                  bool
	nodesCheckFreshness            bool
	listOnRequest                  bool
	stopped                        bool  // no request is sent any more
	fullList                       bool  // the list update in progress is a full list
	sweepInterval                  int64 // time between sweeps, which are calls of OnTimer, while there are requests
	positionRefresh                int64 // age of a replica's last report at which reads cause a probe of it
	laggingThreshold               int64 // lag above which a replica counts as lagging; few reads but those of consistency Any can use it
	maxRetryAfter                  int64
	reportAge                      int64 // mean age of reports when they arrive
	sweptAt                        int64 // when OnTimer last ran
	timerAt                        int64 // when the timer fires
	stalledFor                     int64 // how long the process has been stalled since the start, as far as its timer shows
	stallRecordedAt                int64 // until when stalledFor counts
	caughtUpAt                     int64 // when what arrived during the last stall has been read
	ejectionTime                   int64
	halfDrainGrace                 int64 // half of Settings.DrainGrace
	warmUpTime                     int64
	overloadWindow                 int64
	list                           listAge
	coldCapacityShare              float64
	coldBudget                     float64 // work for a cold node within overloadWindow, per warm share and per work of a warm node
	peerMessages                   bool
	reporting                      bool // this router probes all nodes and sends reports to the others
	removedMayServe                bool
	acknowledged                   bool // another router has answered since the last reporting round
	routerIndex                    int
	zone                           int32
	nodesByHash                    map[uint32][]int32 // node indices by the hash of their ID
	reportInterval                 int64
	nextRoundAt                    int64 // when the next reporting round begins
	sendReportsAt                  int64 // when the reports of this round are sent; 0: they were
	peerReportAt                   int64 // when this router last received a message or began a round itself
	idleTimeout                    int64
	totalLoadAt                    int64            // when total loads were last received
	roundBackoff                   int64            // pause between reporting rounds that nobody acknowledges
	nextAckAt                      int64            // time before which no further acknowledgement is sent
	sharedLimit                    concurrencyLimit // learned from all nodes, for low-traffic routers
	loadLifetime                   int64            // age at which a load report no longer counts
	meanNodeLoad                   float64          // mean of the attempts that warm nodes report, per unit of weight
	meanNodeLoadAt                 int64            // when such a report last arrived; 0: never
	warmNodeWork                   float64          // recent work sent to a warm node per unit of weight, in ns
	maxValueRate                   float64          // highest value per mean time of any class that replicas serve
	probeBudget                    float64          // probes that requests may still cause
	nextListCallAt                 int64            // when discovery is called next; 0: a call or a watch is in progress
	listCalledAt                   int64
	listBackoff                    int64 // next pause between calls for the list; random from half to three halves of it
	minListBackoff, maxListBackoff int64
	maxFirstPause                  int64 // longest pause before the first call for the list
	listCallTimeout                int64
	maxListCallSpacing             int64 // from the beginning of a call to that of the next; 0: no limit
}

// attemptEndHandler decides what to do next with a request once an attempt of it has ended.
type attemptEndHandler func(r *Router, req *request, outcome Outcome, now int64)

// attemptRecord is an attempt of a request.
type attemptRecord struct {
	node          int32
	outcome       Outcome // once it is no longer in flight
	inFlight      bool
	late          bool // in flight for longer than the class's target latency, and recorded as that
	lost          bool // presumed lost, and no longer counted at its node
	sentAt        int64
	stalledBefore int64   // stalledFor when it was sent
	answersBefore float64 // answerCount of the node when the attempt was sent
	ownInFlight   float64 // attempts of this router at the node when it was sent, with orphans
	loadAtSend    float64 // estimated load of the node when it was sent
	atIdleNode    bool    // the node was warm and had no other known attempts when it was sent
	onEnd         attemptEndHandler
}

// request is a request in progress.
type request struct {
	slot            Slot
	live            bool // the slot is in use
	finished        bool // nothing more is to be sent to its client
	parked          bool // queued inside the router, with no attempt in flight
	primaryFallback bool // a read for which no replica could be used
	class           int32
	group           int32
	inFlight        int32   // attempts
	loadProbes      int     // 1 once it has caused probes for the load of nodes, else 0
	randomDraw      float64 // between 0 and 1, for all random decisions on the request
	session         uint64  // session ID
	isRetry         bool    // its client marks it as a retry
	minPosition     int64   // position that a session read must see; 0: none
	arrivedAt       int64
	targetAt        int64 // end of its class's target latency
	deadline        int64
	parkUntil       int64 // time until which it may be parked while there is no usable primary
	resumeAt        int64 // time before which it stays parked
	maxAttempts     int
	notSent         int // attempts that this process could not send
	notSentInRow    int // the last of these, without another outcome in between
	terms           Terms
	attempts        []attemptRecord
}

// nodeRecord is what is known of a node.
type nodeRecord struct {
	index                int32
	group                int32 // -1: none, the record is unused
	zone                 int32
	state                NodeState
	role                 Role
	weight               float64
	listedPrimary        bool
	listUpdate           int   // number of the list update that last named it
	leaveAnnouncedAt     int64 // when its state last ceased to be Active
	startedAt            int64 // by the list, on the servers' clock; 0: long ago
	returnedAt           int64 // when it first answered again after it had been unreachable; 0: never was
	position             int64 // lower bound of its position in the replication log
	positionAt           int64 // when a position was last received
	lag                  int64 // by that position
	roleAt               int64 // time at which its role was true
	misdirectedAt        int64 // when it last turned a read away as its data was too old
	lostAt               int64 // when an attempt last found it unreachable or silent; 0: never
	heardAt              int64 // when it last answered, or the oldest of its attempts was sent
	ejectedUntil         int64
	probedAt             int64
	succeededAt          int64 // when an attempt there last succeeded
	unreachable          bool  // attempts in a row could not reach it
	probeInFlight        bool
	drained              bool    // it was draining before it left the list, or is
	failures             int     // in a row
	inFlight             float64 // attempts of this router
	orphans              float64 // attempts that ended unanswered here and may still be running there; decays
	answerCount          float64
	limit                concurrencyLimit
	utilization          float64 // share of busy cores, by its last report
	reportedLoad         float64 // attempts there, by its last report
	reportedAt           int64
	probeAnsweredAt      int64   // when it last answered a probe of this router
	logStrength          float64 // logarithm of its strength beyond its weight, as the whole fleet has found it
	totalLoad            float64 // attempts of all routers there
	totalLoadAt          int64   // time at which totalLoad was true
	idHash               uint32
	recentWork           float64       // work sent there, in ns; decays over the overload window
	coldWork             slidingWindow // work sent there while it was cold, in ns
	minOffsets           offsetSamples // lower and
	maxOffsets           offsetSamples // upper bounds of the servers' clock less this router's
	startAnnouncedAt     int64         // when the list first showed startedAt
	recentWorkAt         int64         // time up to which recentWork has decayed
	grantedWork          float64       // work within the overload window that was granted to this router, in ns
	reducedShare         float64       // share of the router's cold share that counts after the grant
	grantUntil           int64         // end of the grant's validity
	reducedUntil         int64         // time until which reducedShare counts
	ejectedByOthersUntil int64
	lastSentLoad         float64 // reportedLoad as it was last sent to other routers
	lastSentAt           int64
}

// concurrencyLimit limits the attempts at a node so that they take half their target latency on average.
type concurrencyLimit struct {
	size         float64 // attempts
	latencyRatio float64 // mean time of an attempt as a part of its target latency
	ramping      bool    // the limit grows fast, as the node has never been full yet
}

// classRecord is a class and what was learned of it.
type classRecord struct {
	Class
	tracking     SessionTracking
	meanTime     float64 // of an attempt, in ns
	idleTime     float64 // of an attempt at a warm node with no other known attempts, in ns: its work without waits
	primaryShare float64 // share of a primary's concurrency limit that it may use
	retryAfter   int64   // see Settings.RetryAfter
	retired      bool    // not in the present settings
}

// learnTime adds the time of an attempt to the means. The time at idle nodes is never more than that at all nodes: a class
// that is not sent to idle nodes has none of its own.
func (c *classRecord) learnTime(took float64, atIdleNode bool) {
	c.meanTime += slowAverageWeight * (took - c.meanTime)
	if atIdleNode {
		c.idleTime += slowAverageWeight * (took - c.idleTime)
	}
	c.idleTime = min(c.idleTime, c.meanTime)
}

// decayMeanTime shortens the mean time of an attempt with each new request that is given up because its attempt would take
// too long. Otherwise a class whose attempts took, or were assumed to take, longer than its clients wait would never be
// tried again.
func (c *classRecord) decayMeanTime(req *request, now int64) {
	if now == req.arrivedAt && len(req.attempts) == 0 {
		c.meanTime *= 1 - slowAverageWeight
		c.idleTime = min(c.idleTime, c.meanTime)
	}
}

// groupRecord is a group of nodes that hold the same data.
type groupRecord struct {
	members   []int32
	maxActive float64 // largest number of active members that the list has had
}

// ReserveSlot reserves a slot for a new request.
func (r *Router) ReserveSlot() Slot {
	if last := len(r.freeSlots); last > 0 {
		slot := r.freeSlots[last-1]
		r.freeSlots = r.freeSlots[:last-1]
		return slot
	}
	r.requests = append(r.requests, request{attempts: make([]attemptRecord, 0, r.maxAttempts)})
	return Slot(len(r.requests) - 1)
}

// freeIfDone frees the slot of a request that is finished and has no attempt in flight.
func (r *Router) freeIfDone(slot Slot) {
	if req := &r.requests[slot]; req.live && req.finished && req.inFlight == 0 {
		req.live = false
		r.freeSlots = append(r.freeSlots, slot)
		r.actions.FreeSlot(slot)
	}
}

// scheduleTimer sets the timer for what is due next: while there are requests after each sweep interval, else for
// calls for the list and for reports. It only ever moves the timer forward, so that a stream of new requests can't
// delay it. An overdue sweep is made up for at once.
func (r *Router) scheduleTimer(now int64) {
	if now-r.sweptAt >= 2*r.sweepInterval && r.timerAt > now {
		r.OnTimer(now)
		return
	}
	at := now + r.sweepInterval
	if len(r.requests) == len(r.freeSlots) {
		at = now + max(r.overloadWindow, r.sweepInterval) // reports of others may have expired by then
		if r.listOnRequest && r.nextListCallAt > 0 {
			at = min(at, r.nextListCallAt)
		}
		if r.peerMessages {
			at = min(at, r.nextRoundAt)
			if r.reporting && r.sendReportsAt > 0 {
				at = min(at, r.sendReportsAt)
			}
		}
		at = max(at, now+r.sweepInterval)
	}
	if at < r.timerAt {
		r.timerAt = at
		r.actions.SetTimer(at - now)
	}
}

// addClass returns the number of a class: its number under earlier settings, with what was learned then, else a new
// one, as requests in progress may have any of the others. The first class of new settings retires all existing ones.
func (r *Router) addClass(added classRecord, first bool) int {
	for i := range r.classes {
		r.classes[i].retired = r.classes[i].retired || first
	}
	for i := range r.classes {
		if class := &r.classes[i]; class.retired && class.Class == added.Class && class.tracking == added.tracking {
			class.primaryShare, class.retryAfter, class.retired = added.primaryShare, added.retryAfter, false
			return i
		}
	}
	r.classes = append(r.classes, added)
	return len(r.classes) - 1
}

// ClassCount returns how many different classes the router has had.
func (r *Router) ClassCount() int { return len(r.classes) }

// group returns the record of a group, which it creates if need be.
func (r *Router) group(index int) *groupRecord {
	for len(r.groups) <= index {
		r.groups = append(r.groups, groupRecord{})
	}
	return &r.groups[index]
}

// randomSource is a multiply-with-carry generator.
type randomSource uint64

// intN returns a random number from 0 to n-1, and 0 if n is below 1.
func (s *randomSource) intN(n int64) int64 {
	*s = randomSource(uint64(uint32(*s))*4294957665 + uint64(*s)>>32)
	return int64(uint64(uint32(*s)) * uint64(max(n, 1)) >> 32)
}

// decayWork lets a node's recent work decay up to now.
func (r *Router) decayWork(node *nodeRecord, now int64) {
	if now > node.recentWorkAt {
		node.recentWork, node.recentWorkAt = node.recentWork*math.Exp(-float64(now-node.recentWorkAt)/float64(r.overloadWindow)), now
	}
}
