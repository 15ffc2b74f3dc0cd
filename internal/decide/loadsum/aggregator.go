package loadsum

import (
	"maps"
	"slices"
)

// Summary is the load that all routers together put on a node, as far as a planner knows. It is encoded as an array,
// so the order of its fields is the wire format.
type Summary struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack    struct{}    `msgpack:",as_array"`
	NodeID      uint32      `json:"Mark"`
	InFlight    float32     `json:"Held"` // attempts in flight, forecast for when routers act on it
	Rate        float32     // attempts per second
	Trend       float32     // change of the attempts in flight, per second
	LogStrength float32     // logarithm of the node's estimated strength relative to its weight
	Routers     uint16      // that reported load for the node
	Age         uint32      // mean age of the load, in ms
	SelfReport  *SelfReport `json:"Shown"` // the newest that any router received
}

// Aggregator adds up the load reports of routers.
type Aggregator struct {
	period   int64 // ns between two reports of a router
	maxScale float64
	reports  map[uint64]*routerReport // by run ID
	nodes    map[uint32]*nodeTotal    // by node ID
	digestAt int64                    // when digest was made; 0: never
	digest   []Summary
}

// routerReport is the last report of one router. Nodes that it does not contain have none of its attempts.
type routerReport struct {
	receivedAt, span int64 // ns; the report covers the span before its receipt
	loads            []NodeLoad
}

// nodeTotal is the load of all routers on one node.
type nodeTotal struct {
	inFlight, previousInFlight float64
	meanInFlight               float64 // moving average; -1: not set yet
	forecast                   float64 // attempts in flight when routers act on the digest
	trend                      float64
	lastSent                   float64 // forecast in the last digest that contained the node
	lastSentAt                 int64
	rate, age                  float64 // attempts per second; mean age in ns
	failureRate                float64 // per second
	routers                    int
	group                      int64
	weight                     float64
	samples                    latencyCurve
	logStrengthSum             float64 // weighted by attempts
	logStrengthWeight          float64
	logStrength                float64
	selfReport                 SelfReport
	selfReportAt               int64
	lastReported               int64 // when a router last reported load for it
}

// Times in periods.
const (
	freshPeriods          = 2   // age up to which a report counts in full
	expiryPeriods         = 12  // age from which it counts for nothing
	retentionPeriods      = 240 // for which a node that nobody reports is remembered
	digestIntervalPeriods = 0.5
)

// Bounds of the factor by which load is scaled up for routers that are present but were not heard. A planner hears
// every router, or is cut off from some of them; a router without planners hears only a sample.
const (
	maxPlannerScale = 4.0
	maxSampleScale  = 64.0
)

// SampleFanout is the number of routers to which a router sends its own load once a period while no planner receives
// it. Each router then receives as many reports on average, which makes a sample of about fifteen over the periods
// for which a report counts.
const SampleFanout = 2

// WithoutPlanners reports whether a router has to rely on reports of other routers: no planner's digest has arrived for
// a lease term. Times are in ns.
func WithoutPlanners(now, lastDigest, term int64) bool { return now-lastDigest > term }

// NewAggregator returns a planner's aggregator, for routers that report once a period.
func NewAggregator(period int64) *Aggregator {
	return &Aggregator{
		period: period, maxScale: maxPlannerScale,
		reports: map[uint64]*routerReport{}, nodes: map[uint32]*nodeTotal{},
	}
}

// NewSample returns a router's aggregator for a sample of other routers, for use while no planner adds up the load of
// all.
func NewSample(period int64) *Aggregator {
	a := NewAggregator(period)
	a.maxScale = maxSampleScale
	return a
}

// AddReport takes in the report of a router. Run IDs tell routers apart.
func (a *Aggregator) AddReport(now int64, runID uint64, loads []NodeLoad) {
	report := a.reports[runID]
	if report == nil {
		if len(a.reports) >= MaxRouters {
			return
		}
		report = &routerReport{receivedAt: now - a.period}
		a.reports[runID] = report
	}
	report.span = max(1, now-report.receivedAt)
	report.receivedAt, report.loads = now, loads[:min(len(loads), MaxNodeLoads)]
	for _, load := range report.loads {
		total := a.nodes[load.NodeID]
		if total == nil {
			if len(a.nodes) >= MaxNodes {
				continue
			}
			total = &nodeTotal{meanInFlight: -1}
			a.nodes[load.NodeID] = total
		}
		total.lastReported, total.group, total.weight = now, load.Group, max(float64(load.Weight), 1e-3)
		// The highest position is the newest. If a node's clock was ahead, a lower position replaces it after some
		// time.
		if load.SelfReport != nil &&
			(load.SelfReport.Position > total.selfReport.Position ||
				now-total.selfReportAt > freshPeriods*a.period) {
			total.selfReport, total.selfReportAt = *load.SelfReport, now
		}
	}
}

// RemoveRouter forgets the report of a router that has left: its last attempt has ended.
func (a *Aggregator) RemoveRouter(runID uint64) { delete(a.reports, runID) }

// weight returns how much a report of the given age counts: 1 while fresh, then linearly less, down to 0.
func (a *Aggregator) weight(age int64) float64 {
	periods := float64(age) / float64(a.period)
	return min(1, max(0, (expiryPeriods-periods)/(expiryPeriods-freshPeriods)))
}

// RouterCount returns the number of routers with a fresh report.
func (a *Aggregator) RouterCount(now int64) (n int) {
	for _, report := range a.reports {
		if now-report.receivedAt <= freshPeriods*a.period {
			n++
		}
	}
	return n
}

// Digest returns the load of all routers by node, made anew twice a period at most. senders is the number of routers
// that may be sending, or 0 if not known. Load is scaled up for routers that were not heard: a planner that is cut
// off from half of the routers sees half of the load.
func (a *Aggregator) Digest(now int64, senders int) []Summary {
	if a.digestAt != 0 && float64(now-a.digestAt) < digestIntervalPeriods*float64(a.period) {
		return a.digest
	}
	since := now - a.digestAt
	if a.digestAt == 0 {
		since = a.period
	}
	a.digestAt = now
	for _, total := range a.nodes {
		total.rate, total.failureRate, total.age, total.routers = 0, 0, 0, 0
		total.previousInFlight, total.inFlight = total.inFlight, 0
	}
	heardWeight := 0.0
	for _, runID := range slices.Sorted(maps.Keys(a.reports)) { // a fixed order, as sums of floats depend on it
		report := a.reports[runID]
		age := now - report.receivedAt
		weight := a.weight(age)
		if weight == 0 {
			delete(a.reports, runID)
			continue
		}
		heardWeight += weight
		for _, load := range report.loads {
			if total := a.nodes[load.NodeID]; total != nil {
				inFlight := weight * float64(load.InFlight)
				total.inFlight += inFlight
				total.rate += weight * float64(load.Attempts) * 1e9 / float64(report.span)
				total.failureRate += weight * float64(load.Failed) * 1e9 / float64(report.span)
				total.age += inFlight * float64(age+report.span/2)
				total.routers++
			}
		}
	}
	scale := 1.0
	if heardWeight > 0 {
		scale = min(a.maxScale, max(1, float64(senders)/heardWeight))
	}
	for nodeID, total := range a.nodes {
		if total.inFlight > 0 {
			total.age /= total.inFlight
		}
		total.inFlight, total.rate = total.inFlight*scale, total.rate*scale
		total.trend = (total.inFlight - total.previousInFlight) / float64(since) * 1e9
		if now-total.lastReported > retentionPeriods*a.period {
			delete(a.nodes, nodeID)
		}
	}
	a.updateStrengths(since)
	a.updateForecasts(since)
	a.digest = a.selectDigest(now)
	return a.digest
}
