package balance

import "math"

// This file shares load reports between routers. Where many routers have few attempts each, one of them probes all
// nodes of its zone and sends the results to the others, so that not every router has to probe.

// stopReporting makes this router leave reporting to others, until it has heard of none for a random time.
func (r *Router) stopReporting(now int64) {
	r.reporting, r.acknowledged, r.roundBackoff, r.sendReportsAt, r.nextRoundAt =
		false, false, 0, 0, now+r.loadLifetime+r.random.intN(4*r.loadLifetime)
}

// exchangeReports begins a reporting round when it is due: it probes the nodes, and later sends the results to the
// other routers. A router that hears no reports begins after a random time, and stops when a router with a lower
// number reports.
func (r *Router) exchangeReports(now int64) {
	switch {
	case !r.peerMessages || r.onlyRouter || !r.lowTraffic():
	case now >= r.nextRoundAt:
		// Until another router acknowledges, a round is only a ping to one of them, with growing pauses. Otherwise,
		// where messages are lost, every router would probe all nodes and send reports to all others.
		r.roundBackoff = min(max(2*r.roundBackoff, r.loadLifetime*3/4), 16*r.loadLifetime)
		if r.reporting, r.nextRoundAt = true, now+r.roundBackoff; !r.acknowledged {
			r.pingRouter(now)
			return
		}
		r.acknowledged, r.sendReportsAt, r.peerReportAt = false, now+2*r.sweepInterval, now
		for i := range r.nodes {
			if node := &r.nodes[i]; r.acceptsWork(node) && node.group >= 0 && r.inOwnZone(node) {
				r.probe(int32(i), now)
			}
		}
	case r.reporting && r.sendReportsAt > 0 && now >= r.sendReportsAt:
		r.sendReportsAt = 0
		r.sendReports(now)
	}
}

// reportDue reports whether a node's report should be sent: its load has changed enough to matter to other routers,
// or it was last sent too long ago. It records the report as sent.
func (r *Router) reportDue(node *nodeRecord, now int64) bool {
	if math.Abs(node.reportedLoad-node.lastSentLoad) < reportChangeThreshold && now-node.lastSentAt < r.loadLifetime/2 {
		return false
	}
	node.lastSentLoad, node.lastSentAt = node.reportedLoad, now
	return true
}

// hasPeerReports reports whether some router shares its reports: this router has received a message recently, or
// begun a round itself.
func (r *Router) hasPeerReports(now int64) bool {
	return r.peerReportAt > 0 && now-r.peerReportAt < r.loadLifetime
}

// ReceiveMessage handles a message from another router. It can only change what is known of nodes that the list has
// named.
func (r *Router) ReceiveMessage(now int64, from int, message []byte) {
	if r.answerPing(now, from, message) {
		return
	}
	if r.peerReportAt = now; r.reporting {
		r.roundBackoff, r.acknowledged, r.nextRoundAt = 0, true, min(r.nextRoundAt, r.nextRoundAt-r.roundBackoff+r.reportInterval)
	}
	if r.receiveReports(now, message) && (!r.reporting || from < r.routerIndex) {
		if r.stopReporting(now); now >= r.nextAckAt {
			r.nextAckAt = now + r.random.intN(2*r.loadLifetime)
			r.actions.SendMessage(from, appendHeader(now))
		}
	}
	r.scheduleTimer(now)
}
