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
	} else {
		r.probeForRoles(req, now)
		if r.awaitsRoles(req, now) {
			req.parked = true
			return
		}
		if candidate := r.nextCandidate(req, now); candidate >= 0 {
			r.send(req, candidate, now)
			return
		}
	}
	if req.parked = now < req.parkUntil && now+2*r.sweepInterval < req.deadline; !req.parked {
		r.giveUp(req, now, r.maxRetryAfter, r.noPrimaryReason(now))
		return
	}
	r.reprobeGroup(req.group, 4*r.sweepInterval, now)
}

// reprobeGroup probes the members of a group as far as the probe budget allows, first the one that was probed longest ago.
// In a fixed order a small budget would always be spent on the same members, and a new primary behind them not be found.
func (r *Router) reprobeGroup(group int32, minAge, now int64) {
	members, first := r.groups[group].members, 0
	for i, member := range members {
		if r.nodes[member].probedAt < r.nodes[members[first]].probedAt {
			first = i
		}
	}
	for i := range members {
		r.reprobe(members[(first+i)%len(members)], minAge, now)
	}
}

// probeForRoles probes the members that have shown no role, each of them once, on behalf of a request that needs the
// primary. These probes are not paid for from the probe budget, like the first ones that other reads cause. A write causes
// none where only one member may be the primary, as it goes there.
func (r *Router) probeForRoles(req *request, now int64) {
	isWrite := r.classes[req.class].Consistency == Write
	if !r.hasTimeForRoles(req, now) || isWrite && r.countWithoutRole(req.group) < 2 {
		return
	}
	for _, member := range r.groups[req.group].members {
		if node := &r.nodes[member]; r.lacksRole(node) && r.isUnprobed(node) {
			r.probe(member, now)
		}
	}
}

// hasTimeForRoles reports whether a request has the time to wait for reports that show roles. A new request is also
// parked for the loads of members while probes are in flight.
func (r *Router) hasTimeForRoles(req *request, now int64) bool {
	const leastSweeps = 8
	return req.deadline-now > leastSweeps*r.sweepInterval
}

// awaitsRoles reports whether a write has to wait for the first reports of members, because several may be the primary
// and a report shows the role. The wait is short, as probes may hang or fail.
func (r *Router) awaitsRoles(req *request, now int64) bool {
	const waitShare = 4 // of the target latency: a quarter
	class := &r.classes[req.class]
	if class.Consistency != Write || now >= min(req.arrivedAt+class.TargetLatency/waitShare, req.parkUntil) ||
		!r.hasTimeForRoles(req, now) || r.countWithoutRole(req.group) < 2 {
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

// keptAttempts is how many attempts of a request are kept for the time when the primary is known.
const keptAttempts = 2

// nextCandidate returns the member to try next while no primary is known, or -1. Members that have shown no role come
// first, then such a member that the request was sent to without a complete answer, then members that were shown to be
// replicas long enough ago. The last attempts are kept for the time when the primary is known. Writes try all members
// like this; reads only where nodes check freshness and no probe could find the primary.
func (r *Router) nextCandidate(req *request, now int64) int32 {
	triesMembers := r.classes[req.class].Consistency == Write || r.nodesCheckFreshness && !r.probesEnabled
	if !triesMembers || req.attemptsUsed() >= max(1, req.maxAttempts-keptAttempts) {
		return -1
	}
	if candidate := r.bestCandidate(req, Unknown, now, now); candidate >= 0 {
		return candidate
	}
	if candidate := r.retryCandidate(req, now); candidate >= 0 {
		return candidate
	}
	return r.bestCandidate(req, Replica, now-r.replicaRoleLifetime(req.group), now)
}

// bestCandidate returns the member of the given role, shown at shownBy at the latest, that has the highest position in
// the replication log and was not tried yet, or -1. A request with too few attempts to try several members goes to the
// one whose role was shown longest ago.
func (r *Router) bestCandidate(req *request, role Role, shownBy, now int64) int32 {
	fewAttempts := req.maxAttempts <= keptAttempts
	best, bestScore := int32(-1), int64(math.MinInt64)
	for _, member := range r.groups[req.group].members {
		node := &r.nodes[member]
		score := node.position
		if fewAttempts {
			score = -node.roleAt
		}
		if node.role == role && node.roleAt <= shownBy && r.acceptsWork(node) && r.mayTry(node, req, now) && !req.triedAt(member) &&
			score > bestScore && r.withinColdBudget(node, req, now) {
			best, bestScore = member, score
		}
	}
	return best
}

// mayTry reports whether a member may be tried as the primary. For a write, what others have found of a member that has
// shown no role does not count: if it is the primary, routers that know that go on to send it their writes.
func (r *Router) mayTry(node *nodeRecord, req *request, now int64) bool {
	if r.classes[req.class].Consistency == Write && r.lacksRole(node) {
		return node.trustedByOwnAttempts(now) && !r.list.tooOld(now)
	}
	return r.usable(node, now)
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
		if node.role == Unknown && r.acceptsWork(node) && r.mayTry(node, req, now) && req.triedAt(member) && r.withinColdBudget(node, req, now) {
			return member
		}
	}
	return -1
}
