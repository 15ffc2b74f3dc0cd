package balance

import "slices"

// listAge tracks how old the router's knowledge of the list may be. Times are in nanoseconds.
type listAge struct {
	watchOpen      bool  // a watch is open, or a call is in progress whose end will be reported
	reached        bool  // discovery has answered a call without bringing the list, since the list was last received
	knownAt        int64 // time as of which the list is known, unless watchOpen
	unreachableAt  int64 // start of the newest call that discovery has not answered, by what is known
	reachedAt      int64 // when discovery last answered a call
	firstCallAt    int64 // start of the first call since the watch broke; 0: none yet
	lastAnswerTime int64 // that discovery needed for the last call it answered
	answerTime     int64 // the longest since the list was last received, and that of the call that brought it; 0: a call has failed since
	announcedAfter int64 // time after which a change is taken to be known to all, received or not; 0: no limit
	watchTimeout   int64 // time after which a watch that has gone silent is found to be broken
}

// answerTimeSpread is the share by which an answer of discovery may take longer than the one before.
const answerTimeSpread = 0.25

// recordUpdate records that the list was received.
func (a *listAge) recordUpdate(now int64) {
	a.watchOpen, a.reached, a.knownAt, a.firstCallAt = true, false, now, 0
	a.answerTime = a.lastAnswerTime
}

// recordCall records that a call begins.
func (a *listAge) recordCall(now int64) {
	if !a.watchOpen && a.firstCallAt == 0 {
		a.firstCallAt = now
	}
}

// recordWatchLoss records that the watch has broken; it may have been silent for watchTimeout before.
func (a *listAge) recordWatchLoss(now int64) {
	if a.watchOpen {
		a.watchOpen, a.knownAt = false, max(a.knownAt, now-a.watchTimeout)
	}
}

// recordAnswer records that discovery has answered a call that began at startedAt. Until then a slow discovery looked
// like one that is down; now it is known to have been reachable since the call began.
func (a *listAge) recordAnswer(now, startedAt int64) {
	if !a.watchOpen {
		a.reached = true
	}
	a.unreachableAt = min(a.unreachableAt, startedAt)
	a.reachedAt = now
	a.lastAnswerTime = now - startedAt
	a.answerTime = max(a.answerTime, a.lastAnswerTime)
}

// awaitsSlowAnswer reports whether discovery, going by the time of its last answer, may still be about to answer the first
// call since the watch broke: a slow discovery that is not known to be down.
func (a *listAge) awaitsSlowAnswer(now int64) bool {
	spread := int64(answerTimeSpread * float64(a.answerTime))
	return a.firstCallAt > 0 && now < a.firstCallAt+a.answerTime+spread
}

// tooOld reports whether nodes may have been drained or removed without this router knowing: discovery is reachable,
// but the list has not been received for as long as its changes take to be known to all. That a node still answers
// proves nothing: it may have been removed, or be listed again as another node. This prevents attempts at nodes that have
// left while discovery is overloaded or slow. Its cost is that the router serves nobody until discovery brings the list.
// A discovery that answers no call counts as down, and the router goes on with the list that it has; if its last answer
// was slow, only from the time on when the next would be overdue.
func (a *listAge) tooOld(now int64) bool {
	if a.announcedAfter == 0 || a.watchOpen {
		return false
	}
	if a.awaitsSlowAnswer(now) && now > a.knownAt+a.announcedAfter {
		return true
	}
	return a.reached && now > max(a.knownAt, a.unreachableAt)+a.announcedAfter
}

// ListRefused records that discovery was reachable but refused a call.
func (r *Router) ListRefused() { r.list.reached = true }

// ListAnswered records that discovery has answered a call that began at the given time, whether or not the list follows.
func (r *Router) ListAnswered(now, startedAt int64) { r.list.recordAnswer(now, startedAt) }

// ListUnanswered records that a call made at the given time has not been answered, and continues. An answer that comes
// later takes this back, and an answer to another call that has come since shows that discovery was reachable then.
func (r *Router) ListUnanswered(at int64) {
	if at > r.list.reachedAt {
		r.list.unreachableAt = max(r.list.unreachableAt, at)
	}
}

// ListUnreachable records that discovery was unreachable at the given time: a call made then has failed without an answer.
func (r *Router) ListUnreachable(at int64) {
	r.list.unreachableAt = max(r.list.unreachableAt, at)
	r.list.answerTime = 0
}

// noPrimaryReason returns why a request found no primary to go to.
func (r *Router) noPrimaryReason(now int64) Reason {
	if r.list.tooOld(now) {
		return ListTooOld
	}
	return NoPrimary
}

// usable reports whether neither a node's failures nor the age of the list forbid attempts there. Callers check
// acceptsWork separately.
func (r *Router) usable(node *nodeRecord, now int64) bool {
	return node.trusted(now) && !r.list.tooOld(now)
}

// setListPauses sets the pauses between calls for the list. Where changes are taken to be known after some time, the
// pauses are such that changes are received before that, even if a watch has gone silent or discovery comes back with
// changes, some calls fail, and the timer fires a sweep interval late.
func (r *Router) setListPauses(settings *Settings) {
	r.maxFirstPause, r.minListBackoff, r.maxListBackoff =
		settings.ListPollInterval/20, settings.ListPollInterval/20, settings.ListPollInterval/2
	r.maxListCallSpacing, r.listCallTimeout = 0, settings.ListCallTimeout
	announcedAfter := settings.ListAnnouncedAfter - int64(busyMachineMargin*float64(settings.ListAnnouncedAfter))
	pauses := max(announcedAfter-settings.WatchTimeout-toleratedListFailures*settings.ListCallTimeout-
		(toleratedListFailures+1)*r.sweepInterval, 0)
	if settings.ListPushed { // calls cost nothing: all pauses are equal, and far shorter than the drain grace
		pause := min(settings.ListPollInterval/20, r.halfDrainGrace/4)
		if settings.ListAnnouncedAfter > 0 {
			pause = min(pause, pauses*2/3/(toleratedListFailures+1)) // jitter lengthens a pause by up to half
		}
		r.maxFirstPause, r.minListBackoff, r.maxListBackoff = pause, pause, pause
	} else if settings.ListAnnouncedAfter > 0 {
		// Half of the time is for the first pause, which spreads the calls of routers whose watches break together.
		// The two pauses after it double, and jitter lengthens each by up to half: 3/2 x (1 + 2) = 9/2 times the
		// least pause.
		r.maxFirstPause = min(r.maxFirstPause, pauses/2)
		r.minListBackoff = min(r.minListBackoff, pauses/9)
		r.maxListCallSpacing = max(announcedAfter/(toleratedListFailures+1)-r.sweepInterval, settings.ListCallTimeout)
	}
}

// RefreshList schedules a new call for the list at a random time soon, for example because discovery has another
// address.
func (r *Router) RefreshList(now int64) {
	r.list.answerTime = 0
	r.scheduleFirstCall(now)
}

// scheduleFirstCall schedules a call for the list at a random time soon.
func (r *Router) scheduleFirstCall(now int64) {
	r.list.recordWatchLoss(now)
	r.listBackoff = r.minListBackoff
	r.nextListCallAt = now + r.random.intN(r.maxFirstPause)
	r.scheduleTimer(now)
}

// ListFailed records that a call for the list failed or the watch broke, and schedules the next call. Pauses grow where
// calls cost something, and are partly random, so that routers that fail together don't call together.
func (r *Router) ListFailed(now int64) {
	r.list.recordWatchLoss(now)
	lasted := now - r.listCalledAt
	if r.maxListCallSpacing > 0 && lasted > r.listCallTimeout*3/2 { // the call was answered, and its watch has broken
		r.scheduleFirstCall(now)
		return
	}
	backoff := min(r.listBackoff, r.maxListBackoff)
	if r.maxListCallSpacing > 0 { // counted from the beginning of the failed call
		backoff = min(backoff, max(r.maxListCallSpacing-lasted, 0)*2/3)
	}
	r.nextListCallAt = now + backoff/2 + r.random.intN(backoff)
	r.listBackoff = min(2*r.listBackoff, r.maxListBackoff)
	r.scheduleTimer(now)
}

// acceptsWork reports whether a node may be sent new work by its state in the list. Where only draining is binding, this
// includes a node that was removed without draining, as lists may lose nodes that still serve; attempts show if it is
// really gone.
func (r *Router) acceptsWork(node *nodeRecord) bool {
	return node.state == Active || r.removedMayServe && node.state == Removed && !node.drained
}

// NodeAdmits reports whether an attempt whose node was chosen earlier may still begin there: after the list has shown that
// the node leaves, until the end of the drain grace.
func (r *Router) NodeAdmits(now int64, nodeIndex int) bool {
	node := &r.nodes[nodeIndex]
	return r.acceptsWork(node) || now <= node.leaveAnnouncedAt+2*r.halfDrainGrace
}

// BeginListUpdate begins an update from the list, either with a full list or with some nodes only. Calls of UpdateNode and
// one of EndListUpdate follow.
func (r *Router) BeginListUpdate(full bool) {
	r.fullList = full
	r.listUpdate++
}

// UpdateNode records what the list says of one node. The caller numbers nodes and groups from 0 in the order in which
// the list first names them. IDHash is a hash of the node's ID by which routers name it to each other. StartedAt is on the
// servers' clock, and 0 if the node started long ago.
func (r *Router) UpdateNode(now int64, nodeIndex, groupIndex, zone int, idHash uint32, state NodeState, weight float64, startedAt int64,
	primary bool) {
	for len(r.nodes) <= nodeIndex {
		r.nodes = append(r.nodes, nodeRecord{index: int32(len(r.nodes)), group: -1, limit: startingLimit})
	}
	node := &r.nodes[nodeIndex]
	if node.idHash = idHash; !slices.Contains(r.nodesByHash[idHash], int32(nodeIndex)) {
		r.nodesByHash[idHash] = append(r.nodesByHash[idHash], int32(nodeIndex))
	}
	if group := r.group(groupIndex); node.group != int32(groupIndex) {
		if node.group >= 0 {
			former := r.group(int(node.group))
			former.members = slices.DeleteFunc(former.members, func(member int32) bool { return member == int32(nodeIndex) })
		}
		node.joinGroup(int32(groupIndex))
		group.members = append(group.members, int32(nodeIndex))
	}
	if state != Active && node.state == Active {
		node.leaveAnnouncedAt = now
	}
	if startedAt > node.startedAt {
		r.recordRestart(node, startedAt, now)
	}
	node.drained = state == Draining || state == Removed && node.drained
	node.state, node.zone, node.weight, node.listedPrimary, node.listUpdate = state, int32(zone), max(weight, 1e-6), primary, r.listUpdate
}

// ForgetNode drops the record of a node that has left, and reports whether it did; the node's index may then be used
// for another node. It only does so when no probe of the node is in flight, no request in progress has had an attempt
// there, and the drain grace is over. Where removed nodes may serve, the node must also have been silent for the time
// that idle connections are kept.
func (r *Router) ForgetNode(now int64, nodeIndex int) bool {
	node := &r.nodes[nodeIndex]
	if node.state != Removed || node.group < 0 || node.probeInFlight || now <= node.leaveAnnouncedAt+2*r.halfDrainGrace ||
		r.acceptsWork(node) && now < node.heardAt+r.idleTimeout {
		return false
	}
	for i := range r.requests {
		if req := &r.requests[i]; req.live && req.hasAttemptAt(node.index) {
			return false
		}
	}
	isNode := func(index int32) bool { return index == node.index }
	group := r.group(int(node.group))
	group.members = slices.DeleteFunc(group.members, isNode)
	if r.nodesByHash[node.idHash] = slices.DeleteFunc(r.nodesByHash[node.idHash], isNode); len(r.nodesByHash[node.idHash]) == 0 {
		delete(r.nodesByHash, node.idHash)
	}
	*node = nodeRecord{index: node.index, group: -1, limit: startingLimit, state: Removed, drained: true}
	return true
}

// EndListUpdate ends an update from the list. Nodes that a full list lacks have been removed.
func (r *Router) EndListUpdate(now int64) {
	for i := range r.nodes {
		node := &r.nodes[i]
		if r.fullList && node.listUpdate != r.listUpdate {
			if node.state == Active {
				node.leaveAnnouncedAt = now
			}
			node.state = Removed
		}
	}
	for i := range r.groups {
		group, active := &r.groups[i], 0.0
		for _, member := range group.members {
			if r.nodes[member].state == Active {
				active++
			}
		}
		group.maxActive = max(group.maxActive, active)
	}
	r.listBackoff = r.minListBackoff
	r.list.recordUpdate(now)
}
