package balance

import "slices"

// This file handles the attempts of a request: whether another one may follow, and what is learned from how one ends.

// mayRetry reports whether the request may have another attempt at some node of its group.
func (r *Router) mayRetry(req *request, now int64) bool {
	if req.finished || req.attemptsUsed() >= req.maxAttempts || req.inFlight > 0 && (!r.hedging || req.terms.NoHedging) ||
		now >= req.deadline {
		return false
	}
	class, first := &r.classes[req.class], req.firstPossiblyRun(-1)
	return first == nil || class.RetrySafety == Idempotent || class.RetrySafety == Deduplicated && now <= first.sentAt+class.DedupWindow
}

// inDedupScope reports whether a node of the request's group discards repeats of the request's earlier attempts, and is in
// the zone that the request's terms bind it to.
func (r *Router) inDedupScope(req *request, node int32) bool {
	first := req.firstPossiblyRun(-1)
	return first == nil || r.sameDedupScope(req, first.node, node)
}

// sameDedupScope reports whether a node discards repeats of an attempt of the request at another node, and is in the zone
// that the request's terms bind it to.
func (r *Router) sameDedupScope(req *request, first, node int32) bool {
	class := &r.classes[req.class]
	boundToZone := req.terms.SameZone || class.RetrySafety == Deduplicated && class.DedupScope == DedupInZone
	return !boundToZone || r.nodes[first].zone == r.nodes[node].zone
}

// send sends the request's next attempt to a node, or gives the request up if that is not granted.
func (r *Router) send(req *request, nodeIndex int32, now int64) {
	node, class := &r.nodes[nodeIndex], &r.classes[req.class]
	if !r.inDedupScope(req, nodeIndex) ||
		req.attemptsUsed() > 0 && req.terms.NeedsGrant && !r.actions.GrantAttempt(req.slot, req.inFlight > 0) {
		r.giveUp(req, now, 0, NotGranted)
		return
	}
	r.recordTimerDelay(now) // a stall that has just ended is over for this attempt
	if node.inFlight == 0 {
		node.heardAt = now
	}
	attempt := attemptRecord{node: nodeIndex, inFlight: true, answersBefore: node.answerCount, ownInFlight: node.inFlight + node.orphans,
		loadAtSend: r.estimatedLoad(node, now), atIdleNode: r.isIdle(node, now), sentAt: now, stalledBefore: r.stalledFor,
		onEnd: (*Router).afterAttempt}
	req.attempts = append(req.attempts, attempt)
	req.inFlight++
	node.inFlight++
	r.decayWork(node, now)
	node.recentWork += class.meanTime
	if class.Consistency == Write {
		r.sessions.writeSent(req.session)
	}
	if r.warmShare(node, now) < 1 {
		node.coldWork.add(now, r.overloadWindow, class.meanTime)
	}
	deadline := req.deadline
	if req.terms.AttemptTimeout > 0 {
		deadline = min(deadline, now+req.terms.AttemptTimeout)
	} else if req.terms.AttemptTimeShare > 0 {
		deadline = min(deadline, now+(deadline-now)*req.terms.AttemptTimeShare/ShareScale)
	}
	if class.retryAfter > 0 {
		deadline = min(deadline, req.targetAt)
	}
	r.actions.Submit(req.slot, int(nodeIndex), deadline)
}

// AttemptEnded records how an attempt ended and retries the request if that is allowed. If answered, the client has
// been sent its answer. Took is the time that the attempt took, in ns.
func (r *Router) AttemptEnded(now int64, slot Slot, attemptIndex int, outcome Outcome, answered bool, took int64, info AnswerInfo,
	report Report) {
	req := &r.requests[slot]
	if !req.live || attemptIndex < 0 || attemptIndex >= len(req.attempts) || !req.attempts[attemptIndex].inFlight {
		return
	}
	attempt := &req.attempts[attemptIndex]
	node, class := &r.nodes[attempt.node], &r.classes[req.class]
	r.recordTimerDelay(now)
	attempt.inFlight, attempt.outcome = false, outcome
	req.countNotSent(outcome)
	if req.inFlight--; !attempt.lost {
		node.inFlight--
	}
	if outcome <= Full || outcome == Failed {
		node.markAlive(now)
	}
	// Work that was turned away does not show what nodes can do.
	if outcome > Succeeded && outcome <= NotSent && r.warmShare(node, now) >= 1 {
		node.recentWork = max(0, node.recentWork-class.meanTime)
	}
	switch outcome {
	case Succeeded:
		node.failures, node.ejectedUntil, node.succeededAt = 0, 0, now
		node.orphans -= node.orphans / (1 + node.inFlight)
		node.answerCount++
		if r.ranDuring(attempt, now) {
			class.learnTime(float64(took), attempt.atIdleNode)
			if !attempt.late {
				r.learnLimit(node, attempt.loadAtSend+1, float64(took)/float64(class.TargetLatency))
			}
		}
	case Full:
		// A low-traffic router uses a limit that all nodes share, about which one full node says nothing.
		if r.lowTraffic() {
			node.reportedLoad, node.reportedAt = maxLimit, now
		} else {
			node.limit.size = max(1, node.limit.size+fastAverageWeight*(attempt.loadAtSend-node.limit.size))
		}
	case Unreachable, ConnectionLost, Failed:
		if outcome != Failed {
			node.markLost(now)
		}
		// A single failure is no outage, as links break now and then; several in a row are. Links that break while
		// answers arrive over others don't count, or else many broken links would eject a node that serves.
		if outcome == Failed || node.failures < ejectAfterFailures-1 || now-node.succeededAt >= r.ejectionTime/4 {
			r.recordFailure(node, now, 1)
		}
		node.unreachable = node.unreachable || outcome != Failed && node.failures >= ejectAfterFailures
	case TimedOut, Canceled:
		if !attempt.lost {
			node.orphans++
		}
		if !attempt.late && outcome == TimedOut && r.ranDuring(attempt, now) { // the timeout was short: the answer would have taken longer
			r.learnLimit(node, attempt.loadAtSend+1, min(lateLatencyRatio, 2*float64(took)/float64(class.TargetLatency)))
		}
		if node.heardAt <= attempt.sentAt {
			node.markLost(now)
		}
		// checkOverdue does not see the silence of a node if attempts end before the target latency.
		silent := !attempt.late && node.heardAt <= attempt.sentAt && now >= node.ejectedUntil && r.ranDuring(attempt, now)
		if silent && req.terms.AttemptTimeout+req.terms.AttemptTimeShare > 0 {
			r.recordFailure(node, now, 1)
		} else if silent && now >= req.targetAt && class.retryAfter > 0 {
			r.recordFailure(node, now, ejectAfterFailures)
		}
	}
	r.learnClockFromAnswer(node, req, attempt, outcome, info, now)
	roleAt := r.roleTime(req, attempt, outcome, info, now)
	if class.Consistency == Write {
		r.recordSessionWrite(req, attempt.sentAt, outcome, info.Position, now)
		info.Position = 0 // commit positions are rounded up, so they are no lower bounds
	} else if outcome == Misdirected {
		node.misdirectedAt = now
	} else if info.Role == Primary {
		r.sessions.recordProof(attempt.sentAt, info.Position)
	}
	r.recordEvidence(node, now, info.Role, info.Position, roleAt)
	r.recordReport(node, now, report)
	if req.finished = req.finished || answered; !req.finished {
		attempt.onEnd(r, req, outcome, now)
	}
	r.freeIfDone(slot)
}

// afterAttempt retries a request after an attempt of it has ended, at once or after a pause, or gives it up. It
// leaves a request alone that has another attempt in flight, unless the one that ended was turned away.
func (r *Router) afterAttempt(req *request, outcome Outcome, now int64) {
	if req.inFlight > 0 && outcome != Misdirected && outcome != Full {
		return
	}
	class := &r.classes[req.class]
	switch pause := max(r.retryPause(req), r.notSentPause(req, outcome)); {
	case pause > 0 && class.LateValueShare == 0 && now+pause+int64(class.meanTime/2) > req.targetAt,
		req.terms.RetryOn != 0 && req.terms.RetryOn>>outcome&1 == 0, pause > 0 && !r.mayRetry(req, now+pause):
		r.giveUp(req, now, 0, NotRetryable)
	case pause > 0 && req.inFlight == 0:
		req.parked, req.resumeAt = true, now+pause
	default:
		r.dispatch(req, now)
	}
}

// retryPause returns the pause that the request's terms ask for before its next attempt. It doubles with each attempt.
func (r *Router) retryPause(req *request) int64 {
	terms := &req.terms
	pause := terms.RetryPause
	if pause == 0 {
		return 0
	}
	for n := len(req.attempts); n > 1 && pause < req.deadline-req.arrivedAt &&
		(terms.MaxRetryPause == 0 || pause < terms.MaxRetryPause); n-- {
		pause *= 2
	}
	if terms.MaxRetryPause > 0 {
		pause = min(pause, terms.MaxRetryPause)
	}
	return pause - r.random.intN(pause*terms.RetryJitter/ShareScale)
}

// checkOverdue checks a request's attempts, and reports whether one is worth waiting for: not overdue, and not at an
// ejected node. An attempt is overdue after twice the class's mean time, and half the target latency at least, if its
// node has meanwhile answered twice its load; or after the delay in the request's terms. Past its target latency it
// counts as a sign of overload, unless its node has meanwhile answered several times its load: then it is presumed lost,
// says nothing of the load and no longer counts towards the concurrency limit. Without this check a
// request would wait until its deadline for a silent node, a lost message or a long queue. Hedged attempts are additional
// load, so they only use unused capacity.
func (r *Router) checkOverdue(req *request, now int64) (worthWaiting bool) {
	class := &r.classes[req.class]
	overdueAfter := max(int64(2*class.meanTime), class.TargetLatency/2)
	if req.terms.HedgeDelay > 0 {
		overdueAfter = req.terms.HedgeDelay
	}
	for i := range req.attempts {
		attempt := &req.attempts[i]
		if !attempt.inFlight {
			continue
		}
		node := &r.nodes[attempt.node]
		turnovers := node.turnovers(attempt)
		if !attempt.late && r.isOverdueForTarget(attempt, class.TargetLatency, now) {
			if attempt.lost = turnovers >= overdueTurnovers+1; attempt.lost {
				node.inFlight--
			} else if turnovers < overdueTurnovers {
				if node.heardAt <= attempt.sentAt {
					node.markLost(now)
				}
				if node.heardAt <= attempt.sentAt && now >= node.ejectedUntil {
					r.recordFailure(node, now, ejectAfterFailures) // the node is silent
				}
				r.learnLimit(node, attempt.loadAtSend+1, lateLatencyRatio)
			}
			attempt.late = attempt.lost || turnovers < overdueTurnovers
		}
		inTime := now-attempt.sentAt < overdueAfter || req.terms.HedgeDelay == 0 && turnovers < overdueTurnovers
		worthWaiting = worthWaiting || node.ejectedUntil <= now && inTime
	}
	return worthWaiting
}

// MayStartAttempt reports whether an attempt that was decided on earlier may still be sent: its node is in the request's group
// and admits the attempt, the list is not too old to say so, the node has the data that the request must see, and a retry
// is within the deduplication window and scope of the earlier attempts.
func (r *Router) MayStartAttempt(now int64, slot Slot, attemptIndex int) bool {
	req := &r.requests[slot]
	attempt := &req.attempts[attemptIndex]
	node := &r.nodes[attempt.node]
	isMember := node.group == req.group
	listKnown := !r.list.tooOld(now - 2*r.halfDrainGrace)
	return isMember && listKnown && r.NodeAdmits(now, int(attempt.node)) && r.mayRepeat(req, attemptIndex, now) && r.mayRead(node, req, now)
}

// mayRepeat reports whether an attempt may run beside the request's other attempts that may have run.
func (r *Router) mayRepeat(req *request, attemptIndex int, now int64) bool {
	class, first := &r.classes[req.class], req.firstPossiblyRun(attemptIndex)
	if first == nil || class.RetrySafety == Idempotent {
		return true
	}
	inWindow := now <= first.sentAt+class.DedupWindow
	return class.RetrySafety == Deduplicated && inWindow && r.sameDedupScope(req, first.node, req.attempts[attemptIndex].node)
}

// mayRead reports whether a node is known to have what the request must see. Writes may go to any node.
func (r *Router) mayRead(node *nodeRecord, req *request, now int64) bool {
	consistency := r.classes[req.class].Consistency
	if r.nodesCheckFreshness || consistency == Write || consistency < Fresh && r.isFreshEnough(node, req, now) {
		return true
	}
	return r.isProvenPrimary(node, now)
}

// firstPossiblyRun returns the earliest attempt that may have run, without the attempt of the given index, or nil.
func (req *request) firstPossiblyRun(except int) *attemptRecord {
	for i := range req.attempts {
		if attempt := &req.attempts[i]; i != except && (attempt.inFlight || attempt.outcome == Succeeded || attempt.outcome > NotSent) {
			return attempt
		}
	}
	return nil
}

// inFlightAt reports whether an attempt of the request is in flight at a node.
func (req *request) inFlightAt(node int32) bool {
	return slices.ContainsFunc(req.attempts, func(attempt attemptRecord) bool { return attempt.inFlight && attempt.node == node })
}

// hasAttemptAt reports whether any attempt of the request, sent or not, was for a node.
func (req *request) hasAttemptAt(node int32) bool {
	return slices.ContainsFunc(req.attempts, func(attempt attemptRecord) bool { return attempt.node == node })
}

// turnovers returns how many times the node has answered as many attempts as were there when this one was sent.
func (n *nodeRecord) turnovers(attempt *attemptRecord) float64 {
	return (n.answerCount - attempt.answersBefore) / (attempt.ownInFlight + 1)
}
