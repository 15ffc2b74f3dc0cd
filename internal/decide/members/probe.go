package members

import (
	"math"
	"slices"
)

// Parameters of the protocol. Names with Periods are in protocol periods (Timing.Period).
const (
	retransmitMultiplier     = 2   // times log2 of the live members: how often a rumor is sent
	indirectProbes           = 3   // members asked to probe a silent one
	gossipsPerPeriod         = 4   // while there are rumors to send
	gossipFanout             = 2   // members per gossip
	leaveFanout              = 8   // members that a leaving one notifies directly
	directAckFraction        = 0.4 // of a period, after which indirect probes start
	reconnectPeriods         = 8   // mean interval between attempts to reach failed members
	exchangePeriods          = 64  // mean interval between routine full exchanges
	exchangeGapPeriods       = 4   // bounds the delay after checksum mismatches; mean interval with seeds
	mismatchesBeforeExchange = 6   // consecutive messages with another checksum
	suspicionMultiplier      = 3   // times log10 of the live members: shortest suspicion, in periods
	suspicionMaxMultiplier   = 4   // times the shortest: suspicion without confirmations
	maxConfirmations         = 3   // independent confirmations at which a suspicion is shortest
	maxHealthScore           = 8
	pausedPeriods            = 4   // lateness at which this instance counts as paused
	latePeriods              = 0.5 // lateness at which this instance counts as slow
	seedsPerAttempt          = 3   // seeds contacted at a time while no peer is known
	maxRelayedProbes         = 64
	maxNameConflicts         = 4
)

// probe is the state of the probe in progress.
type probe struct {
	target        *peerState
	seq           uint64
	indirectAt    int64 // when indirect probes are sent
	deadline      int64
	indirectCount int
	nacks         int
	acked         bool
}

// relayedProbe is a probe that this instance sends on behalf of another (SWIM's ping-req).
type relayedProbe struct {
	seq, requesterSeq uint64
	requester         string
	target            Record
	deadline          int64
}

// nameConflict is another run that uses this instance's name, with the probe that was sent to see whether it is alive.
type nameConflict struct {
	runID, seq   uint64
	challengedAt int64
}

// NextTick returns the latest time for the next call of Tick; messages may be handled before. A later call counts as
// slowness of this instance, so NextTick has to be called again after every other call.
func (m *Members) NextTick() int64 {
	m.expectedTick = m.nextDue()
	return m.expectedTick
}

// nextDue returns when the next task is due.
func (m *Members) nextDue() int64 {
	if m.hasLeft { // only its own departure remains to be announced
		if m.rumors.count > 0 {
			return m.gossipAt
		}
		return math.MaxInt64
	}
	at := min(m.probeAt, m.reconnectAt, m.exchangeAt, m.expireAt, m.viewDueAt())
	if m.rumors.count > 0 {
		at = min(at, m.gossipAt)
	}
	if current := &m.probe; current.target != nil && !current.acked {
		if current.indirectCount == 0 {
			at = min(at, current.indirectAt)
		}
		at = min(at, current.deadline)
	}
	for _, peer := range m.suspects {
		at = min(at, peer.suspicionEnds)
	}
	for i := range m.relayedProbes {
		at = min(at, m.relayedProbes[i].deadline)
	}
	return at
}

// Tick performs every task that is due.
func (m *Members) Tick(now int64) {
	m.detectPause(now)
	if m.gossipAt <= now {
		m.gossipRumors(now)
	}
	if m.hasLeft {
		return
	}
	m.relayedProbes = slices.DeleteFunc(m.relayedProbes, func(relayed relayedProbe) bool {
		if relayed.deadline <= now {
			m.send(relayed.requester, nil, &Message{Kind: Nack, Seq: relayed.requesterSeq, Target: &relayed.target})
		}
		return relayed.deadline <= now
	})
	if current := &m.probe; current.target != nil && !current.acked {
		if current.indirectCount == 0 && current.indirectAt <= now {
			m.sendIndirectProbes()
		}
		if current.deadline <= now {
			m.failProbe(now)
		}
	}
	for _, peer := range slices.Clone(m.suspects) {
		if peer.suspicionEnds <= now {
			record := peer.Record
			record.Health, record.By = Failed, m.self.Name
			m.updatePeer(now, peer, record, m.self.Name)
		}
	}
	if m.probeAt <= now {
		m.startProbe(now)
	}
	if m.reconnectAt <= now {
		m.tryReconnect(now)
	}
	if m.exchangeAt <= now {
		m.startExchange(now, m.randomPeer())
	}
	if m.expireAt <= now {
		m.expireAt = now + m.timing.ForgetAfter/8
		for _, peer := range slices.Clone(m.inactive) {
			if now-peer.stateSince > m.timing.ForgetAfter {
				m.forgetPeer(peer)
			}
		}
	}
	m.publishViewIfDue(now)
}

// detectPause detects that this instance itself was slow or paused, in which case the silence of others says little.
func (m *Members) detectPause(now int64) {
	late := now - m.expectedTick
	if late < int64(latePeriods*float64(m.timing.Period)) {
		return
	}
	m.expectedTick = now
	if m.timing.PlainSWIM {
		return
	}
	m.adjustHealthScore(1)
	for _, peer := range m.suspects { // their refutations could not be received meanwhile
		peer.suspicionEnds += late
	}
	m.probe = probe{}
	if late < pausedPeriods*m.timing.Period {
		return
	}
	m.healthScore, m.resumedAt = maxHealthScore, now
	if !m.hasLeft {
		m.raiseIncarnation(now, 0)
	}
	m.delegate.Resumed(late)
}

// adjustHealthScore raises the local health score, which means worse health, or lowers it if by is negative.
func (m *Members) adjustHealthScore(by int) {
	if !m.timing.PlainSWIM {
		m.healthScore = min(max(m.healthScore+by, 0), maxHealthScore)
	}
}

// scaleByHealth extends a span by the local health score.
func (m *Members) scaleByHealth(span int64) int64 { return span * int64(m.healthScore+1) }

// startProbe probes the next peer. The order is reshuffled once all were probed, so every peer is probed within any
// two rounds.
func (m *Members) startProbe(now int64) {
	if m.probe.target != nil && !m.probe.acked {
		m.failProbe(now)
	}
	m.probeAt = now + m.scaleByHealth(m.timing.Period)
	if m.probe = (probe{}); len(m.probeOrder) == 0 {
		return
	}
	if m.nextProbe >= len(m.probeOrder) {
		m.nextProbe = 0
		for i := len(m.probeOrder) - 1; i > 0; i-- {
			m.swapProbeOrder(i, m.randIntn(i+1))
		}
	}
	peer := m.probeOrder[m.nextProbe]
	m.nextProbe++
	m.lastSeq++
	m.probe = probe{
		target: peer, seq: m.lastSeq,
		indirectAt: now + m.scaleByHealth(int64(directAckFraction*float64(m.timing.Period))),
		deadline:   m.probeAt,
	}
	m.send(peer.Address, peer, &Message{Kind: Ping, Seq: m.lastSeq})
}

// sendIndirectProbes asks other members to probe the silent target.
func (m *Members) sendIndirectProbes() {
	target := m.probe.target
	others := m.randomPeers(indirectProbes, func(peer *peerState) bool { return peer == target || peer.Health != Alive })
	m.probe.indirectCount = max(1, len(others))
	for _, peer := range others {
		subject := target.Record
		m.send(peer.Address, peer, &Message{Kind: PingReq, Seq: m.probe.seq, Target: &subject})
	}
	m.probe.indirectCount = len(others)
	if len(others) == 0 {
		m.probe.indirectAt = math.MaxInt64
	}
}

// failProbe ends a probe without an answer. Missing nacks from the members asked to probe indirectly suggest that
// this instance itself has trouble receiving, so they raise its health score.
func (m *Members) failProbe(now int64) {
	failed := m.probe
	m.probe = probe{}
	if missing := failed.indirectCount - failed.nacks; failed.indirectCount == 0 || missing > 0 {
		m.adjustHealthScore(max(1, missing))
	}
	if target := failed.target; target.isLive() && target.Health == Alive {
		record := target.Record
		record.Health, record.By = Suspect, m.self.Name
		m.updatePeer(now, target, record, m.self.Name)
	} else if target.Health == Suspect {
		m.confirmSuspicion(now, target, m.self.Name)
	}
}

// handleAck handles the answer to a direct or indirect probe, to a relayed one, or to a duplicate-name challenge.
func (m *Members) handleAck(now int64, message *Message) {
	responder := &message.From
	if message.Target != nil {
		responder = message.Target
		m.applyRecord(now, *responder, message.From.Name)
	}
	if current := &m.probe; message.Seq == current.seq && current.target != nil &&
		responder.Name == current.target.Name && responder.RunID == current.target.RunID {
		if !current.acked {
			m.adjustHealthScore(-1)
		}
		current.acked = true
		return
	}
	for i, relayed := range m.relayedProbes {
		if relayed.seq == message.Seq && relayed.target.Name == responder.Name {
			m.relayedProbes = slices.Delete(m.relayedProbes, i, i+1)
			answered := message.From
			m.send(relayed.requester, nil, &Message{Kind: Ack, Seq: relayed.requesterSeq, Target: &answered})
			return
		}
	}
	for _, conflict := range m.nameConflicts {
		if conflict.seq == message.Seq && conflict.runID == message.From.RunID && message.From.Name == m.self.Name {
			m.resolveDuplicate(now, message.From)
			return
		}
	}
}

// relayProbe probes a target on behalf of another member.
func (m *Members) relayProbe(now int64, message *Message) {
	if message.Target == nil || len(m.relayedProbes) >= maxRelayedProbes {
		return
	}
	m.lastSeq++
	m.relayedProbes = append(m.relayedProbes, relayedProbe{
		m.lastSeq, message.Seq, message.From.Address,
		*message.Target,
		now + int64(directAckFraction*float64(m.timing.Period)),
	})
	m.send(message.Target.Address, m.peers[message.Target.Name], &Message{Kind: Ping, Seq: m.lastSeq})
}

// startSuspicion starts the suspicion of a peer.
func (m *Members) startSuspicion(now int64, peer *peerState) {
	peer.suspectedAt, peer.accusers = now, nil
	if peer.Record.By != "" {
		peer.accusers = append(peer.accusers, peer.Record.By)
	}
	m.suspects = append(m.suspects, peer)
	m.updateSuspicionDeadline(peer)
}

// confirmSuspicion adds an independent accuser. The first few are gossiped, since others may so far have heard of the
// same accuser only.
func (m *Members) confirmSuspicion(now int64, peer *peerState, by string) {
	if by == "" || len(peer.accusers) > maxConfirmations || slices.Contains(peer.accusers, by) {
		return
	}
	peer.accusers, peer.Record.By = append(peer.accusers, by), by
	m.updateSuspicionDeadline(peer)
	m.enqueueRumor(peer)
}

// updateSuspicionDeadline sets when the suspicion ends: the more independent confirmations, the sooner.
func (m *Members) updateSuspicionDeadline(peer *peerState) {
	shortest := float64(m.timing.Period) * suspicionMultiplier * max(1, math.Log10(float64(m.LiveCount())))
	mostUseful := min(maxConfirmations, m.LiveCount()-2)
	if m.timing.PlainSWIM || mostUseful < 1 {
		peer.suspicionEnds = peer.suspectedAt + int64(shortest)
		return
	}
	longest := shortest * suspicionMaxMultiplier
	fraction := math.Log(float64(max(len(peer.accusers), 1))) / math.Log(float64(mostUseful+1))
	peer.suspicionEnds = peer.suspectedAt + int64(max(shortest, longest-(longest-shortest)*fraction))
}

// gossipRumors sends queued rumors to a few random peers.
func (m *Members) gossipRumors(now int64) {
	m.gossipAt = now + m.timing.Period/gossipsPerPeriod
	if m.rumors.count == 0 {
		return
	}
	for _, peer := range m.randomPeers(gossipFanout, nil) {
		m.send(peer.Address, peer, &Message{Kind: Gossip})
	}
}

// tryReconnect probes a failed member, or a seed that is no live member's address, so that the two sides of a healed
// partition find each other again. It continues for as long as failed members are remembered.
func (m *Members) tryReconnect(now int64) {
	m.reconnectAt = now + reconnectPeriods*m.timing.Period/2 + m.randomDelay(reconnectPeriods*m.timing.Period)
	if len(m.probeOrder) == 0 {
		m.reconnectAt = now + m.timing.Period/2 + m.randomDelay(m.timing.Period)
		for range min(seedsPerAttempt, len(m.seeds)) {
			m.lastSeq++
			m.send(m.seeds[m.randIntn(len(m.seeds))], nil, &Message{Kind: Ping, Seq: m.lastSeq})
		}
	}
	var peer *peerState
	if len(m.inactive) > 0 {
		peer = m.inactive[m.randIntn(len(m.inactive))]
	}
	if peer != nil && peer.Health == Failed {
		m.lastSeq++
		m.send(peer.Address, peer, &Message{Kind: Ping, Seq: m.lastSeq})
		return
	}
	if len(m.probeOrder) > 0 && len(m.seeds) > 0 {
		if seed := m.seeds[m.randIntn(len(m.seeds))]; !slices.ContainsFunc(m.probeOrder, func(peer *peerState) bool {
			return peer.Address == seed
		}) {
			m.lastSeq++
			m.send(seed, nil, &Message{Kind: Ping, Seq: m.lastSeq})
		}
	}
}

// challengeDuplicate probes another run of this name. Only an answer to this very probe proves a duplicate: any other
// message may have been sent before that process ended.
func (m *Members) challengeDuplicate(now int64, record Record) {
	index := slices.IndexFunc(m.nameConflicts, func(other nameConflict) bool { return other.runID == record.RunID })
	if index < 0 {
		if len(m.nameConflicts) == maxNameConflicts {
			m.nameConflicts = slices.Delete(m.nameConflicts, 0, 1)
		}
		m.nameConflicts, index = append(m.nameConflicts, nameConflict{runID: record.RunID}), len(m.nameConflicts)
	} else if now-m.nameConflicts[index].challengedAt < m.timing.Period {
		return
	}
	m.lastSeq++
	m.nameConflicts[index].seq, m.nameConflicts[index].challengedAt = m.lastSeq, now
	m.send(record.Address, nil, &Message{Kind: Ping, Seq: m.lastSeq})
}

// resolveDuplicate separates two processes with the same name: the one with the lower run ID takes another name. Both
// continue to serve.
func (m *Members) resolveDuplicate(now int64, duplicate Record) {
	m.nameConflicts = slices.DeleteFunc(m.nameConflicts, func(conflict nameConflict) bool { return conflict.runID == duplicate.RunID })
	if m.self.RunID > duplicate.RunID {
		m.raiseIncarnation(now, duplicate.Incarnation)
		m.delegate.DuplicateName(duplicate, "")
		return
	}
	const hex = "0123456789abcdef"
	name := m.self.Name[:min(len(m.self.Name), MaxNameBytes-7)] + "~"
	for shift := 20; shift >= 0; shift -= 4 {
		name += string(hex[m.self.RunID>>shift&15])
	}
	m.changeName(now, name)
	m.delegate.DuplicateName(duplicate, name)
	m.applyRecord(now, duplicate, duplicate.Name)
}
