package balance

import "math"

// This file chooses a replica for a read.

// chooseReplica returns the best replica for a read among those with fresh enough data and unused capacity, or -1. It
// also reports whether any replica had fresh enough data.
func (r *Router) chooseReplica(req *request, now int64) (best int32, anyFresh bool) {
	class := &r.classes[req.class]
	best = -1
	bestScore, ties, primary := 0.0, int64(0), r.provenPrimary(req.group, now)
	for _, member := range r.groups[req.group].members {
		node := &r.nodes[member]
		if r.isUnprobed(node) {
			r.probe(member, now)
		} else if member != primary && class.Consistency != Any {
			r.reprobe(member, r.positionRefresh, now)
		}
		if member == primary || node.role == Primary && node.roleAt > now-r.ejectionTime || !r.acceptsWork(node) || !r.usable(node, now) ||
			req.triedAt(member) || !r.isFreshEnough(node, req, now) {
			continue
		}
		anyFresh = true
		lagging := class.Consistency == Any && node.lag > r.laggingThreshold && class.meanTime > float64(r.laggingThreshold) &&
			node.utilization < maxLaggingUtilization
		lagging = lagging && (r.hasPeerReports(now) || !r.lowTraffic() && node.limit.latencyRatio < targetLatencyRatio)
		if !(lagging && r.lowTraffic() && r.withinColdBudget(node, req, now)) && !r.hasCapacity(node, req, 1, now) {
			continue
		}
		score := r.score(node, now)
		if r.lowTraffic() && node.answerCount > 0 && now-node.heardAt < r.idleTimeout { // a connection is open
			score *= 2
		}
		// Nodes of other zones are avoided, as links between zones may be slow or lose requests. The cost is that where
		// this zone has few nodes, they get more load than others.
		if !r.inOwnZone(node) {
			score *= remoteZoneWeight
		}
		// Lagging replicas are preferred for long reads, the one furthest behind first. They can serve no other
		// reads, and a long read that stops replication does the least harm there; elsewhere it would make one
		// replica after the other lag. A lagging replica may be slow as well, hence the conditions on its utilization
		// and latency above.
		if lagging {
			score += float64(node.lag)
		}
		if score > bestScore {
			bestScore, best, ties = score, member, 1
		} else if score == bestScore {
			if ties++; r.random.intN(ties) == 0 {
				best = member
			}
		}
	}
	return best, anyFresh
}

// score returns a node's score for the choice of a replica: its weight / (1 + attempts). Low-traffic routers all have
// the same old reports and would all send to the least loaded node until the next report. They choose at random
// instead, with probabilities in proportion to the weight, and assume attempts that are in no report yet.
func (r *Router) score(node *nodeRecord, now int64) float64 {
	weight, load := node.effectiveWeight(now, r.loadLifetime)*r.warmShare(node, now), r.estimatedLoad(node, now)
	if !r.lowTraffic() {
		return weight / (1 + load)
	}
	return weight / (unreportedAttempts + load) / -math.Log(1-r.draw())
}

// draw returns a random number between 0 and 1, both excluded.
func (r *Router) draw() float64 { return float64(1+r.random.intN(1<<20)) / (2 + 1<<20) }

// lowTraffic reports whether the router has so few attempts at a node on average that they say little about its load.
func (r *Router) lowTraffic() bool {
	return r.warmNodeWork < lowTrafficAttempts*float64(r.overloadWindow)
}

// inOwnZone reports whether a node is in the router's zone. If that is not known, all nodes are.
func (r *Router) inOwnZone(node *nodeRecord) bool { return r.zone < 0 || node.zone == r.zone }

// isFreshEnough reports whether a replica has the data that a read must see. Where nodes check freshness themselves,
// it is enough that the replica probably has it, assuming that its lag has not changed: reports may arrive nearly as
// old as the bound. A wrong assumption costs an attempt that is turned away; the lag is then no longer assumed until the
// next report of a position, or for the lifetime of a load report if the rejection showed no position.
func (r *Router) isFreshEnough(node *nodeRecord, req *request, now int64) bool {
	minPosition := req.minPosition
	switch class := &r.classes[req.class]; {
	case class.Consistency == Bounded:
		minPosition = r.serverTime(now) - class.MaxStaleness
	case class.Consistency == Any || minPosition == 0:
		return true
	}
	lagTrusted := node.positionAt > node.misdirectedAt || node.positionAt < node.misdirectedAt && now-node.misdirectedAt > r.loadLifetime
	return node.position >= minPosition || r.nodesCheckFreshness && lagTrusted && r.serverTime(now)-node.lag >= minPosition
}

// estimatedLoad returns how many attempts a node is assumed to have: those of this router or, at low-traffic routers,
// its known load if that is higher. If a node's reports are too low, its latency shows that.
func (r *Router) estimatedLoad(node *nodeRecord, now int64) float64 {
	load := node.inFlight + node.orphans
	if r.lowTraffic() {
		load = max(load, node.knownLoad(now, r.loadLifetime))
	}
	return load
}

// hasCapacity reports whether a node can take one more attempt within the given share of its concurrency limit.
// Low-traffic routers have too few attempts to learn the limit of a node and use one learned from all nodes. Hedged
// attempts only get lowPriorityShare of the limit. Requests whose client waits for less than the target latency get
// less, or else the retries of impatient clients would crowd out others. At low-traffic routers the limit is
// randomized, up to twice as high: otherwise all of them would stop and resume together with each report. A limit
// below one attempt admits a request with that probability.
func (r *Router) hasCapacity(node *nodeRecord, req *request, limitShare float64, now int64) bool {
	class, limit := &r.classes[req.class], node.limit.size
	if r.lowTraffic() {
		limit = r.sharedLimit.size
	}
	if limit *= limitShare; req.inFlight > 0 {
		limit *= lowPriorityShare
	} else {
		limit *= min(1, float64(req.deadline-now)/float64(class.TargetLatency))
	}
	if class.Consistency < Fresh { // the class with the highest value per work gets all, others at least half
		limit *= lowPriorityShare + (1-lowPriorityShare)*min(1, class.Value/class.meanTime/r.maxValueRate)
	}
	maxLoad := limit
	if r.lowTraffic() {
		maxLoad *= 2 * math.Sqrt(1-req.randomDraw)
	}
	return min(req.randomDraw, 1-fastAverageWeight) < limit && r.estimatedLoad(node, now) < maxLoad && r.withinColdBudget(node, req, now)
}

// knownLoad returns the attempts that a node had by the newest report or sum of all routers' loads, which loses
// weight with its age.
func (n *nodeRecord) knownLoad(now, lifetime int64) float64 {
	load, knownAt := n.reportedLoad, n.reportedAt
	if n.totalLoadAt > knownAt {
		load, knownAt = n.totalLoad, n.totalLoadAt
	}
	return load * max(0, 1-float64(now-knownAt)/float64(lifetime))
}

// effectiveWeight returns a node's weight, corrected by the strength that the fleet has found it to have. The
// correction fades if it is not confirmed.
func (n *nodeRecord) effectiveWeight(now int64, lifetime int64) float64 {
	if n.logStrength == 0 {
		return n.weight
	}
	return n.weight * math.Exp(n.logStrength*max(0, 1-float64(now-n.totalLoadAt)/float64(8*lifetime)))
}
