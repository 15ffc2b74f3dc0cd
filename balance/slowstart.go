package balance

import "math"

// This file limits the work sent to cold nodes, which have not reached their full capacity since their start. A node is
// given a share of the work that warm nodes get, according to the part of its capacity that it has reached.

// maxIdleLoad is the largest known load, in attempts, of a node that counts as idle.
const maxIdleLoad = 0.5

// withinColdBudget reports whether a node may be sent the request's work now; warm nodes always may. A cold node may be
// sent, within the overload window, a share of what warm nodes get on average, so that all routers together stay below
// what overloads it. After a sudden increase of traffic the budget lags behind, and cold nodes get less than they could
// serve.
func (r *Router) withinColdBudget(node *nodeRecord, req *request, now int64) bool {
	warmShare, grantShare := r.warmShare(node, now), 1.0
	if warmShare >= 1 {
		return true
	}
	work := r.classes[req.class].meanTime
	relativeWork := r.relativeWork(req)
	if relativeWork > r.maxRelativeWork(warmShare, now) {
		return false
	}
	if now < node.grantUntil {
		return node.coldWork.sum(now, r.overloadWindow)+work <= node.grantedWork
	} else if now < node.reducedUntil {
		grantShare = node.reducedShare
	}
	// A low-traffic router sends less than one request within the window, so it decides at random. The probability is
	// such that a cold node is not overloaded even if it takes the requests of a whole group alone and clients retry.
	if r.lowTraffic() {
		coveredNodes := 1.0 // whose requests it may have to take; only the primary gets writes and fresh reads anyway
		if node.role != Primary || req.primaryFallback {
			coveredNodes = max(1, r.groups[node.group].maxActive-1)
		}
		return req.randomDraw*coveredNodes*max(1, relativeWork) < lowPriorityShare*r.coldBudget*warmShare*grantShare
	}
	return node.coldWork.sum(now, r.overloadWindow)+work <= grantShare*r.coldShare(node, now)
}

// relativeWork returns a request's work in requests of mean work. Attempts of all classes wait alike at a loaded node, so
// that their mean times differ less than their work does; times at idle nodes show the work alone. The larger ratio counts.
func (r *Router) relativeWork(req *request) float64 {
	class := &r.classes[req.class]
	return max(class.meanTime/r.meanRequestWork, class.idleTime/r.meanIdleTime)
}

// isIdle reports whether a node is warm and has no attempts that this router knows of.
func (r *Router) isIdle(node *nodeRecord, now int64) bool {
	load := node.inFlight + node.orphans + node.knownLoad(now, r.loadLifetime)
	return load < maxIdleLoad && r.warmShare(node, now) >= 1
}

// initMeanWork assumes light requests until some have arrived, so that heavy ones are kept away from cold nodes at
// first.
func (r *Router) initMeanWork() {
	if r.meanRequestWork > 0 {
		return
	}
	r.meanRequestWork = math.MaxFloat64
	for i := range r.classes {
		r.meanRequestWork = min(r.meanRequestWork, r.classes[i].meanTime)
	}
	r.meanIdleTime = r.meanRequestWork
}

// maxRelativeWork returns the largest work of a single request, in requests of mean work, that a node with the given
// warm share may be sent. With N requests as the node's budget from all routers, it is a fifth of N + 2 sqrt(N) + 2
// less the part of N that the routers send: the work of single requests varies by as much as its mean, and routers
// with more traffic than others take the budget for larger than it is. It is at least 2, as writes have no other node
// to go to. The limit keeps a single heavy request from overloading a cold node; where all nodes are cold it refuses
// such requests.
func (r *Router) maxRelativeWork(warmShare float64, now int64) float64 {
	budget := r.coldBudget / coldWorkShare * warmShare * r.totalNodeWork(now) / r.meanRequestWork
	unused := (1-coldWorkShare)*budget + 2*math.Sqrt(budget) + 2
	return max(2, unused/5)
}

// totalNodeWork returns an estimate of the work that all routers send a warm node within the overload window, in ns: what
// this router sends it times the number of routers, as if all sent alike. It is less where nodes report fewer attempts
// than that, as this router then has more traffic than others.
func (r *Router) totalNodeWork(now int64) float64 {
	work := r.routerCount * r.warmNodeWork
	if r.meanNodeLoadAt > 0 && now-r.meanNodeLoadAt < r.loadLifetime {
		work = min(work, r.meanNodeLoad*float64(r.overloadWindow))
	}
	return work
}

// recordNodeLoad adds the attempts that a node reports to the mean over warm nodes.
func (r *Router) recordNodeLoad(node *nodeRecord, inFlight float64, now int64) {
	if inFlight < 0 || r.warmShare(node, now) < 1 {
		return
	}
	load := inFlight / node.weight
	if r.meanNodeLoadAt == 0 {
		r.meanNodeLoad = load
	}
	r.meanNodeLoad += slowAverageWeight * (load - r.meanNodeLoad)
	r.meanNodeLoadAt = now
}

// coldShare returns how much work this router may send a cold node within the overload window, in ns, if all routers do
// the same.
func (r *Router) coldShare(node *nodeRecord, now int64) float64 {
	return r.windowWarmShare(node, now) * r.coldBudget * r.warmNodeWork * node.weight
}

// windowWarmShare returns the warm share by which the work within the overload window is bounded: that in the middle of
// the window, as the node was colder at its beginning. Random decisions use the present warm share, whose mean over the
// window is the same.
func (r *Router) windowWarmShare(node *nodeRecord, now int64) float64 {
	return r.warmShare(node, now-r.overloadWindow/2)
}

// warmShare returns the part of its capacity that a node has reached by the time since its start.
func (r *Router) warmShare(node *nodeRecord, now int64) float64 {
	age := r.minAge(node, now)
	if age >= r.warmUpTime {
		return 1
	}
	return r.coldCapacityShare + (1-r.coldCapacityShare)*float64(max(age, 0))/float64(r.warmUpTime)
}

// minAge returns the least time that a node has been running: since its start by the list, or since it was reachable
// again if it may have restarted and the list may not have announced that yet. This covers restarts that the list
// announces late. Where a limit for the announcement is known, a node that was only disconnected counts as warm after
// that, and so does a restarted one if the list is later still.
func (r *Router) minAge(node *nodeRecord, now int64) int64 {
	age := int64(math.MaxInt64)
	if node.startedAt > 0 {
		age = r.startAge(node, now)
	}
	if node.returnedAt > 0 && !(r.list.announcedAfter > 0 && now >= node.returnedAt+r.list.announcedAfter) {
		age = min(age, now-node.returnedAt)
	}
	return age
}

// SetGrant grants this router an amount of work, in ns, for a cold node within the overload window until grantUntil.
// After that, until reducedUntil, the router may send reducedShare of its own cold share. Grants move shares between
// routers; all routers together send as much as without them.
func (r *Router) SetGrant(nodeIndex int, work, reducedShare float64, grantUntil, reducedUntil int64) {
	node := &r.nodes[nodeIndex]
	node.grantedWork, node.reducedShare, node.grantUntil, node.reducedUntil = work, reducedShare, grantUntil, reducedUntil
}

// WorkShare returns, in ns of work within the overload window, this router's cold share of a node, the work it would
// send the node if that were warm, and the least work of any request. The share is 0 if the node is not cold.
func (r *Router) WorkShare(now int64, nodeIndex int) (share, wanted, least float64) {
	if node := &r.nodes[nodeIndex]; node.group >= 0 && r.warmShare(node, now) < 1 && r.acceptsWork(node) {
		r.scheduleTimer(now)
		share, wanted, least = r.coldShare(node, now), r.warmNodeWork*node.weight, math.MaxFloat64
		for i := range r.classes {
			if class := &r.classes[i]; !class.retired {
				least = min(least, class.meanTime)
			}
		}
	}
	return share, max(wanted, least), least
}
