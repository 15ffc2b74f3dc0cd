package balance

// Consistency says how recent the data behind a class's answers must be. Higher values ask for more.
type Consistency uint8

// The consistency levels, as docs/design.md has them.
const (
	Any     Consistency = iota // any member may answer
	Bounded                    // data no older than the class's MaxStaleness when the attempt is sent
	Session                    // all that the request's session has written
	Fresh                      // all that was written before the request arrived
	Write                      // a write, which only the primary executes
)

// RetrySafety says what happens if a request runs twice.
type RetrySafety uint8

// The levels of retry safety.
const (
	Idempotent   RetrySafety = iota // may run any number of times
	Deduplicated                    // carries a token by which nodes discard repeats for Class.DedupWindow
	AtMostOnce                      // must never run twice
)

// DedupScope is the set of nodes that discard each other's repeats of a deduplicated request.
type DedupScope uint8

// The scopes: the nodes of the request's group, those of them in one zone, or all nodes.
const (
	DedupInGroup DedupScope = iota
	DedupInZone
	DedupEverywhere
)

// Class holds what the settings say of one class of requests. Times are in nanoseconds.
type Class struct {
	Consistency    Consistency
	RetrySafety    RetrySafety
	DedupScope     DedupScope // for Deduplicated
	MaxStaleness   int64      // for Bounded
	TargetLatency  int64
	Deadline       int64   // until which a client waits, with all its retries; 0: not stated
	DedupWindow    int64   // for Deduplicated: how long repeats are discarded, from the first attempt that may have run
	Value          float64 // of an answer within the target latency
	LateValueShare float64 // share of Value for an answer between the target latency and the deadline
}

// Settings configures a router. Times are in nanoseconds.
type Settings struct {
	Classes             []Class
	TickInterval        int64   // least time between calls of Router.OnTimer
	MaxAttempts         int     // for one request
	Hedging             bool    // a request may have a second attempt while the first is in flight
	Probes              bool    // nodes answer probes
	NodesCheckFreshness bool    // nodes turn away reads that need fresher data than they have
	ListOnRequest       bool    // the router has to call discovery for the list
	ListPushed          bool    // discovery pushes changes; a call costs nothing, as its answer is already there
	ListAnnouncedAfter  int64   // time after which a change of the list is taken to be known to all, received or not; 0: no limit
	WatchTimeout        int64   // time after which a watch that has gone silent is found to be broken
	ListCallTimeout     int64   // timeout of a call for the list
	ListPollInterval    int64   // base of the pauses between calls for the list
	ConnectTimeout      int64   // of a new connection to a node
	IdleTimeout         int64   // time after which idle connections are closed
	DrainGrace          int64   // time in which attempts may still begin at a node that is to leave
	ColdCapacityShare   float64 // share of its capacity that a node has at its start
	WarmUpTime          int64   // from a node's start until it has its full capacity
	OverloadMultiple    float64 // multiple of its present capacity that overloads a cold node, over OverloadWindow
	OverloadWindow      int64   // time over which the work sent to a cold node is summed
	MaxRetryAfter       int64   // longest time for which a rejected client can be asked to stay away; 0: it can't be asked
	RemovedMayServe     bool    // a node that left the list without draining may still be sent requests
	PeerMessages        bool    // routers can send messages to each other
	RouterIndex         int     // this router's number among those that exchange messages
	Zone                int     // this router's zone, numbered by the caller; below 0: not known
	Sessions            SessionTracking
	RetriesMarked       bool // clients mark their retries
	RouterCount         int  // routers in the whole fleet; 0: not known
}

// ShareScale is the unit of the shares in Terms: a share of ShareScale is the whole.
const ShareScale = 1 << 10

// Terms restrict how a router handles one request, up to its last attempt. The zero value restricts nothing. Times
// are in nanoseconds, shares in units of 1/ShareScale.
type Terms struct {
	MaxAttempts      int32  // 0: as the settings have it
	RetryOn          uint16 // bit set of outcomes (1 << Outcome) after which a retry may follow; 0: all outcomes
	Refused          bool   // the request is given up at once
	NoHedging        bool   // the request gets no hedged attempts
	SameZone         bool   // further attempts stay in the zone of the first one that may have run
	NeedsGrant       bool   // each further attempt needs Actions.GrantAttempt
	AttemptTimeout   int64  // 0: the request's deadline
	AttemptTimeShare int64  // timeout as a share of the time until the deadline, if AttemptTimeout is 0; 0: all of it
	RetryPause       int64  // before the second attempt; doubled before each further one
	MaxRetryPause    int64  // 0: no limit
	RetryJitter      int64  // share of a pause that is random
	HedgeDelay       int64  // age of an attempt at which another may be sent beside it; 0: derived from the class's latency
	MinRetryAfter    int64  // shortest time for which a rejection asks the client to stay away
	MaxRetryAfter    int64  // longest such time; 0: no limit
}

// NodeState is a node's state in the list.
type NodeState uint8

// The states of a node.
const (
	Active   NodeState = iota // serves
	Draining                  // is to leave, and gets no new requests
	Removed                   // has left, or a full list lacks it
)

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes. Those between Succeeded and Failed prove that the attempt never ran.
const (
	Succeeded      Outcome = iota
	Misdirected            // turned away by a node that is not the primary, or whose data is too old
	Full                   // turned away by a node without capacity
	Unreachable            // the request could not be sent to the node
	NotSent                // this process could not send it, see notsent.go
	Failed                 // answered with an error
	TimedOut               // not answered in time
	ConnectionLost         // the connection broke before the answer was complete
	Canceled               // canceled before it was answered
)

// Role is a node's role in its group, as one of its answers shows it.
type Role uint8

// The roles.
const (
	Unknown Role = iota
	Primary
	Replica
)

// Report is what a node says of its load and replication state, as far as its deployment provides it.
type Report struct {
	Present     bool  // there is a report
	Position    int64 // in the replication log, as a time in nanoseconds; 0: not given
	Role        Role
	InFlight    float64 // requests queued or running; below 0: not given
	Utilization float64 // share of busy cores
}

// AnswerInfo is what an answer shows of the node that gave it.
type AnswerInfo struct {
	Role     Role
	Position int64 // in the replication log; 0: not given; for a write the position of its commit
}

// Slot identifies a request in progress, from Router.ReserveSlot until Actions.FreeSlot.
type Slot int32

// Actions receives a router's decisions. Nodes are identified by the caller's small indices, attempts of a request by
// their number from 0; times are in nanoseconds.
type Actions interface {
	// Submit sends the request's next attempt to a node; the attempt times out at the given moment.
	Submit(slot Slot, node int, deadline int64)
	// Cancel cancels an attempt in flight.
	Cancel(slot Slot, attempt int)
	// GrantAttempt reports whether a request whose Terms say NeedsGrant may have a further attempt, which then follows.
	// Hedge is true if another attempt of the request is still in flight.
	GrantAttempt(slot Slot, hedge bool) bool
	// Reject tells the client to retry after the given time, or at will if that is 0.
	Reject(slot Slot, retryAfter int64, reason Reason)
	// Fail tells the client that the request failed and may have run.
	Fail(slot Slot, reason Reason)
	// SetTimer has Router.OnTimer called after the given time; it replaces the timer set before.
	SetTimer(after int64)
	// Probe asks a node for its report.
	Probe(node int)
	// CloseIdle closes the idle connections to a node.
	CloseIdle(node int)
	// WatchList calls discovery for the list and for its changes from then on.
	WatchList()
	// FetchList calls discovery once for the full list.
	FetchList()
	// SendMessage sends a message to another router, or to all others if router is below 0. The message is only valid
	// during the call.
	SendMessage(router int, message []byte)
	// Log writes a log line about a node.
	Log(node int, message string)
	// FreeSlot frees a slot: its request is finished and none of its attempts is in flight.
	FreeSlot(slot Slot)
}
