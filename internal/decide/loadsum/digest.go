package loadsum

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the forecast.
const (
	relaxationFactor = 2.0 // mean durations of an attempt in which a deviation from the mean load decays by a factor e
	meanSeconds      = 1.0 // time constant of the mean load
)

// updateForecasts estimates the attempts in flight at each node for the time when routers act on a digest. A
// deviation from the recent mean decays with the age of the data, relative to the duration of the node's attempts.
// Data older than the attempts that it counts shows only the usual load of the node; acting on the deviation would make
// all routers avoid, and then overload, the same nodes at the same time.
func (a *Aggregator) updateForecasts(since int64) {
	gain := -math.Expm1(-float64(since) / 1e9 / meanSeconds)
	for _, total := range a.nodes {
		if total.meanInFlight < 0 {
			total.meanInFlight = total.inFlight
		}
		total.meanInFlight += gain * (total.inFlight - total.meanInFlight)
		if total.forecast = total.inFlight; total.rate > 0 {
			duration := total.inFlight / total.rate * 1e9
			total.forecast = total.meanInFlight +
				(total.inFlight-total.meanInFlight)*math.Exp(-(total.age+float64(a.period)/2)/(relaxationFactor*duration+1))
		}
	}
}

// selectDigest returns the summaries of a digest. If there are too many nodes, it prefers those whose forecast has
// changed most since they were last sent, and those not sent for long, so that every node is sent in turn.
func (a *Aggregator) selectDigest(now int64) []Summary {
	type candidate struct {
		nodeID  uint32
		urgency float64
	}
	candidates := make([]candidate, 0, len(a.nodes))
	for nodeID, total := range a.nodes {
		candidates = append(candidates, candidate{
			nodeID,
			math.Abs(total.forecast-total.lastSent) + float64(now-total.lastSentAt)/float64(8*a.period),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.nodeID, b.nodeID))
	})
	candidates = candidates[:min(len(candidates), MaxSummaries)]
	digest := make([]Summary, 0, len(candidates))
	for _, chosen := range candidates {
		total := a.nodes[chosen.nodeID]
		summary := Summary{
			NodeID: chosen.nodeID, InFlight: float32(total.forecast),
			Rate: float32(total.rate), Trend: float32(total.trend),
			LogStrength: float32(total.logStrength),
			Routers:     uint16(min(total.routers, math.MaxUint16)), Age: uint32(total.age / 1e6),
		}
		if total.selfReport.Position > 0 && now-total.selfReportAt < expiryPeriods*a.period {
			selfReport := total.selfReport
			summary.SelfReport = &selfReport
		}
		total.lastSent, total.lastSentAt = total.forecast, now
		digest = append(digest, summary)
	}
	slices.SortFunc(digest, func(a, b Summary) int { return cmp.Compare(a.NodeID, b.NodeID) })
	return digest
}
