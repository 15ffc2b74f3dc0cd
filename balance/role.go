package balance

// This file decides whether a node's last known role still counts after the node could not be reached for a while. Where
// nodes don't check freshness, a former primary answers reads with the data from before it was cut off. So its role
// has to be confirmed before a read that needs fresher data goes there.

// minFailoverTime is the shortest time, in ns, in which a group replaces an unreachable primary. Documented failovers
// take 2.3 s or more from the loss of the primary; a lower value only asks for a confirmed role more often than
// needed.
const minFailoverTime = int64(1e9)

// markLost records that an attempt has found the node unreachable or silent.
func (n *nodeRecord) markLost(now int64) { n.lostAt = now }

// mayBeReplaced reports whether a node that was the primary, or is listed as primary, may no longer be it: it was
// lost after it last confirmed its role, or has never confirmed it, and another node has had the time to take over.
func (n *nodeRecord) mayBeReplaced(now int64) bool {
	provenAt := int64(0)
	if n.role == Primary {
		provenAt = n.roleAt
	}
	return n.lostAt > provenAt && now-provenAt > minFailoverTime
}

// provesRole reports whether a role shown with a position is evidence. A primary's position is the present time. If
// it is from before the node was lost, it was read before the node became primary again, or the node has not learned
// yet that it was replaced.
func (r *Router) provesRole(node *nodeRecord, role Role, position int64) bool {
	return role != Primary || position == 0 || position >= node.lostAt+r.clock.ageOffset-positionRounding
}

// roleTime returns the time at which a role shown by an attempt's answer was true. For a primary this is the time of
// the commit of a write, else the time at which the attempt was sent, as the node may have read its role then and
// hung since. For a replica it is the time of the answer, as the role holds from the reading on.
func (r *Router) roleTime(req *request, attempt *attemptRecord, outcome Outcome, info AnswerInfo, now int64) int64 {
	switch {
	case info.Role != Primary:
		return now
	case outcome == Succeeded && info.Position > 0 && r.classes[req.class].Consistency == Write:
		return min(now, max(attempt.sentAt, info.Position-r.clock.ageOffset))
	}
	return attempt.sentAt
}

// needsProvenPrimary reports whether a request may only go to a primary whose role is confirmed: a read that bounds
// the age of its data, where any node would answer it unchecked. A write is turned away, without effect, by a node
// that is not the primary.
func (r *Router) needsProvenPrimary(req *request) bool {
	consistency := r.classes[req.class].Consistency
	return !r.nodesCheckFreshness && consistency != Write && consistency != Any
}

// provenPrimary returns the group's primary, or -1 if there is none or it may have been replaced. A node that may
// have been replaced can serve like any other member, according to the data that it is known to have; its answers
// then show its role.
func (r *Router) provenPrimary(group int32, now int64) int32 {
	primary := r.primary(group, now)
	if primary < 0 || !r.nodesCheckFreshness && r.nodes[primary].mayBeReplaced(now) {
		return -1
	}
	return primary
}

// isProvenPrimary reports whether a node is the confirmed primary of its group, or the one that is listed as primary if
// nothing contradicts that. Unlike provenPrimary it does not ask whether the node accepts work.
func (r *Router) isProvenPrimary(node *nodeRecord, now int64) bool {
	isListed := node.role == Unknown && node.listedPrimary
	if node.role != Primary && !isListed || node.mayBeReplaced(now) {
		return false
	}
	provenAt := int64(-1)
	if node.role == Primary {
		provenAt = node.roleAt
	}
	for _, member := range r.groups[node.group].members {
		if other := &r.nodes[member]; other.role == Primary && other.roleAt > provenAt {
			return false
		}
	}
	return true
}

// recordRestart records that the list shows a later start of a node. The role that the earlier process had is void.
func (r *Router) recordRestart(node *nodeRecord, startedAt, now int64) {
	node.startedAt, node.startAnnouncedAt = startedAt, now
	node.lostAt = max(node.lostAt, min(now, startedAt-r.clock.ageOffset))
}

// joinGroup moves a node to another group. What is known of its role and its data belongs to the former group.
func (n *nodeRecord) joinGroup(group int32) {
	n.group = group
	n.role, n.roleAt, n.position, n.positionAt, n.lag, n.misdirectedAt = Unknown, 0, 0, 0, 0, 0
}
