package balance

// This file learns how many attempts a node can serve in good time.

// learnLimit updates a node's concurrency limit with the latency of an attempt, as a part of its target latency, and
// the load of the node at that time. Where latency grows with load, the limit follows the load at which an attempt
// takes half its target latency. This prevents overload, also of slow nodes and by the traffic of other routers. Its cost
// is that the limit falls without need where all attempts become slower for another reason.
func (r *Router) learnLimit(node *nodeRecord, load, latencyRatio float64) {
	if node.limit.update(load, latencyRatio, 1); r.lowTraffic() {
		r.sharedLimit.update(load, latencyRatio, fastAverageWeight) // hasCapacity admits at random below one attempt
	}
}

// update adjusts the limit to the latency ratio of an attempt at the given load. The limit does not fall below minSize.
func (l *concurrencyLimit) update(load, latencyRatio, minSize float64) {
	l.latencyRatio += fastAverageWeight * (latencyRatio - l.latencyRatio)
	switch {
	case l.latencyRatio > targetLatencyRatio:
		l.ramping = false
		l.size = max(minSize, l.size+fastAverageWeight*min(0, load*targetLatencyRatio/l.latencyRatio-l.size))
	case load < l.size/2:
		// a load far below the limit says nothing about it
	case l.ramping:
		l.size = min(maxLimit, l.size+rampStep)
	default:
		l.size = min(maxLimit, l.size*limitGrowth)
	}
}
