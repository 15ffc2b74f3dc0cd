package evensim

import (
	"fmt"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/decide/loadsum"
)

// router is a simulated router, which uses the balance module if the policy says so.
type router struct {
	sim      *Simulation
	number   int
	weight   float64 // share of traffic, relative to other routers
	rate     float64 // requests per second
	balancer *balance.Router
	inFlight []int // attempts in flight, by node
	nextNode int   // for RoundRobin
	requests map[balance.Slot]*request
	serial   int
	timer    uint64 // number of the timer that counts; earlier ones are ignored
	meter    *loadsum.Meter
	views    *loadsum.PlannerViews
	sample   *loadsum.Aggregator // loads of other routers, while no planner is reachable
}

// request is a request at its router.
type request struct {
	arrivedAt int64
	group     int
	attempts  int
	work      int64
	finished  bool
}

// start starts a router.
func (r *router) start() {
	sim := r.sim
	r.inFlight, r.requests = make([]int, len(sim.nodes)), map[balance.Slot]*request{}
	if sim.Policy.usesBalance() {
		settings := newSettings(&sim.Config)
		settings.RouterIndex = r.number
		r.balancer = balance.NewRouter(settings, sim.random.Uint64(), r, sim.now)
		r.balancer.BeginListUpdate(true)
		for n := range sim.nodes {
			r.balancer.UpdateNode(sim.now, n, sim.nodes[n].group, 0, markOf(n), balance.Active, 1, 0, sim.nodes[n].primary)
		}
		r.balancer.EndListUpdate(sim.now)
		if sim.Policy == BalanceDigests {
			r.meter, r.views = loadsum.NewMeter(sim.now), loadsum.NewPlannerViews(int64(sim.Period))
			sim.after(sim.random.Int64N(int64(sim.Period)), r.report)
		}
	}
	sim.after(r.nextArrival(), r.arrive)
}

// markOf is the mark that identifies a node in load reports.
func markOf(n int) uint32 { return uint32(n+1) * 2654435761 }

// nodeOfMark is the node with a mark.
func (sim *Simulation) nodeOfMark(mark uint32) int {
	n, known := sim.nodeByMark[mark]
	if !known {
		panic(fmt.Sprint("evensim: no node has the mark ", mark))
	}
	return n
}

// nextArrival draws the time until the next request.
func (r *router) nextArrival() int64 {
	rate := r.rate
	if r.sim.TrafficFactor != nil {
		rate *= r.sim.TrafficFactor(r.number, r.sim.elapsed())
	}
	return int64(r.sim.random.ExpFloat64() / max(rate, 1e-3) * 1e9)
}

// arrive accepts a request.
func (r *router) arrive() {
	sim := r.sim
	sim.after(r.nextArrival(), r.arrive)
	group := sim.random.IntN(sim.Groups)
	req := &request{arrivedAt: sim.now, group: group, work: sim.exponential(float64(sim.MeanWork))}
	sim.result.Requests++
	if !sim.Policy.usesBalance() {
		node := sim.choose(r, group*(sim.ReplicasPerGroup+1))
		r.serial++
		slot := balance.Slot(r.serial)
		r.requests[slot] = req
		r.send(slot, 0, node)
		return
	}
	slot := r.balancer.ReserveSlot()
	r.requests[slot] = req
	class := &sim.class
	r.balancer.Accept(sim.now, slot, 0, group, class.Deadline, balance.SessionRef{}, &balance.Terms{})
}

// send sends an attempt to a node.
func (r *router) send(slot balance.Slot, attempt, node int) {
	sim, req := r.sim, r.requests[slot]
	r.inFlight[node]++
	sim.nodes[node].inTransit++
	sim.nodes[node].sent++
	sim.hashEvent(uint64(r.number), uint64(node), uint64(sim.now))
	if r.meter != nil {
		r.meter.AttemptStarted(sim.now, node)
	}
	sim.after(sim.networkDelay(), func() { sim.arrive(node, origin{request: int(slot), attempt: attempt, router: r, work: req.work}) })
}

// attemptEnded handles the outcome of an attempt.
func (r *router) attemptEnded(node int, from origin, outcome balance.Outcome) {
	sim, slot := r.sim, balance.Slot(from.request)
	req := r.requests[slot]
	r.inFlight[node]--
	if r.meter != nil {
		r.meter.AttemptEnded(sim.now, node, outcome != balance.Succeeded)
	}
	if req == nil {
		return
	}
	duration := sim.now - req.arrivedAt
	firstSuccess := outcome == balance.Succeeded && !req.finished
	if firstSuccess {
		req.finished = true
		sim.result.Done++
		if duration > sim.class.TargetLatency {
			sim.result.Late++
		}
	}
	if r.balancer == nil {
		if outcome != balance.Succeeded {
			sim.result.Failed++
		}
		delete(r.requests, slot)
		return
	}
	info := balance.AnswerInfo{Role: balance.Replica}
	if sim.nodes[node].primary {
		info.Role = balance.Primary
	}
	r.balancer.AttemptEnded(sim.now, slot, from.attempt, outcome, req.finished, duration, info, balance.Report{InFlight: -1})
}

// report sends a load report to the planner, which answers by a digest; without a planner loads are exchanged with other routers.
func (r *router) report() {
	sim := r.sim
	sim.after(int64(sim.Period), r.report)
	loads := r.meter.Read(sim.now, func(n int, p *loadsum.NodeLoad) {
		p.NodeID, p.Group, p.Weight = markOf(n), int64(sim.nodes[n].group), 1
	})
	if sim.NoPlanner != nil && sim.NoPlanner(r.number, sim.elapsed()) {
		r.exchangeLoads(loads)
		return
	}
	r.sample = nil
	sim.controlBytes += messageBytes(loads, nil)
	sim.after(sim.networkDelay(), func() {
		sim.aggregator.AddReport(sim.now, uint64(r.number+1), loads)
		digest := sim.aggregator.Digest(sim.now, 0)
		sim.controlBytes += messageBytes(nil, digest)
		sim.after(sim.networkDelay(), func() { r.applyDigest("p0", digest) })
	})
}

// applyDigest passes a digest of loads on to the balance module.
func (r *router) applyDigest(from string, digest []loadsum.Summary) {
	sim := r.sim
	for i := range digest {
		summary := &digest[i]
		node := sim.nodeOfMark(summary.NodeID)
		inFlight, age := r.views.Update(sim.now, from, summary)
		r.balancer.SetTotalLoad(sim.now, node, inFlight, float64(summary.LogStrength), age)
		if selfReport := summary.SelfReport; selfReport != nil {
			report := balance.Report{Present: true, Position: selfReport.Position, Role: balance.Replica, InFlight: -1,
				Utilization: float64(selfReport.Utilization)}
			if selfReport.Primary {
				report.Role = balance.Primary
			}
			r.balancer.ReportFromRouter(sim.now, node, report)
		}
	}
}

// exchangeLoads sends the loads to some other routers, and uses those that others sent, as package forward does.
func (r *router) exchangeLoads(loads []loadsum.NodeLoad) {
	sim := r.sim
	if r.sample == nil {
		r.sample = loadsum.NewSample(int64(sim.Period))
	}
	r.sample.AddReport(sim.now, uint64(r.number+1), loads)
	for range loadsum.SampleFanout {
		other := sim.routers[sim.random.IntN(len(sim.routers))]
		sim.controlBytes += messageBytes(loads, nil)
		sim.after(sim.networkDelay(), func() {
			if other != r && other.sample != nil {
				other.sample.AddReport(sim.now, uint64(r.number+1), loads)
			}
		})
	}
	r.applyDigest("", r.sample.Digest(sim.now, sim.Routers))
}

// Submit implements balance.Actions.
func (r *router) Submit(slot balance.Slot, node int, until int64) {
	req := r.requests[slot]
	attempt := req.attempts
	req.attempts++
	r.send(slot, attempt, node)
}

// Cancel implements balance.Actions.
func (r *router) Cancel(balance.Slot, int) {}

// GrantAttempt implements balance.Actions.
func (r *router) GrantAttempt(balance.Slot, bool) bool { return true }

// Reject implements balance.Actions.
func (r *router) Reject(slot balance.Slot, _ int64, _ balance.Reason) {
	r.requests[slot].finished = true
	r.sim.result.Rejected++
}

// Fail implements balance.Actions.
func (r *router) Fail(slot balance.Slot, _ balance.Reason) {
	r.requests[slot].finished = true
	r.sim.result.Failed++
}

// SetTimer implements balance.Actions.
func (r *router) SetTimer(after int64) {
	r.timer++
	current := r.timer
	r.sim.after(after, func() {
		if r.timer == current {
			r.balancer.OnTimer(r.sim.now)
		}
	})
}

// Probe implements balance.Actions.
func (r *router) Probe(node int) {
	sim := r.sim
	sim.probes++
	sim.after(sim.networkDelay(), func() {
		report := sim.report(node)
		sim.after(sim.networkDelay(), func() {
			if r.meter != nil {
				r.meter.SelfReported(sim.now, node, loadsum.SelfReport{Position: report.Position,
					Primary: report.Role == balance.Primary, Utilization: float32(report.Utilization)})
			}
			r.balancer.ProbeEnded(sim.now, node, true, report)
		})
	})
}

// CloseIdle implements balance.Actions.
func (r *router) CloseIdle(int) {}

// WatchList implements balance.Actions.
func (r *router) WatchList() {}

// FetchList implements balance.Actions.
func (r *router) FetchList() {}

// SendMessage implements balance.Actions.
func (r *router) SendMessage(to int, message []byte) {
	sim := r.sim
	copied := append([]byte(nil), message...)
	for _, other := range sim.routers {
		if other != r && (to < 0 || other.number == to) {
			sim.controlBytes += float64(len(copied))
			sim.messages++
			if sim.random.Float64() < sim.MessageLoss {
				continue
			}
			sim.after(sim.networkDelay(), func() { other.balancer.ReceiveMessage(sim.now, r.number, copied) })
		}
	}
}

// Log implements balance.Actions.
func (r *router) Log(int, string) {}

// FreeSlot implements balance.Actions.
func (r *router) FreeSlot(slot balance.Slot) { delete(r.requests, slot) }

// hashEvent adds an event to the hash.
func (sim *Simulation) hashEvent(ns ...uint64) {
	var b [8]byte
	for _, n := range ns {
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		sim.hash.Write(b[:])
	}
}

// DefaultConfig is a configuration by size and load: five routers for each node of four cores, and a group for every twelve nodes.
func DefaultConfig(routers int, load float64, policy Policy, seed uint64) Config {
	nodes := max(4, routers/5)
	groups := max(1, nodes/12)
	return Config{
		Seed:             seed,
		Routers:          routers,
		ReplicasPerGroup: nodes / groups,
		Groups:           groups,
		Cores:            4,
		MeanWork:         8 * time.Millisecond,
		Load:             load,
		TrafficSpread:    0.8,
		Duration:         4 * time.Second,
		WarmUp:           2 * time.Second,
		Period:           100 * time.Millisecond,
		MeanDelay:        500 * time.Microsecond,
		Policy:           policy,
	}
}
