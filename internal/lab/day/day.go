// Package day defines fault scenarios: generated from a seed, written to and read from day files, and run in simulated time or
// against real processes.
package day

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. The comment beside a kind says which fields of Fault it uses; "it ends" means the end of the fault's duration.
// With real processes Loss, Delay, Duplicate, Throttle and Replay concern what Targets send to Peers; an empty list means all
// instances.
const (
	Kill          Kind = "kill"   // Targets are killed, and restarted when it ends; never if Duration is 0
	Pause         Kind = "stop"   // Targets are suspended until it ends
	Leave         Kind = "leave"  // Targets are shut down, and restarted when it ends
	Partition     Kind = "split"  // Targets and all other instances can't reach each other
	OneWay        Kind = "oneway" // nothing that Targets send reaches Peers
	Loss          Kind = "loss"   // the share Amount of all datagrams is lost
	Delay         Kind = "late"   // the share Amount of all datagrams is delayed by up to MaxDelay
	Duplicate     Kind = "double" // the share Amount of all datagrams arrives twice
	DuplicateName Kind = "twin"   // another process starts with the name of Targets[0], and is killed when it ends
	// The discovery lists of Targets announce that a replica drains; all other lists announce it when the fault ends. Amount, from 0
	// to 1, selects the replica.
	Drain Kind = "drain"

	// With real processes only.
	Stall          Kind = "mute"     // half-open connections: what Targets send to Peers over connections is withheld until it ends
	Throttle       Kind = "throttle" // connections carry at most Amount kB a second
	Replay         Kind = "old"      // the share Amount of all datagrams is sent again when it ends
	ColdRestart    Kind = "cold"     // nodes, Targets or the replica that Amount selects, stop, and restart cold when it ends
	ChangeCapacity Kind = "weak"     // nodes, Targets, run at Amount times the capacity that lists announce
	FalseLoad      Kind = "lie"      // nodes, Targets, report no requests in flight
	ErrorAnswers   Kind = "err"      // nodes, Targets, answer each request by an error at once
	Starve         Kind = "slow"     // Targets get the CPU for the share Amount of the time
	Garbage        Kind = "garbage"  // each of Targets receives Amount invalid datagrams a second
	FakeNames      Kind = "names"    // each of Targets is sent Amount invented member names a second
)

// Fault is one fault of a scenario.
type Fault struct {
	At, Duration time.Duration
	Kind         Kind
	Targets      []int // numbers of instances, or of nodes for a kind that concerns nodes
	Peers        []int // numbers of instances
	Amount       float64
	MaxDelay     time.Duration
}

// End is when the fault ends; its start if it has no duration.
func (f Fault) End() time.Duration { return f.At + f.Duration }

// Scenario describes a number of instances, how long they run, and the faults in that time.
type Scenario struct {
	Seed      uint64
	Note      string
	Instances int
	Period    time.Duration // between two membership probes
	Duration  time.Duration
	Faults    []Fault // ordered by At
	Fleet     Fleet   // used with real processes only
}

// SortFaults orders the faults by At.
func (s *Scenario) SortFaults() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

// LastFaultEnd is when the last fault ends.
func (s *Scenario) LastFaultEnd() (at time.Duration) {
	for _, fault := range s.Faults {
		at = max(at, fault.End())
	}
	return at
}

// Generate draws a scenario of faults of the given kinds, which may overlap. The scenario ends with its last fault. Times
// are multiples of the period, so that the same scenario can be run slowly or fast. Instances numbered below excluded are never
// targets.
func Generate(seed uint64, instances, excluded int, period time.Duration, faults int, kinds ...Kind) *Scenario {
	random := rand.New(rand.NewPCG(seed, 28))
	scenario := &Scenario{Seed: seed, Instances: instances, Period: period}
	periods := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*random.Float64()) * float64(period)).Round(time.Millisecond)
	}
	randomTargets := func(share float64) (targets []int) {
		n := 1 + random.IntN(max(1, int(share*float64(instances-excluded))))
		targets = random.Perm(instances - excluded)[:n]
		for i := range targets {
			targets[i] += excluded
		}
		slices.Sort(targets)
		return targets
	}
	begin := periods(10, 20)
	for range faults {
		fault := Fault{At: begin, Kind: kinds[random.IntN(len(kinds))]}
		switch fault.Kind {
		case Kill:
			fault.Targets, fault.Duration = randomTargets(0.2), periods(5, 60)
		case Pause:
			fault.Targets, fault.Duration = randomTargets(0.1), periods(2, 30)
		case Leave:
			fault.Targets, fault.Duration = randomTargets(0.1), periods(5, 40)
		case Partition:
			fault.Targets, fault.Duration = randomTargets(0.5), periods(5, 60)
		case OneWay:
			fault.Targets, fault.Peers, fault.Duration = randomTargets(0.1), randomTargets(0.5), periods(5, 30)
		case Loss:
			fault.Amount, fault.Duration = 0.05+0.35*random.Float64(), periods(10, 40)
		case Delay:
			fault.Amount, fault.MaxDelay, fault.Duration = 0.3*random.Float64(), periods(1, 60), periods(10, 40)
		case Duplicate:
			fault.Amount, fault.Duration = random.Float64(), periods(10, 40)
		case DuplicateName:
			fault.Targets, fault.Duration = randomTargets(0)[:1], periods(10, 40)
		case Drain:
			fault.Targets, fault.Amount, fault.Duration = randomTargets(0.1), random.Float64(), periods(10, 40)
		case ColdRestart:
			fault.Amount, fault.Duration = random.Float64(), periods(1, 10)
		case Starve:
			fault.Targets, fault.Amount, fault.Duration = randomTargets(0.1), 0.1+0.3*random.Float64(), periods(10, 40)
		case Stall:
			fault.Targets, fault.Peers, fault.Duration = randomTargets(0.1), randomTargets(0.5), periods(5, 30)
		case Throttle:
			fault.Amount, fault.Duration = 2+20*random.Float64(), periods(10, 40)
		case Replay:
			fault.Amount, fault.Duration = 0.3*random.Float64(), periods(20, 100)
		case Garbage:
			fault.Targets, fault.Amount, fault.Duration = randomTargets(0.1), 20+200*random.Float64(), periods(10, 40)
		}
		scenario.Faults = append(scenario.Faults, fault)
		begin += periods(5, 50)
	}
	scenario.SortFaults()
	scenario.Duration = scenario.LastFaultEnd()
	return scenario
}
