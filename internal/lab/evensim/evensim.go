// Package evensim simulates hundreds to thousands of routers and their nodes in simulated time. Routers choose nodes by the balance
// module, or by simple policies to compare it with; the nodes keep ledgers. It is deterministic: a seed has the same events in every
// run.
package evensim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"sedgestream/balance"
	"sedgestream/internal/decide/loadsum"
	"sedgestream/internal/lab/evenness"
)

// Policy is the way in which routers choose nodes.
type Policy string

// The policies. Delayed state is as old as the load reports of nodes.
const (
	BalanceAlone      Policy = "module"          // the balance module, each router by itself
	BalanceMessages   Policy = "module, words"   // the balance module, with messages between routers
	BalanceDigests    Policy = "module, digests" // the balance module, with load summaries from planners
	Omniscient        Policy = "all-seeing"      // least loaded by the true state, including requests in transit
	DelayedOmniscient Policy = "late-seeing"     // one chooser for all routers: least loaded by delayed state and what it has sent since
	Random            Policy = "random"
	RoundRobin        Policy = "round robin"    // each router by itself
	OwnInFlight       Policy = "own in flight"  // fewest of the router's own attempts in flight, as the balance module does at its core
	PowerOfTwo        Policy = "power of two"   // of two random nodes the one with less load by delayed state
	LeastReported     Policy = "least reported" // least loaded by delayed state, which causes herds
)

// Policies are all policies, in the order of the tables.
var Policies = []Policy{
	Omniscient, DelayedOmniscient, BalanceDigests, BalanceMessages, BalanceAlone,
	OwnInFlight, PowerOfTwo, RoundRobin, Random, LeastReported,
}

// Config describes a simulation.
type Config struct {
	Seed             uint64
	Routers          int
	ReplicasPerGroup int // beside the primary
	Groups           int
	Cores            int           // requests that a node serves at a time
	MeanWork         time.Duration // mean time that a node takes for a request
	Load             float64       // as a share of all replicas' capacity
	TrafficSpread    float64       // standard deviation of the logarithm of a router's traffic
	Duration         time.Duration // that is measured
	WarmUp           time.Duration // before the measurement
	Period           time.Duration // between reports, and age of delayed state
	MeanDelay        time.Duration // of a message, one way
	Policy           Policy
	// SpeedFactor is the ratio of a replica's real speed to its nominal one; nil: 1. n is its number among all replicas.
	SpeedFactor func(n int, at time.Duration) float64
	// Failing replicas answer errors at once, and those with FalseLoad report no requests in flight. Both may be nil.
	Failing, FalseLoad func(n int, at time.Duration) bool
	// TrafficFactor is the ratio of a router's traffic to its usual traffic; nil: 1.
	TrafficFactor func(router int, at time.Duration) float64
	// MessageLoss is the share of messages between routers that is lost.
	MessageLoss float64
	// NoPlanner reports whether a router can't reach any planner; nil: it always can.
	NoPlanner func(router int, at time.Duration) bool
}

// Result is the outcome of a simulation.
type Result struct {
	Evenness     *evenness.Result
	Requests     int
	Done         int
	Late         int // answered beyond their target latency
	Rejected     int
	Failed       int
	Probes       float64 // per router and second
	ControlBytes float64 // of reports, digests and messages between routers, per router and second
	MessagesSent float64 // messages between routers, counted for each receiver and also if lost, per router and second
	Hash         uint64
	Took         time.Duration
}

// Simulation is a running simulation. Times are ns.
type Simulation struct {
	Config
	now          int64
	startedAt    int64
	random       *rand.Rand
	events       events
	serial       uint64
	nodes        []node
	routers      []*router
	aggregator   *loadsum.Aggregator
	hash         xxhash.Digest
	result       Result
	controlBytes float64
	nodeByMark   map[uint32]int
	class        balance.Class
	probes       int
	messages     int
}

// node is a simulated node.
type node struct {
	group     int
	primary   bool
	inFlight  int   // requests that have arrived and are not answered
	inTransit int   // requests that were sent and have not arrived
	busy      int   // requests that are being served
	queue     []int // indexes of attempts that wait
	attempts  []evenness.Attempt
	origins   []origin   // of each attempt
	history   []snapshot // states, for policies that see delayed state
	sent      int        // requests of all routers so far
}

// origin is where an attempt at a node came from, and its work.
type origin struct {
	request int
	attempt int
	router  *router
	work    int64
}

// snapshot is the state of a node at a moment.
type snapshot struct {
	at             int64
	inFlight, sent int
}

// event is something that happens at a time; events at the same time happen in the order of their serial numbers.
type event struct {
	at     int64
	serial uint64
	run    func()
}

// events is a heap.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// newSettings are the settings of the simulated routers. The only class is a read that any replica may answer.
func newSettings(config *Config) *balance.Settings {
	return &balance.Settings{
		TickInterval:      int64(5 * time.Millisecond),
		MaxAttempts:       3,
		Probes:            true,
		ListPollInterval:  1e10,
		ConnectTimeout:    int64(100 * time.Millisecond),
		IdleTimeout:       3e10,
		DrainGrace:        5e8,
		ColdCapacityShare: 0.15,
		WarmUpTime:        5e9,
		OverloadMultiple:  2,
		OverloadWindow:    1e9,
		Zone:              -1,
		PeerMessages:      config.Policy == BalanceMessages,
		Classes: []balance.Class{{
			Consistency:   balance.Bounded,
			MaxStaleness:  int64(2 * time.Second),
			RetrySafety:   balance.Idempotent,
			TargetLatency: int64(10 * config.MeanWork),
			Value:         1,
			Deadline:      int64(40 * config.MeanWork),
		}},
	}
}

// New prepares a simulation, which Run runs.
func New(config Config) *Simulation {
	sim := &Simulation{Config: config, now: int64(time.Hour), random: rand.New(rand.NewPCG(config.Seed, 29)),
		aggregator: loadsum.NewAggregator(int64(config.Period))}
	sim.startedAt = sim.now
	for group := range config.Groups {
		sim.nodes = append(sim.nodes, node{group: group, primary: true})
		for range config.ReplicasPerGroup {
			sim.nodes = append(sim.nodes, node{group: group})
		}
	}
	sim.nodeByMark, sim.class = map[uint32]int{}, newSettings(&config).Classes[0]
	for n := range sim.nodes {
		sim.nodeByMark[markOf(n)] = n
	}
	total := 0.0
	for n := range config.Routers {
		r := &router{sim: sim, number: n, weight: math.Exp(config.TrafficSpread * sim.random.NormFloat64())}
		total += r.weight
		sim.routers = append(sim.routers, r)
	}
	capacity := float64(config.Groups*config.ReplicasPerGroup*config.Cores) / config.MeanWork.Seconds()
	for _, r := range sim.routers {
		r.rate = config.Load * capacity * r.weight / total
		r.start()
	}
	return sim
}

// after schedules a function.
func (sim *Simulation) after(after int64, f func()) {
	sim.serial++
	heap.Push(&sim.events, event{sim.now + after, sim.serial, f})
}

// networkDelay draws the delay of a message.
func (sim *Simulation) networkDelay() int64 {
	return int64(float64(sim.MeanDelay) * (0.5 + sim.random.Float64()))
}

// elapsed is the simulated time since the start.
func (sim *Simulation) elapsed() time.Duration { return time.Duration(sim.now - sim.startedAt) }

// Run runs the simulation.
func (sim *Simulation) Run() *Result {
	begun := time.Now()
	end := sim.now + int64(sim.WarmUp+sim.Duration)
	for len(sim.events) > 0 && sim.events[0].at < end {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	var nodes []evenness.Node
	replica := 0
	for index := range sim.nodes {
		if node := &sim.nodes[index]; !node.primary {
			nodes = append(nodes, evenness.Node{Name: fmt.Sprint(index), Group: node.group,
				Capacity: float64(sim.Cores) * sim.speedFactor(replica, end), Attempts: node.attempts})
			replica++
		}
	}
	result := &sim.result
	result.Evenness = evenness.Measure(nodes, end-int64(sim.Duration), end)
	seconds := (sim.WarmUp + sim.Duration).Seconds()
	result.Probes, result.ControlBytes = float64(sim.probes)/float64(sim.Routers)/seconds, sim.controlBytes/float64(sim.Routers)/seconds
	result.MessagesSent = float64(sim.messages) / float64(sim.Routers) / seconds
	result.Hash, result.Took = sim.hash.Sum64(), time.Since(begun)
	return result
}

// replica is a node's number among all replicas.
func (sim *Simulation) replica(n int) int { return n - 1 - n/(sim.ReplicasPerGroup+1) }

// speedFactor is the configured factor at a time, or 1.
func (sim *Simulation) speedFactor(replica int, at int64) float64 {
	if sim.SpeedFactor == nil {
		return 1
	}
	return sim.SpeedFactor(replica, time.Duration(at-sim.startedAt))
}

// arrive handles the arrival of an attempt at a node.
func (sim *Simulation) arrive(n int, origin origin) {
	node := &sim.nodes[n]
	node.inTransit--
	if sim.Failing != nil && !node.primary && sim.Failing(sim.replica(n), sim.elapsed()) {
		sim.respond(n, origin, balance.Failed, int64(sim.MeanWork)/20)
		return
	}
	node.attempts = append(node.attempts, evenness.Attempt{Arrived: sim.now, Router: origin.router.number})
	node.origins = append(node.origins, origin)
	node.inFlight++
	node.recordState(sim)
	if node.primary || node.busy < sim.Cores {
		sim.serve(n, len(node.attempts)-1)
	} else {
		node.queue = append(node.queue, len(node.attempts)-1)
	}
}

// maxHistory bounds the history of a node's states.
const maxHistory = 4096

// recordState appends the current state to the history.
func (n *node) recordState(sim *Simulation) {
	if n.history = append(n.history, snapshot{sim.now, n.inFlight, n.sent}); len(n.history) > maxHistory {
		n.history = append(n.history[:0], n.history[maxHistory/2:]...)
	}
}

// stateAt is the state of the node at a time, from its history.
func (n *node) stateAt(at int64) snapshot {
	for i := len(n.history) - 1; i >= 0; i-- {
		if n.history[i].at <= at {
			return n.history[i]
		}
	}
	return snapshot{}
}

// serve starts to serve an attempt.
func (sim *Simulation) serve(n, attempt int) {
	node := &sim.nodes[n]
	node.busy++
	duration := int64(float64(node.origins[attempt].work) / sim.speedFactor(sim.replica(n), sim.now))
	sim.after(duration, func() {
		node := &sim.nodes[n]
		node.busy--
		node.inFlight--
		node.attempts[attempt].Ended = sim.now
		node.recordState(sim)
		sim.respond(n, node.origins[attempt], balance.Succeeded, 0)
		if len(node.queue) > 0 && node.busy < sim.Cores {
			next := node.queue[0]
			node.queue = node.queue[1:]
			sim.serve(n, next)
		}
	})
}

// respond sends the outcome of an attempt to its router.
func (sim *Simulation) respond(n int, origin origin, outcome balance.Outcome, after int64) {
	sim.after(after+sim.networkDelay(), func() { origin.router.attemptEnded(n, origin, outcome) })
}

// report is the load report of a node, which may be false.
func (sim *Simulation) report(n int) balance.Report {
	node := &sim.nodes[n]
	report := balance.Report{Present: true, Position: sim.now - int64(10*time.Millisecond), Role: balance.Replica,
		InFlight: float64(node.inFlight), Utilization: min(1, float64(node.busy)/float64(sim.Cores))}
	if node.primary {
		report.Role, report.Position = balance.Primary, sim.now
	} else if sim.FalseLoad != nil && sim.FalseLoad(sim.replica(n), sim.elapsed()) {
		report.InFlight, report.Utilization = 0, 0
	}
	return report
}

// choose chooses a node by one of the policies without the balance module. first is the index of the group's primary, which is
// followed by its replicas.
func (sim *Simulation) choose(r *router, first int) int {
	replica := func(k int) int { return first + 1 + k }
	delayed := sim.now - int64(sim.Period)
	leastLoaded := func(load func(n int) float64) int {
		best, lowest, ties := -1, math.MaxFloat64, 0
		for k := range sim.ReplicasPerGroup {
			if current := load(replica(k)); current < lowest {
				best, lowest, ties = replica(k), current, 1
			} else if current == lowest {
				if ties++; sim.random.IntN(ties) == 0 {
					best = replica(k)
				}
			}
		}
		return best
	}
	switch sim.Policy {
	case Omniscient:
		return leastLoaded(func(n int) float64 {
			return float64(sim.nodes[n].inFlight+sim.nodes[n].inTransit) / sim.speedFactor(sim.replica(n), sim.now)
		})
	case DelayedOmniscient:
		return leastLoaded(func(n int) float64 {
			past := sim.nodes[n].stateAt(delayed)
			// What was in flight then, less what may have been served since, plus all that was sent since.
			ended := float64(sim.Cores) * sim.Period.Seconds() / sim.MeanWork.Seconds()
			return max(0, float64(past.inFlight)-ended) + float64(sim.nodes[n].sent-past.sent)
		})
	case Random:
		return replica(sim.random.IntN(sim.ReplicasPerGroup))
	case RoundRobin:
		r.nextNode++
		return replica((r.number + r.nextNode) % sim.ReplicasPerGroup)
	case OwnInFlight:
		return leastLoaded(func(n int) float64 { return float64(r.inFlight[n]) })
	case PowerOfTwo:
		a, b := replica(sim.random.IntN(sim.ReplicasPerGroup)), replica(sim.random.IntN(sim.ReplicasPerGroup))
		if sim.nodes[b].stateAt(delayed).inFlight < sim.nodes[a].stateAt(delayed).inFlight {
			return b
		}
		return a
	case LeastReported:
		return leastLoaded(func(n int) float64 { return float64(sim.nodes[n].stateAt(delayed).inFlight) })
	}
	panic("evensim: no such policy: " + string(sim.Policy))
}

// usesBalance reports whether routers use the balance module.
func (p Policy) usesBalance() bool {
	return p == BalanceAlone || p == BalanceMessages || p == BalanceDigests
}

// exponential draws an exponentially distributed time, capped at five times the mean.
func (sim *Simulation) exponential(mean float64) int64 {
	return int64(mean * min(5, sim.random.ExpFloat64()))
}

// String is the result in some lines.
func (r *Result) String() string {
	return fmt.Sprintf("%v\n%d jobs: %d done, %d of them late, %d bounced, %d failed; %.2f probes and %.0f bytes of words a router and second; took %v",
		r.Evenness, r.Requests, r.Done, r.Late, r.Rejected, r.Failed, r.Probes, r.ControlBytes, r.Took.Round(time.Millisecond))
}

// Sizes of the parts of messages in MessagePack, to estimate their bytes.
const (
	loadBytes       = 16
	summaryBytes    = 28
	selfReportBytes = 16
	headerBytes     = 24
)

// messageBytes is the size of a message with loads and summaries.
func messageBytes(loads []loadsum.NodeLoad, summaries []loadsum.Summary) float64 {
	size := headerBytes + loadBytes*len(loads) + summaryBytes*len(summaries)
	for _, load := range loads {
		size += cmp.Compare(len(loads), 0) * map[bool]int{true: selfReportBytes}[load.SelfReport != nil]
	}
	for _, summary := range summaries {
		size += map[bool]int{true: selfReportBytes}[summary.SelfReport != nil]
	}
	return float64(size)
}
