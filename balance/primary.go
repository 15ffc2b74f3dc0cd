package balance

import "math"

// This file finds a group's primary, and candidates for it while none is known.

// primary returns the member that was last confirmed as primary, else the one that is listed as primary if nothing
// contradicts that, else -1.
func (r *Router) primary(group int32, now int64) int32 {
	best, bestRoleAt := int32(-1), int64(-1)
	for _, member := range r.groups[group].members {
		node := &r.nodes[member]
		if !r.acceptsWork(node) && now > node.leaveAnnouncedAt+r.halfDrainGrace {
			// the node has left
		} else if node.role == Primary && node.roleAt > bestRoleAt {
			best, bestRoleAt = member, node.roleAt
		} else if node.role == Unknown && node.listedPrimary && bestRoleAt < 0 {
			best, bestRoleAt = member, 0
		}
	}
	return best
}

// sendToPrimary sends a request to the primary, or parks it while there is none. Reads that no replica could serve
// get the smallest share of a primary's capacity and the class with the highest value the largest, so that writes still
// succeed when all replicas lag.
func (r *Router) sendToPrimary(req *request, now int64) {
	class := &r.classes[req.class]
	if target := r.primary(req.group, now); target >= 0 {
		node, limitShare := &r.nodes[target], class.primaryShare
		if req.primaryFallback {
			limitShare = lowPriorityShare
		}
		switch {
		case !r.usable(node, now), r.needsProvenPrimary(req) && node.mayBeReplaced(now):
			// as without a primary
		case req.inFlight > 0 && req.inFlightAt(target): // a hedged attempt would only double the work there
			return
		case r.hasCapacity(node, req, limitShare, now):
			r.send(req, target, now)
			return
		case class.Consistency != Write:
			r.giveUp(req, now, 0, PrimaryFull)
			return
		}
	} else if r.probeForRoles(req, now); r.awaitsRoles(req, now) {
		req.parked = true
		return
	} else if target = r.nextCandidate(req, now); target >= 0 {
		r.send(req, target, now)
		return
	}
	if req.parked = now < req.parkUntil && now+2*r.sweepInterval < req.deadline; !req.parked {
		r.giveUp(req, now, r.maxRetryAfter, r.noPrimaryReason(now))
		return
	}
	for _, member := range r.groups[req.group].members {
		r.reprobe(member, 4*r.sweepInterval, now)
	}
}

// probeForRoles probes the members that a write could be sent to although they have shown no role, each of them once, if
// there are several. These probes are not paid for from the probe budget, like the first ones that reads cause.
func (r *Router) probeForRoles(req *request, now int64) {
	if r.classes[req.class].Consistency != Write || r.countWithoutRole(req.group) < 2 {
		return
	}
	for _, member := range r.groups[req.group].members {
		if node := &r.nodes[member]; r.lacksRole(node) && r.isUnprobed(node) {
			r.probe(member, now)
		}
	}
}

// awaitsRoles reports whether a write has to wait for the first reports of members, because several may be the primary
// and a report shows the role. The wait is short, as probes may hang or fail.
func (r *Router) awaitsRoles(req *request, now int64) bool {
	const waitShare = 4 // of the target latency: a quarter
	class := &r.classes[req.class]
	if class.Consistency != Write || now >= min(req.arrivedAt+class.TargetLatency/waitShare, req.parkUntil) ||
		r.countWithoutRole(req.group) < 2 {
		return false
	}
	for _, member := range r.groups[req.group].members {
		if node := &r.nodes[member]; r.lacksRole(node) && node.probeInFlight && node.probeAnsweredAt == 0 {
			return true
		}
	}
	return false
}

// countWithoutRole returns how many members of a group accept work and have shown no role.
func (r *Router) countWithoutRole(group int32) (count int) {
	for _, member := range r.groups[group].members {
		if r.lacksRole(&r.nodes[member]) {
			count++
		}
	}
	return count
}

// lacksRole reports whether a node accepts work and has shown no role, so that it may be the primary while none is known.
func (r *Router) lacksRole(node *nodeRecord) bool { return node.role == Unknown && r.acceptsWork(node) }

// nextCandidate returns the member to try next while no primary is known, or -1. Members that have shown no role come
// first, then such a member that the request was sent to without a complete answer, then members that were shown to be
// replicas long enough ago. The last attempts are kept for the time when the primary is known. Writes try all members
// like this; reads only where nodes check freshness and no probe could find the primary.
func (r *Router) nextCandidate(req *request, now int64) int32 {
	const keptAttempts = 2
	triesMembers := r.classes[req.class].Consistency == Write || r.nodesCheckFreshness && !r.probesEnabled
	if !triesMembers || req.attemptsUsed() >= max(1, req.maxAttempts-keptAttempts) {
		return -1
	}
	fewAttempts := req.maxAttempts <= keptAttempts
	if candidate := r.bestCandidate(req, Unknown, now, fewAttempts, now); candidate >= 0 {
		return candidate
	}
	if candidate := r.retryCandidate(req, now); candidate >= 0 {
		return candidate
	}
	return r.bestCandidate(req, Replica, now-r.replicaRoleLifetime(req.group), fewAttempts, now)
}

// bestCandidate returns the member of the given role, shown at shownBy at the latest, that has the highest position in
// the replication log and was not tried yet, or -1. A request with too few attempts to try several members goes to the
// one whose role was shown longest ago.
func (r *Router) bestCandidate(req *request, role Role, shownBy int64, fewAttempts bool, now int64) int32 {
	best, bestScore := int32(-1), int64(math.MinInt64)
	for _, member := range r.groups[req.group].members {
		node := &r.nodes[member]
		score := node.position
		if fewAttempts {
			score = -node.roleAt
		}
		if node.role == role && node.roleAt <= shownBy && r.acceptsWork(node) && r.usable(node, now) && !req.triedAt(member) &&
			score > bestScore && r.withinColdBudget(node, req, now) {
			best, bestScore = member, score
		}
	}
	return best
}

// replicaRoleLifetime returns for how long a member that was shown to be a replica is not tried as the primary. It is
// short where all members are known to be replicas, as one of them has to take over. A member without a known role is
// more likely to be the primary than a replica is to have taken over within the shortest time of a failover.
func (r *Router) replicaRoleLifetime(group int32) int64 {
	if r.countWithoutRole(group) > 0 {
		return max(r.sweepInterval, minFailoverTime)
	}
	return r.sweepInterval
}

// retryCandidate returns a member of unknown role that a write was already sent to without a complete answer, or -1.
// The write is repeated there if no member of unknown role is left to try: the group discards what runs twice, and the
// others were shown to be replicas. dispatch has checked that the request may be retried.
func (r *Router) retryCandidate(req *request, now int64) int32 {
	if r.classes[req.class].Consistency != Write || req.inFlight > 0 {
		return -1
	}
	for _, member := range r.groups[req.group].members {
		node := &r.nodes[member]
		if node.role == Unknown && r.acceptsWork(node) && r.usable(node, now) && req.triedAt(member) && r.withinColdBudget(node, req, now) {
			return member
		}
	}
	return -1
}
