package balance

// ejectionTime returns how long a node is ejected at least: four times what trying it again may cost a request. That is
// the connect timeout, or the target latency if that is shorter, as requests give up by then. Without this bound, one
// connection attempt that hangs could keep a node from serving for minutes where the connect timeout is far above what
// clients wait for.
func (c *Settings) ejectionTime() int64 {
	const tries = 4
	longestTarget := int64(0)
	for i := range c.Classes {
		longestTarget = max(longestTarget, c.Classes[i].TargetLatency)
	}
	if longestTarget == 0 {
		return tries * c.ConnectTimeout
	}
	return tries * min(c.ConnectTimeout, longestTarget)
}

// mayBePrimary reports whether a node is the primary, or may be because neither its role nor its group's primary is
// known. Writes may have no other node to go to, so such a node is only ejected after several failures in a row.
func (r *Router) mayBePrimary(node *nodeRecord) bool {
	if node.role != Unknown || node.group < 0 {
		return node.role == Primary
	}
	for _, member := range r.groups[node.group].members {
		if r.nodes[member].role == Primary {
			return false
		}
	}
	return true
}

// trusted reports whether a node is not ejected. After an ejection it gets one attempt at a time until one succeeds.
func (n *nodeRecord) trusted(now int64) bool {
	return now >= n.ejectedByOthersUntil && n.trustedByOwnAttempts(now)
}

// trustedByOwnAttempts is trusted without regard to what other routers have found.
func (n *nodeRecord) trustedByOwnAttempts(now int64) bool {
	return now >= n.ejectedUntil && (n.failures < ejectAfterFailures || n.inFlight == 0)
}

// recordFailure counts a node's failures in a row and ejects it when there are too many. The length of the ejection is
// partly random, so that routers don't return to the node together. At a low-traffic router, one failure counts as
// lowTrafficFailures, and the ejection is longer, as the attempts of all routers add up. This keeps
// hundreds of routers from each sending several attempts to a node that hangs. Its cost is that nodes are ejected wrongly
// where long requests look like silence.
func (r *Router) recordFailure(node *nodeRecord, now int64, lowTrafficFailures int) {
	minTime := r.ejectionTime
	if r.lowTraffic() && !r.mayBePrimary(node) {
		node.failures, minTime = node.failures+lowTrafficFailures-1, max(minTime, r.warmUpTime/2)
	}
	if node.failures++; node.failures >= ejectAfterFailures {
		r.actions.Log(int(node.index), "ejected")
		node.ejectedUntil = now + minTime + r.random.intN(minTime)
	}
}

// Eject ejects a replica until the given time, because many routers have found it to fail. Primaries are not ejected: the
// others still send it their writes, as these have no other node.
func (r *Router) Eject(now int64, nodeIndex int, until int64) {
	if node := &r.nodes[nodeIndex]; node.role != Primary {
		node.ejectedByOthersUntil = until
	}
}
