// Package soak runs scenarios of restarts and faults on real processes of the program, among stand-in nodes,
// discovery and clients, and checks the outcome against records that are kept outside the router. A scenario is
// data drawn from a seed: the same seed draws the same scenario.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events. Events of a router are signals and their side conditions; those of a node, of the group
// and of discovery are faults.
const (
	Reload                Kind = "reload"            // SIGHUPs within milliseconds, the file complete or truncated at the first
	Terminate             Kind = "terminate"         // SIGTERM, then the next process starts
	Suspend               Kind = "hold"              // SIGSTOP, and SIGCONT after a while
	Kill                  Kind = "kill"              // SIGKILL without a SIGTERM before it
	NodeHangs             Kind = "hang"              // a node answers nothing for a while
	NodeSlow              Kind = "late"              // a node answers late
	NodeResets            Kind = "reset"             // a node resets the connections of some requests
	NodeClosesConnections Kind = "end connections"   // a node closes its connections
	NodeDrains            Kind = "drain"             // a node drains, and serves again later
	NodeLeaves            Kind = "leave"             // a node drains, leaves the list and stops; it comes back cold
	Failover              Kind = "failover"          // the primary is lost, and another node takes over
	SlowConnections       Kind = "late connections"  // a node accepts some connections late
	DiscoveryDown         Kind = "discovery down"    // discovery answers nothing for a while
	DiscoveryRefuses      Kind = "discovery refuses" // discovery answers requests with 503 for a while, and open watches fall silent
	WatchesSilent         Kind = "watches silent"    // open watches fall silent
	DiscoveryMoves        Kind = "discovery moves"   // a new configuration and SIGHUP send the routers to another discovery server
)

// Event is one event of a scenario. Which fields apply depends on its kind.
type Event struct {
	At            time.Duration
	Kind          Kind
	Router        int           // index of the router, for signals
	Node          int           // index of the node, for node faults
	Duration      time.Duration `json:"For"`   // how long the fault lasts
	Signals       int           `json:"Count"` // number of SIGHUPs of a reload
	TruncatedFile bool          `json:"Torn"`  // the configuration file is truncated at the first SIGHUP
	Overlap       bool          `json:"Early"` // the next process starts before this one has exited
	RepeatSignals bool          `json:"Twice"` // SIGTERM is sent twice, and SIGINT after it
	Share         float64       `json:"Part"`  // share of the requests or connections affected
}

// Scenario is everything that is drawn from a seed. Reports print it as JSON; renamed fields have tags that keep
// the JSON names.
type Scenario struct {
	Seed             uint64
	Duration         time.Duration `json:"Length"`
	Routers          int
	Nodes            int // in the one group
	ClientsPerRouter int `json:"Clients"` // clients of each router that send requests
	IdleClients      int `json:"Crowd"`   // clients of each router that connect and send nothing
	Deadlines        []time.Duration
	TargetLatency    time.Duration `json:"Target"`
	ServerChecks     string        `json:"Checks"` // what nodes do with reads that need fresher data than they have
	Probes           bool
	Hedging          bool          `json:"SecondCopies"`
	RouterSessions   bool          `json:"Remembered"` // routers, and not clients, track what sessions wrote
	PollDiscovery    bool          `json:"Ask"`        // routers poll discovery, which pushes nothing
	ReplicationLag   time.Duration `json:"Lag"`
	AbandonShare     float64       `json:"Leaves"`     // share of the requests that their clients close, cancel, or stall
	PipelineShare    float64       `json:"Pipelines"`  // share of the connections on which clients pipeline queries
	BadClients       []BadClients  `json:",omitempty"` // beside those that are judged
	Events           []Event
}

// Bounds of scenarios.
const (
	scenarioDuration = 20 * time.Second
	faultFreeStart   = 2 * time.Second         // no events before this
	suspendTime      = 150 * time.Millisecond  // the longest hold-up of routers that the pages assume
	electionTime     = 2500 * time.Millisecond // from the loss of a primary to the next one
	maxRouters       = 6
	minNodes         = 3
	maxNodes         = 5
	maxDeadline      = 3 * time.Second
	minDeadline      = 400 * time.Millisecond
)

// NewScenario draws the scenario of a seed.
func NewScenario(seed uint64) *Scenario {
	random := rand.New(rand.NewPCG(seed, 50))
	scenario := &Scenario{Seed: seed, Duration: scenarioDuration, Routers: 1 + random.IntN(maxRouters),
		Nodes:            minNodes + random.IntN(maxNodes-minNodes+1),
		ClientsPerRouter: 6 + random.IntN(10), TargetLatency: time.Duration(150+random.IntN(250)) * time.Millisecond,
		ServerChecks: []string{"off", "off", "bounce", "await"}[random.IntN(4)], Probes: random.IntN(3) > 0, Hedging: random.IntN(2) == 0,
		RouterSessions: random.IntN(2) == 0, PollDiscovery: random.IntN(3) == 0,
		ReplicationLag: time.Duration(5+random.IntN(60)) * time.Millisecond,
		AbandonShare:   0.08 * random.Float64(), PipelineShare: 0.5 * random.Float64()}
	if random.IntN(3) == 0 {
		scenario.IdleClients = 60 + random.IntN(300) // may exceed the number of clients that a router accepts
	}
	for range ClassNames {
		scenario.Deadlines = append(scenario.Deadlines, minDeadline+time.Duration(random.Int64N(int64(maxDeadline-minDeadline))).Truncate(time.Millisecond))
	}
	scenario.addSignals(random)
	scenario.addFaults(random)
	slices.SortStableFunc(scenario.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return scenario
}

// randomMoment draws a moment after the fault-free start that leaves at least the needed time before the
// scenario's end.
func (s *Scenario) randomMoment(random *rand.Rand, needed time.Duration) time.Duration {
	return faultFreeStart + time.Duration(random.Int64N(int64(max(s.Duration-faultFreeStart-needed, time.Second)))).Truncate(time.Millisecond)
}

// addSignals draws the signals to each router: two restarts some seconds apart, and reloads and suspensions at
// any moment, some of them close to a restart.
func (s *Scenario) addSignals(random *rand.Rand) {
	for router := range s.Routers {
		first := faultFreeStart + time.Duration(random.IntN(4000))*time.Millisecond
		for _, at := range []time.Duration{first, first + 7*time.Second + time.Duration(random.IntN(2000))*time.Millisecond} {
			kind := Terminate
			if random.IntN(5) == 0 {
				kind = Kill
			}
			s.Events = append(s.Events, Event{At: at, Kind: kind, Router: router, Overlap: random.IntN(2) == 0, RepeatSignals: random.IntN(3) == 0,
				Duration: time.Duration(200+random.IntN(200)) * time.Millisecond})
			near := time.Duration(random.IntN(1200)-300) * time.Millisecond
			if random.IntN(2) == 0 {
				s.Events = append(s.Events, Event{At: at + near, Kind: Suspend, Router: router, Duration: suspendTime})
			}
			if random.IntN(2) == 0 {
				s.Events = append(s.Events, Event{At: at + near/4, Kind: Reload, Router: router,
					Signals: 2 + random.IntN(4), TruncatedFile: random.IntN(2) == 0})
			}
		}
		for range 2 + random.IntN(4) {
			s.Events = append(s.Events, Event{At: s.randomMoment(random, time.Second), Kind: Suspend, Router: router, Duration: suspendTime})
		}
		if random.IntN(2) == 0 {
			s.Events = append(s.Events, Event{At: s.randomMoment(random, time.Second), Kind: Reload, Router: router,
				Signals: 1 + random.IntN(4), TruncatedFile: random.IntN(2) == 0})
		}
	}
}

// addFaults draws the faults of nodes, of the group and of discovery.
func (s *Scenario) addFaults(random *rand.Rand) {
	kinds := []Kind{NodeHangs, NodeSlow, NodeResets, NodeClosesConnections, NodeDrains, NodeLeaves, Failover, SlowConnections,
		DiscoveryDown, DiscoveryRefuses, WatchesSilent, DiscoveryMoves}
	random.Shuffle(len(kinds), func(i, k int) { kinds[i], kinds[k] = kinds[k], kinds[i] })
	for _, kind := range kinds[:4+random.IntN(4)] {
		duration := time.Duration(800+random.IntN(2500)) * time.Millisecond
		needed := duration + 2*time.Second
		if kind == Failover || kind == NodeLeaves {
			needed = 2*electionTime + duration
		}
		s.Events = append(s.Events, Event{At: s.randomMoment(random, needed), Kind: kind, Node: random.IntN(s.Nodes),
			Duration: duration, Share: 0.1 + 0.4*random.Float64()})
	}
}

// MaxDeadline returns the longest deadline of all classes, or the 3 s that the pages name as the longest, if
// that is more.
func (s *Scenario) MaxDeadline() time.Duration { return max(slices.Max(s.Deadlines), maxDeadline) }
