package balance

// Need says how recent the data behind a tariff's answers must be.
type Need uint8

// The needs, in the order of the design's page.
const (
	Any     Need = iota // every member will do
	Bounded             // no older than the tariff's Bound when the trip is sent
	Session             // all that the job's session has written
	Fresh               // all that was written before the job came in
	Write               // only the primary takes it
)

// Repeat says what a second run of a job would do.
type Repeat uint8

// The kinds of tariffs.
const (
	Reissuable Repeat = iota // may run again
	Numbered                 // carries a mark by which its group discards repeats for a time
	AtMostOnce               // must never run twice
)

// Circle is the set of nodes that discards the repeats of a numbered job.
type Circle uint8

// The circles.
const (
	OfGroup Circle = iota
	OfZone
	OfAll
)

// Tariff is what the contract says of one kind of job. Times are in nanoseconds.
type Tariff struct {
	Need         Need
	Repeat       Repeat
	Circle       Circle
	Bound        int64 // Bounded only
	ContractTime int64
	HardLimit    int64 // of all its client's tries; 0: not said
	Window       int64 // Numbered only: how long repeats are discarded, from the first trip that may have run
	Earnings     float64
	LateShare    float64 // of the earnings, for an answer between contract time and hard limit
}

// Contract is what a router is told at its start.
type Contract struct {
	Tariffs         []Tariff
	Tick            int64
	MaxTrips        int // for one job
	SecondTrips     bool
	Probes          bool
	NodesCheck      bool // nodes turn away reads for which they are too far behind
	ListOnAsking    bool
	ListPushed      bool  // asking costs nothing: what was told is there already
	ListTold        int64 // after which a change counts as told, whether or not it was heard; 0: never
	AskEvery        int64
	ConnectTimeout  int64
	KeepAlive       int64 // of idle connections
	DrainGrace      int64
	StartShare      float64 // of a node's capacity at its start
	ColdFor         int64
	FallMultiple    float64
	FallSpan        int64
	LongestAbsence  int64 // that a bounced client can be asked for; 0: none
	GoneMayServe    bool  // only draining binds: a node said to be gone without it may be sent to
	RoutersTalk     bool
	Me              int  // this router's number among those that may talk
	Zone            int  // this router's, as its caller numbers zones; below 0: not said
	SessionsCarried bool // session reads say how long ago their session wrote
}

// Whole is what parts of one are counted in.
const Whole = 1 << 10

// Terms narrow what a router does with one job; the zero value narrows nothing. Times are in nanoseconds, parts in
// Whole. They stay the job's to its last trip.
type Terms struct {
	Trips     int32  // at most; 0: as many as the contract allows
	Again     uint16 // endings after which another trip may follow, a bit each; 0: all
	Refused   bool   // it is to be given up as it comes
	NoCopies  bool
	InZone    bool  // further trips stay in the zone of the first that may have run
	Counted   bool  // each further trip has to be granted by Outside.Grant
	TripTime  int64 // after which a trip is ended; 0: at the hard limit
	TripShare int64 // or the part of what is left then; 0: all of it
	Pause     int64 // before the second trip, doubled for each further one
	MostPause int64 // 0: no bound
	Jitter    int64 // part of a pause that is left to chance
	CopyAfter int64 // a trip out for so long may have a second beside it; 0: as the design has it
	AwayLeast int64 // a bounce asks to stay away for so long at least,
	AwayMost  int64 // and at most; 0: no bound
}

// Standing is what the list says of a node.
type Standing uint8

// The standings.
const (
	In Standing = iota
	Draining
	Gone
)

// Ending is how a trip ended.
type Ending uint8

// The endings. Those up to Moot prove that the trip never ran.
const (
	Done Ending = iota
	Miss
	Full
	Unreachable
	Moot
	Failed
	TimedOut
	Broken
	Revoked
)

// Role is what a node's answer says of its part in its group.
type Role uint8

// The roles.
const (
	Unknown Role = iota
	Primary
	Replica
)

// Report is what a node says of its own load and place, as far as its site has such figures.
type Report struct {
	Given    bool
	Position int64 // 0: not given
	Role     Role
	Held     float64 // jobs waiting or in work; below 0: not given
	Busy     float64 // part of its cores
}

// Note is what an answer says of the node that gave it.
type Note struct {
	Role     Role
	Position int64 // 0: not given; a write's is that of its commit
}

// Place is where a job in hand is kept, from Seat until Outside.Vacate.
type Place int32

// Outside carries a router's answers. Nodes are the caller's small indices.
type Outside interface {
	Submit(p Place, node int, until int64)
	Revoke(p Place, leg int)
	Grant(p Place, copy bool) bool // whether a job that is Counted may have a further trip, which then follows
	Bounce(p Place, stayAway int64)
	Terminate(p Place)
	Alarm(after int64)
	Probe(node int)
	Release(node int)              // closes idle connections
	Watch()                        // asks the list for changes from now on
	Lookup()                       // asks for the whole list once
	Tell(router int, words []byte) // another router, or below 0 all others
	Log(node int, words string)    // a line for the staff
	Vacate(p Place)                // the job is over and none of its trips is out
}
