package balance

// This file records what nodes show of themselves in reports, probes and answers.

// probe asks a node for its report, unless a probe is in flight.
func (r *Router) probe(nodeIndex int32, now int64) {
	if node := &r.nodes[nodeIndex]; r.probesEnabled && !node.probeInFlight {
		node.probeInFlight, node.probedAt = true, now
		r.actions.Probe(int(nodeIndex))
	}
}

// isUnprobed reports whether a node that accepts work was never probed, and no other router has sent a report of it.
func (r *Router) isUnprobed(node *nodeRecord) bool {
	return node.probedAt == 0 && node.reportedAt == 0 && r.acceptsWork(node)
}

// reprobe probes a node without a report for at least minAge, on behalf of a request that would use the report.
// These probes are paid for from the probe budget, to which requests add, so that their number does not grow with the
// number of routers. Where requests are few, reports get old between them.
func (r *Router) reprobe(nodeIndex int32, minAge, now int64) {
	node := &r.nodes[nodeIndex]
	if r.hasPeerReports(now) {
		minAge = max(minAge, r.loadLifetime)
	}
	due := now-node.reportedAt >= minAge && now-node.probedAt >= minAge
	if due && r.probeBudget >= 1 && now >= node.ejectedUntil && r.acceptsWork(node) {
		r.probeBudget--
		r.probe(nodeIndex, now)
	}
}

// probeMembers probes up to maxProbes nodes that could serve the request, from a random one on and as far as the
// probe budget allows, if they had no report for minAge. It reports whether a probe of any member of the group is in
// flight.
func (r *Router) probeMembers(req *request, maxProbes int, minAge, now int64) (inFlight bool) {
	members, primary := r.groups[req.group].members, r.primary(req.group, now)
	first := int(r.random.intN(int64(len(members))))
	for i := range members {
		member := members[(first+i)%len(members)]
		if maxProbes > 0 && (member != primary) == (r.classes[req.class].Consistency < Fresh) {
			maxProbes--
			r.reprobe(member, minAge, now)
		}
		inFlight = inFlight || r.nodes[member].probeInFlight
	}
	return inFlight
}

// ProbeEnded records the result of a probe.
func (r *Router) ProbeEnded(now int64, nodeIndex int, ok bool, report Report) {
	node := &r.nodes[nodeIndex]
	// A failed probe is no evidence that attempts would fail: there may have been too many probes at once, or only
	// probes fail there. Attempts show whether a node serves.
	if node.probeInFlight = false; ok {
		r.recordReport(node, now, report)
		if node.probeAnsweredAt = now; node.unreachable {
			node.markAlive(now)
		}
		r.resumeParked(now)
	}
}

// NodeIsReplica records that a node has shown that it is a replica.
func (r *Router) NodeIsReplica(now int64, nodeIndex int) {
	r.recordEvidence(&r.nodes[nodeIndex], now, Replica, 0, now)
}

// recordEvidence records a node's role, as of the given time, and its position. An old report does not override a newer
// answer.
func (r *Router) recordEvidence(node *nodeRecord, now int64, role Role, position, roleAt int64) {
	if role != Unknown && roleAt >= node.roleAt && r.provesRole(node, role, position) {
		node.role, node.roleAt = role, roleAt
		if role == Primary {
			node.ejectedByOthersUntil = 0
		}
	}
	if position > 0 && position <= r.serverTime(now) { // a position in the future is wrong
		node.position = max(node.position, position)
		node.positionAt, node.lag = now, r.serverTime(now)-position
	}
}

// recordReport records a node's report. A primary's position is the time of its report, so it shows how old reports
// are when they arrive. A replica's report is assumed to be that old as well, and its lag to be less by that.
func (r *Router) recordReport(node *nodeRecord, now int64, report Report) {
	if !report.Present {
		return
	}
	r.learnClock(node, report.Position, 0, now)
	r.recordEvidence(node, now, report.Role, report.Position, report.Position-r.clock.stalenessOffset)
	r.recordNodeLoad(node, report.InFlight, now)
	node.utilization, node.reportedLoad = report.Utilization, report.InFlight
	if report.InFlight < 0 { // the mean length of a queue with this utilization
		node.reportedLoad = min(initialLimit, report.Utilization/max(1-report.Utilization, 1/initialLimit))
	}
	node.reportedAt = now
	if report.Role == Primary && report.Position > 0 {
		r.reportAge += int64(fastAverageWeight * float64(r.serverTime(now)-report.Position-r.reportAge))
	}
	node.lag -= min(node.lag, r.reportAge)
}

// markAlive records an answer of the node. If the node was unreachable, it may have been restarted and be cold; minAge
// assumes so until the list would have announced a restart.
func (n *nodeRecord) markAlive(now int64) {
	n.heardAt = now
	if n.unreachable {
		n.unreachable, n.returnedAt = false, now
	}
}

// ReportFromRouter records a node's report that another router received.
func (r *Router) ReportFromRouter(now int64, nodeIndex int, report Report) {
	if node := &r.nodes[nodeIndex]; node.group >= 0 && report.Position > node.position {
		r.recordReport(node, now, report)
	}
}

// SetTotalLoad records the attempts that all routers together have at a node, as they were the given age ago, and the
// logarithm of the node's strength beyond its weight, as the process that sums the loads has estimated it.
func (r *Router) SetTotalLoad(now int64, nodeIndex int, inFlight, logStrength float64, age int64) {
	if node := &r.nodes[nodeIndex]; node.group >= 0 && now-age >= node.totalLoadAt {
		node.totalLoad, node.logStrength, node.totalLoadAt, r.totalLoadAt = inFlight, logStrength, now-age, now
	}
}

// NodeHealth reports whether this router has ejected a node for its failures, and whether an attempt there succeeded
// within the given time span.
func (r *Router) NodeHealth(now int64, nodeIndex int, span int64) (failed, answered bool) {
	node := &r.nodes[nodeIndex]
	return now < node.ejectedUntil && node.failures >= ejectAfterFailures, node.succeededAt > 0 && now-node.succeededAt < span
}
