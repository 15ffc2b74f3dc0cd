package loadsum

import (
	"maps"
	"math"
	"slices"
)

// Parameters of the strength estimate.
const (
	curveSeconds    = 10.0 // time constant of a group's latency curve
	strengthSeconds = 3.0  // time constant of a node's strength
	priorAttempts   = 100  // weight of the assumption that a node is as strong as listed, in attempts
	deadband        = 0.15 // log strength up to which a deviation counts as noise, which would overload a node near saturation
	maxLogStrength  = 1.4
	maxLogSample    = 1.0  // bound of a single sample, so that larger differences take effect over time
	maxFailureShare = 0.05 // of the attempts; durations of failed attempts say nothing about strength
	minRate         = 5.0  // attempts per second below which a node is not judged
)

// latencyCurve is the duration of attempts in a group as a linear function of the attempts in flight per weight,
// fitted by least squares over recent samples. The slope is the cost of queueing.
type latencyCurve struct{ count, sumX, sumXX, sumY, sumXY float64 }

// add adds a sample: the duration y at x attempts in flight per weight. weight is how much the sample counts.
func (c *latencyCurve) add(weight, x, y float64) {
	c.count, c.sumX, c.sumXX, c.sumY, c.sumXY =
		c.count+weight, c.sumX+weight*x, c.sumXX+weight*x*x, c.sumY+weight*y, c.sumXY+weight*x*y
}

// addCurve adds the samples of another curve so many times; -1 removes them.
func (c *latencyCurve) addCurve(other *latencyCurve, times float64) {
	c.count, c.sumX, c.sumXX, c.sumY, c.sumXY =
		c.count+times*other.count, c.sumX+times*other.sumX, c.sumXX+times*other.sumXX, c.sumY+times*other.sumY, c.sumXY+times*other.sumXY
}

// decay scales down the weight of all samples.
func (c *latencyCurve) decay(keep float64) {
	c.count, c.sumX, c.sumXX, c.sumY, c.sumXY = c.count*keep, c.sumX*keep, c.sumXX*keep, c.sumY*keep, c.sumXY*keep
}

// latencyAt returns the duration that the curve predicts, and at least an eighth of the mean.
func (c *latencyCurve) latencyAt(x float64) float64 {
	mean, slope := c.sumY/c.count, 0.0
	if variance := c.sumXX - c.sumX*c.sumX/c.count; variance > 1e-9*c.sumXX {
		slope = max(0, (c.sumXY-c.sumX*c.sumY/c.count)/variance)
	}
	return max(mean+slope*(x-c.sumX/c.count), mean/8)
}

// updateStrengths estimates the strength of each node from the duration of its attempts, relative to the duration at
// the other nodes of its group with as many attempts in flight per weight (by Little's law, the duration is the
// attempts in flight divided by their rate). A node whose attempts take twice as long is half as strong as its weight says,
// whatever the list or the node itself reports. The estimate uses durations and not the balance of load, which would
// feed noise back: at high load, a weight that is wrong by a twentieth does harm.
func (a *Aggregator) updateStrengths(since int64) {
	seconds := min(float64(since)/1e9, 1)
	curves := map[int64]*latencyCurve{}
	nodeIDs := slices.Sorted(maps.Keys(a.nodes))
	usable := func(total *nodeTotal) bool {
		return !total.selfReport.Primary && total.rate >= minRate && total.inFlight > 0 &&
			total.failureRate <= maxFailureShare*total.rate
	}
	for _, nodeID := range nodeIDs {
		total := a.nodes[nodeID]
		if total.samples.decay(math.Exp(-seconds / curveSeconds)); usable(total) {
			total.samples.add(seconds*total.rate, total.inFlight/total.weight, total.inFlight/total.rate)
		}
		groupCurve := curves[total.group]
		if groupCurve == nil {
			groupCurve = &latencyCurve{}
			curves[total.group] = groupCurve
		}
		groupCurve.addCurve(&total.samples, 1)
	}
	for _, nodeID := range nodeIDs {
		total := a.nodes[nodeID]
		decay := math.Exp(-seconds / strengthSeconds)
		total.logStrengthSum, total.logStrengthWeight = total.logStrengthSum*decay, total.logStrengthWeight*decay
		others := *curves[total.group] // without the node itself, as an outlier would pull the curve towards itself
		if others.addCurve(&total.samples, -1); usable(total) && others.count > priorAttempts {
			weight := total.rate * seconds
			total.logStrengthSum += weight *
				min(maxLogSample, max(-maxLogSample, math.Log(others.latencyAt(total.inFlight/total.weight)*total.rate/total.inFlight)))
			total.logStrengthWeight += weight
		}
		logStrength := total.logStrengthSum / (total.logStrengthWeight + priorAttempts)
		total.logStrength = math.Copysign(min(maxLogStrength, max(0, math.Abs(logStrength)-deadband)), logStrength)
		if total.failureRate > maxFailureShare*total.rate {
			total.logStrength = -maxLogStrength
		}
	}
}
