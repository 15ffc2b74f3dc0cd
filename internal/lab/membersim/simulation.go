// Package membersim runs fault scenarios among the memberships of thousands of instances in simulated time, and checks them against
// the true state. It is deterministic: a scenario has the same events in every run.
package membersim

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/lab/day"
	"sedgestream/internal/message"
)

// Network conditions without faults, as shares of a period, and other constants of the simulated network.
const (
	baseDelay          = 0.002
	maxJitter          = 0.01
	maxQueuedDatagrams = 512 // that are queued for a paused instance
	encodeEvery        = 61  // every 61st datagram is encoded, to check its size
)

// Simulation is a fleet of instances in simulated time. Times are ns.
type Simulation struct {
	Scenario *day.Scenario
	Timing   members.Timing
	// Starved instances run only for a quarter of each two periods.
	Starved map[int]bool
	// StartTogether starts all instances at the same moment, not spread over one period.
	StartTogether bool
	// OnChange is called with each change of belief, by the number of the instance that holds it, in order of time. It may be nil.
	OnChange func(now int64, by int, change members.Change)

	Result       Result
	random       *rand.Rand
	now          int64
	events       events
	serial       uint64
	instances    []*Instance // those of the scenario, then duplicates of their names
	byAddress    map[string]int
	activeFaults map[int]*day.Fault // by index in the scenario
	hash         xxhash.Digest
}

// Instance is a simulated instance.
type Instance struct {
	sim          *Simulation
	number       int
	name         string
	address      string
	membership   *members.Members
	running      bool
	paused       bool
	queuedEvents []event
	timerAt      int64

	startedAt int64 // when its current process started
	endedAt   int64 // when its last process was killed or had left
	leaving   bool  // it has begun to leave
	datagrams int64
	bytes     int64
	views     int
	// falseFailures is since when it calls live and reachable instances failed, by their numbers.
	falseFailures map[int]int64
}

// Result is the outcome of a simulation. Times are in periods.
type Result struct {
	DetectionTimes      []float64 // from a death until another instance knew of it, for each death and instance
	FalseFailures       int       // times that an instance came to believe that a live and reachable one had failed
	OwnFalseFailures    int       // those of them that the instance found by itself, not by a rumor
	LongestFalseFailure float64   // until the instance was believed alive again
	ConvergedAfter      float64   // from the end of the last fault until all had the same, correct view; -1: not in time
	Views               float64   // mean number of views of an instance
	Datagrams           float64   // per instance and period
	Bytes               float64   // of datagrams, per instance and period
	LongestDatagram     int       // in bytes, of those that were encoded
	Hash                uint64    // of all events
	Violations          []string
	Exchanges           int     // of state between two instances
	ExchangeBytes       float64 // per instance and period
}

// event is a datagram or a timer of an instance, or a function to run. Events at the same time happen in the order of their serial
// numbers.
type event struct {
	at         int64
	serial     uint64
	to         int
	message    *members.Message
	run        func()
	membership *members.Members // membership whose timer it is; nil for datagrams and functions
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

// New prepares the simulation of a scenario. All instances start within one period.
func New(scenario *day.Scenario) *Simulation {
	sim := &Simulation{Scenario: scenario,
		Timing:    members.Timing{Period: int64(scenario.Period), ForgetAfter: int64(24 * time.Hour)},
		byAddress: map[string]int{}, activeFaults: map[int]*day.Fault{},
		random: rand.New(rand.NewPCG(scenario.Seed, 4)), now: int64(time.Hour)}
	sim.Result.ConvergedAfter = -1
	return sim
}

// push adds an event.
func (sim *Simulation) push(e event) {
	sim.serial++
	e.serial = sim.serial
	heap.Push(&sim.events, e)
}

// After schedules a function of the caller after a time, from the start of the scenario if it is called before Run.
func (sim *Simulation) After(after time.Duration, f func()) { sim.schedule(int64(after), f) }

// schedule schedules a function.
func (sim *Simulation) schedule(after int64, f func()) {
	sim.push(event{at: sim.now + after, to: -1, run: f})
}

// hashEvent adds an event to the hash.
func (sim *Simulation) hashEvent(what string, ns ...uint64) {
	sim.hash.WriteString(what)
	var b [8]byte
	for _, n := range ns {
		binary.LittleEndian.PutUint64(b[:], n)
		sim.hash.Write(b[:])
	}
}

// seeds are the addresses of the first three instances, which others join by.
func (sim *Simulation) seeds() (s []string) {
	for i := range min(3, sim.Scenario.Instances) {
		s = append(s, fmt.Sprintf("a%d", i))
	}
	return s
}

// start starts a process of an instance.
func (sim *Simulation) start(instance *Instance) {
	kind := members.Forwarder
	if instance.number < 3 {
		kind = members.Planner
	}
	instance.running, instance.paused, instance.queuedEvents, instance.startedAt, instance.leaving, instance.falseFailures =
		true, false, nil, sim.now, false, map[int]int64{}
	record := members.Record{Name: instance.name, Address: instance.address, Zone: fmt.Sprintf("z%d", instance.number%3),
		Kind: kind, RunID: sim.random.Uint64() | 1}
	instance.membership = members.New(record, sim.seeds(), sim.Timing, sim.now, sim.random.IntN, environment{instance})
	sim.hashEvent("start", uint64(instance.number), uint64(sim.now))
	instance.arm()
}

// add adds an instance that is not started.
func (sim *Simulation) add(name, address string) *Instance {
	instance := &Instance{sim: sim, number: len(sim.instances), name: name, address: address}
	sim.instances = append(sim.instances, instance)
	sim.byAddress[address] = instance.number
	return instance
}

// arm sets the timer to the next moment at which the membership has something to do.
func (i *Instance) arm() {
	if at := max(i.membership.NextTick(), i.sim.now+int64(time.Microsecond)); at < i.timerAt || i.timerAt <= i.sim.now {
		i.timerAt = at
		i.sim.push(event{at: at, to: i.number, membership: i.membership})
	}
}

// Bytes is the total of all datagrams so far.
func (sim *Simulation) Bytes() (bytes, datagrams int64) {
	for _, instance := range sim.instances {
		bytes, datagrams = bytes+instance.bytes, datagrams+instance.datagrams
	}
	return bytes, datagrams
}

// Run runs the scenario until all instances agree after its end, or for grace periods after that.
func (sim *Simulation) Run(grace float64) *Result {
	period := int64(sim.Scenario.Period)
	for n := range sim.Scenario.Instances {
		instance := sim.add(fmt.Sprintf("n%d", n), fmt.Sprintf("a%d", n))
		at := sim.random.Int64N(period)
		if sim.StartTogether {
			at = 0
		}
		sim.schedule(at, func() { sim.start(instance) })
	}
	for index := range sim.Scenario.Faults {
		fault := &sim.Scenario.Faults[index]
		sim.schedule(int64(fault.At), func() { sim.beginFault(index, fault) })
		if fault.Duration > 0 {
			sim.schedule(int64(fault.End()), func() { sim.endFault(index, fault) })
		}
	}
	faultsEnd, begin := sim.now+int64(sim.Scenario.Duration), sim.now
	until := faultsEnd + int64(grace*float64(period))
	sim.schedule(period, func() { sim.check(faultsEnd, until) })
	for len(sim.events) > 0 && sim.now <= until && sim.Result.ConvergedAfter < 0 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		if next.run != nil {
			next.run()
			continue
		}
		sim.deliver(next)
	}
	instancePeriods := float64(sim.now-begin) / float64(period) * float64(sim.Scenario.Instances)
	for _, instance := range sim.instances {
		sim.Result.Datagrams += float64(instance.datagrams) / instancePeriods
		sim.Result.Bytes += float64(instance.bytes) / instancePeriods
		sim.Result.Views += float64(instance.views) / float64(len(sim.instances))
	}
	sim.Result.ExchangeBytes /= instancePeriods
	sim.Result.Hash = sim.hash.Sum64()
	return &sim.Result
}

// deliver passes a datagram or a timer to an instance. A paused instance receives it later, as does a starved one.
func (sim *Simulation) deliver(e event) {
	instance := sim.instances[e.to]
	switch {
	case !instance.running || e.membership != nil && e.membership != instance.membership:
		return
	case instance.paused:
		if len(instance.queuedEvents) < maxQueuedDatagrams || e.message == nil {
			instance.queuedEvents = append(instance.queuedEvents, e)
		}
		return
	case sim.Starved[e.to]:
		if phase := sim.now % (2 * sim.Timing.Period); phase > sim.Timing.Period/2 {
			e.at += 2*sim.Timing.Period - phase
			sim.push(e)
			return
		}
	}
	if e.message != nil {
		instance.membership.HandleMessage(sim.now, e.message)
	} else {
		instance.timerAt = 0
		instance.membership.Tick(sim.now)
	}
	instance.arm()
}

// isCut reports whether datagrams from one instance can't reach another.
func (sim *Simulation) isCut(from, to int) bool {
	for _, fault := range sim.activeFaults {
		switch fault.Kind {
		case day.Partition:
			if slices.Contains(fault.Targets, from) != slices.Contains(fault.Targets, to) {
				return true
			}
		case day.OneWay:
			if slices.Contains(fault.Targets, from) && slices.Contains(fault.Peers, to) {
				return true
			}
		}
	}
	return false
}

// activeFault is an active fault of a kind, or nil.
func (sim *Simulation) activeFault(kind day.Kind) *day.Fault {
	for _, fault := range sim.activeFaults {
		if fault.Kind == kind {
			return fault
		}
	}
	return nil
}

// beginFault begins a fault.
func (sim *Simulation) beginFault(index int, fault *day.Fault) {
	sim.hashEvent(string(fault.Kind), uint64(sim.now))
	sim.activeFaults[index] = fault
	for _, n := range fault.Targets {
		instance := sim.instances[n]
		switch fault.Kind {
		case day.Kill:
			if instance.running {
				instance.running, instance.endedAt = false, sim.now
			}
		case day.Pause:
			instance.paused = true
		case day.Leave:
			if instance.running {
				instance.membership.Leave(sim.now)
				instance.arm()
				instance.leaving = true
				membership := instance.membership
				sim.schedule(sim.Timing.Period, func() {
					if instance.membership == membership {
						instance.running, instance.endedAt = false, sim.now
					}
				})
			}
		case day.DuplicateName:
			duplicate := sim.add(instance.name, fmt.Sprintf("twin%d", len(sim.instances)))
			sim.start(duplicate)
		}
	}
}

// endFault ends a fault, and restarts the instances that it ended.
func (sim *Simulation) endFault(index int, fault *day.Fault) {
	sim.hashEvent("end", uint64(sim.now))
	delete(sim.activeFaults, index)
	for _, n := range fault.Targets {
		instance := sim.instances[n]
		switch fault.Kind {
		case day.Kill, day.Leave:
			if !instance.running && sim.now-instance.endedAt >= sim.Timing.Period {
				sim.start(instance)
			}
		case day.Pause:
			instance.paused = false
			queuedEvents := instance.queuedEvents
			instance.queuedEvents = nil
			for _, e := range queuedEvents {
				e.at = sim.now
				sim.push(e)
			}
		case day.DuplicateName:
			for _, duplicate := range sim.instances[sim.Scenario.Instances:] {
				if duplicate.running && duplicate.name == instance.name {
					duplicate.running, duplicate.endedAt = false, sim.now
				}
			}
		}
	}
}

// environment carries out what the membership of an instance decides, in the simulated network.
type environment struct{ *Instance }

// Send sends a datagram, unless a fault prevents it.
func (env environment) Send(to string, msg *members.Message) {
	sim := env.sim
	env.datagrams++
	size := msg.Size()
	if env.datagrams%encodeEvery == 0 {
		datagram, err := message.EncodeDatagram(msg, 1)
		if err != nil || len(datagram) > size {
			sim.Result.Violations = append(sim.Result.Violations,
				fmt.Sprintf("a datagram of %d bytes, announced as %d: %v", len(datagram), size, err))
		}
		sim.Result.LongestDatagram = max(sim.Result.LongestDatagram, len(datagram))
	}
	env.bytes += int64(size)
	receiver, known := sim.byAddress[to]
	if !known || sim.isCut(env.number, receiver) {
		return
	}
	copies := 1
	if fault := sim.activeFault(day.Loss); fault != nil && sim.random.Float64() < fault.Amount {
		return
	}
	if fault := sim.activeFault(day.Duplicate); fault != nil && sim.random.Float64() < fault.Amount {
		copies = 2
	}
	for range copies {
		delay := float64(sim.Timing.Period) * (baseDelay + maxJitter*sim.random.Float64())
		if fault := sim.activeFault(day.Delay); fault != nil && sim.random.Float64() < fault.Amount {
			delay += float64(fault.MaxDelay) * sim.random.Float64()
		}
		copied := *msg
		sim.push(event{at: sim.now + int64(delay), to: receiver, message: &copied})
	}
}

// StartExchange exchanges the state of two instances after a delay.
func (env environment) StartExchange(_, address string) {
	sim := env.sim
	number, known := sim.byAddress[address]
	if !known {
		return
	}
	other, membership := sim.instances[number], env.membership
	sim.schedule(int64(baseDelay*float64(sim.Timing.Period)), func() {
		if !env.running || env.paused || env.membership != membership || !other.running || other.paused ||
			sim.isCut(env.number, number) || sim.isCut(number, env.number) {
			return
		}
		sim.Result.Exchanges++
		sums := env.membership.BucketChecksums()
		other.membership.Merge(sim.now, env.name, []members.Record{env.membership.Self()})
		buckets := other.membership.DifferingBuckets(&sums, !env.membership.HasJoined())
		theirs := other.membership.BucketRecords(sim.now, buckets)
		env.membership.Merge(sim.now, other.name, append(theirs, other.membership.Self()))
		ours := env.membership.BucketRecords(sim.now, buckets)
		other.membership.Merge(sim.now, env.name, ours)
		sim.Result.ExchangeBytes += float64(8*members.BucketCount + 60*(len(theirs)+len(ours)))
		env.Instance.arm()
		other.arm()
	})
}

// MemberChanged records a change of belief, and compares it with the true state.
func (env environment) MemberChanged(change members.Change) {
	sim := env.sim
	sim.hashEvent(change.Record.Name, uint64(env.number), uint64(sim.now), uint64(change.Record.Health), uint64(change.Record.Incarnation))
	if sim.OnChange != nil {
		sim.OnChange(sim.now, env.number, change)
	}
	number := sim.instanceAt(change.Record)
	if number < 0 {
		return
	}
	subject := sim.instances[number]
	switch {
	case change.Record.Health == members.Failed && subject.running && !subject.leaving &&
		subject.membership.Self().RunID == change.Record.RunID:
		if !subject.paused && !sim.isCut(number, env.number) && !sim.isCut(env.number, number) && !sim.Starved[number] {
			if sim.Result.FalseFailures++; change.Via == env.name {
				sim.Result.OwnFalseFailures++
			}
			env.falseFailures[number] = sim.now
		}
	case change.Record.Health < members.Failed:
		if since, known := env.falseFailures[number]; known {
			sim.Result.LongestFalseFailure = max(sim.Result.LongestFalseFailure, float64(sim.now-since)/float64(sim.Timing.Period))
			delete(env.falseFailures, number)
		}
		if subject.leaving && !subject.running && subject.membership.Self().RunID == change.Record.RunID && change.Known &&
			change.Previous == members.Left {
			sim.Result.Violations = append(sim.Result.Violations, fmt.Sprintf("%s was believed alive again at %s after an outdated message", subject.name, env.name))
		}
	case !subject.running && change.Previous < members.Failed && subject.membership.Self().RunID == change.Record.RunID &&
		change.Record.Health == members.Failed && !subject.leaving:
		sim.Result.DetectionTimes = append(sim.Result.DetectionTimes, float64(sim.now-subject.endedAt)/float64(sim.Timing.Period))
	}
}

// instanceAt is the number of the instance with a record's address; -1 if there is none.
func (sim *Simulation) instanceAt(record members.Record) int {
	number, known := sim.byAddress[record.Address]
	if !known {
		return -1
	}
	return number
}

// ViewChanged records a new view.
func (env environment) ViewChanged(view members.View) {
	env.views++
	env.sim.hashEvent("view", uint64(env.number), uint64(env.sim.now), view.Number, view.Digest)
}

// ViewConflictFound records that another instance has a different view of the same number.
func (env environment) ViewConflictFound(conflict members.ViewConflict) {
	env.sim.hashEvent("contradicted", uint64(env.number), conflict.Digest)
}

// Resumed records that the instance was paused.
func (env environment) Resumed(pause int64) {
	env.sim.hashEvent("woke", uint64(env.number), uint64(pause))
}

// DuplicateName records that another instance uses the same name.
func (env environment) DuplicateName(members.Record, string) {
	env.sim.hashEvent("twin", uint64(env.number))
}

// check checks all instances once a period, and whether they have converged after the end of the last fault.
func (sim *Simulation) check(faultsEnd, until int64) {
	if sim.now < until {
		sim.schedule(int64(sim.Scenario.Period), func() { sim.check(faultsEnd, until) })
	}
	running := 0
	for _, instance := range sim.instances {
		if instance.running && !instance.leaving {
			running++
		}
	}
	agreed := sim.now >= faultsEnd
	var first *members.View
	for _, instance := range sim.instances {
		if !instance.running || instance.leaving || instance.paused {
			continue
		}
		// A budget must be divided by at least the number of live members that the instance knows.
		if senders := instance.membership.SenderCount(); senders < instance.membership.LiveCount() {
			sim.Result.Violations = append(sim.Result.Violations,
				fmt.Sprintf("%s divides by %d of %d", instance.name, senders, instance.membership.LiveCount()))
		}
		if !agreed {
			continue
		}
		if instance.membership.LiveCount() != running {
			agreed = false
			continue
		}
		number, digest := instance.membership.ViewID()
		if first == nil {
			first = &members.View{Number: number, Digest: digest}
		}
		agreed = agreed && number == first.Number && digest == first.Digest
	}
	if agreed && first != nil && sim.noActiveFaults() {
		sim.Result.ConvergedAfter = math.Round(float64(sim.now-faultsEnd)/float64(sim.Scenario.Period)*10) / 10
	}
}

// noActiveFaults reports whether no fault with an end is active.
func (sim *Simulation) noActiveFaults() bool {
	for _, fault := range sim.activeFaults {
		if fault.Duration > 0 {
			return false
		}
	}
	return true
}
