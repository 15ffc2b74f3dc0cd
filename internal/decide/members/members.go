// Package members implements the membership protocol: it tracks which instances have joined, are suspected, have
// failed or have left, and which agreed view of the whole set other modules may rely on. Routers and planners both
// run it; fleets may have thousands of members.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health score, suspicion confirmations and
// early notification of the suspect (Dadgar, Phillips, Currey 2018). Full exchanges by checksums repair lost rumors,
// and a view is published only once the suspicions of a change have settled (after Suresh et al., Rapid, 2018).
//
// The package does no I/O and reads no clock: every call gets the caller's monotonic time in nanoseconds, the random
// source is passed in, and actions are returned through calls of Delegate. It is not safe for concurrent use.
package members

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Health is the state of a member as this instance sees it. For the same run and incarnation, the higher value takes
// precedence.
type Health uint8

// The health states.
const (
	Alive Health = iota
	Suspect
	Failed
	Left // left on its own or removed by an operator: not a failure, and nobody waits for it
)

var healthNames = [...]string{"alive", "suspect", "failed", "left"}

// String returns the name of the state for operators and logs.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "unknown"
}

// Kind is the role of an instance.
type Kind uint8

// The roles.
const (
	Router Kind = iota
	Forwarder
	Planner
)

var kindNames = [...]string{"router", "forwarder", "planner"}

// String returns the name of the role for operators and logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Record is what one instance reports of a member. It is encoded as an array, so the order of its fields is the wire
// format.
type Record struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Address  string // for datagrams and exchanges
	Zone     string
	Kind     Kind
	// RunID is drawn at random at each start. It tells runs of the same name apart, and does not order them.
	RunID uint64 `json:"Life"`
	// Incarnation is raised only by the member itself, to override records of it or of an earlier run with its name.
	Incarnation uint32
	Health      Health
	By          string // the member that accused a suspected or failed one, or the operator who removed one that left
	// Age is the number of seconds since the state was entered. It is set only in exchanges, so that inactive
	// members are not kept forever by being exchanged.
	Age uint32
}

// Bounds of what is accepted; messages outside of them are rejected.
const (
	MaxMembers       = 1 << 14
	MaxNameBytes     = 64 // also for addresses
	MaxZoneBytes     = 32
	MaxIncarnation   = 1 << 30
	MaxDatagramBytes = 1200
	MaxRumors        = 64 // per datagram
)

// supersedes reports whether r takes precedence over other, a record of the same name.
func (r *Record) supersedes(other *Record) bool {
	if c := cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.RunID, other.RunID),
		cmp.Compare(r.Health, other.Health)); c != 0 {
		return c > 0
	}
	return false
}

// isLive reports whether the member counts as present. A suspected member does: moving its groups away and back would
// cost more than waiting.
func (r *Record) isLive() bool { return r.Health < Failed }

// encodedBound returns an upper bound of the record's encoded size in bytes.
func (r *Record) encodedBound() int {
	return 32 + len(r.Name) + len(r.Address) + len(r.Zone) + len(r.By)
}

// Timing sets the pace of the protocol.
type Timing struct {
	Period      int64 // ns between two probes of a healthy instance
	ForgetAfter int64 // ns for which failed and left members are remembered; must exceed the delay of any message
	PlainSWIM   bool  // disables the Lifeguard extensions, for comparison
}

// Delegate carries out the decisions of Members and is notified of changes.
type Delegate interface {
	// Send sends a datagram. The callee owns the message and its rumors.
	Send(to string, message *Message)
	// StartExchange starts a full exchange with a member; name is "" for a seed.
	StartExchange(name, address string)
	// MemberChanged reports a change of a member's state.
	MemberChanged(change Change)
	// ViewChanged reports a view with a different set of members.
	ViewChanged(view View)
	// Resumed reports that this instance was paused for so many nanoseconds: promises it made before may no longer
	// hold.
	Resumed(pausedFor int64)
	// ViewConflictFound reports that another member has had a different view with this one's number for some time.
	ViewConflictFound(conflict ViewConflict)
	// DuplicateName reports another process with this instance's name. newName is the name that this instance takes
	// instead, or "" if it keeps its name.
	DuplicateName(other Record, newName string)
}

// Change is a change of a member's state, with its evidence.
type Change struct {
	Record    Record
	Previous  Health
	Known     bool     // the member was known before
	NewRun    bool     // the record belongs to another run of the name
	Via       string   // the member that reported it, or this instance's own name
	Accusers  []string // for a suspected or failed member: who suspected it independently
	SilentFor int64    // ns since this instance last heard the member directly; -1: never
}

// peerState is what this instance knows of another member.
type peerState struct {
	Record
	nameHash   uint64
	index      int   // in probeOrder if live, else in inactive
	stateSince int64 // when the health state was entered
	lastHeard  int64 // when the member last sent a message itself; 0: never
	source     string

	accusers                   []string // independent accusers of the current suspicion
	suspectedAt, suspicionEnds int64

	lane      int // in the rumor queue
	laneIndex int // within the lane; -1: not queued
	transmits int // times that the current rumor was sent or heard again
}

// Members is the membership state of one instance.
type Members struct {
	delegate Delegate
	timing   Timing
	randIntn func(n int) int // uniform in [0, n)
	seeds    []string

	self     Record
	selfPeer *peerState // this instance as it appears in rumors and checksums
	hasLeft  bool       // it has left, or was removed by an operator

	peers          map[string]*peerState
	probeOrder     []*peerState // live peers, in the order in which they are probed
	nextProbe      int
	inactive       []*peerState // failed and left peers
	suspects       []*peerState
	rumors         rumorQueue
	suppressGossip bool // records applied now are not gossiped

	checksum        uint64 // over live records
	bucketChecksums [BucketCount]uint64
	lastSeq         uint64

	healthScore        int // 0 is healthy; see HealthScore
	probe              probe
	relayedProbes      []relayedProbe
	nameConflicts      []nameConflict
	checksumMismatches int
	expectedTick       int64 // latest time for the next Tick, as returned by NextTick

	probeAt, gossipAt, reconnectAt, exchangeAt, expireAt int64 // when each task is due next

	viewState
	joinedAt, startedAt, resumedAt int64 // 0: has not happened yet
}

// New returns an instance that knows no other member. Of self it uses name, address, zone, kind and run ID. The seeds
// are addresses and may include the instance's own. randIntn returns a uniform number in [0, n).
func New(self Record, seeds []string, timing Timing, now int64, randIntn func(n int) int, delegate Delegate) *Members {
	self.Incarnation, self.Health = 1, Alive
	m := &Members{
		delegate: delegate, timing: timing, randIntn: randIntn,
		self: self, peers: map[string]*peerState{}, startedAt: now,
	}
	for _, seed := range seeds {
		if seed != self.Address && !slices.Contains(m.seeds, seed) {
			m.seeds = append(m.seeds, seed)
		}
	}
	m.selfPeer = &peerState{Record: self, nameHash: xxhash.Sum64String(self.Name), stateSince: now, laneIndex: -1}
	m.toggleChecksum(m.selfPeer)
	m.lastSeq = uint64(randIntn(1<<30))<<32 | uint64(randIntn(1<<30))
	// Random delays keep instances that start together from sending at the same moments.
	m.probeAt = now + m.randomDelay(timing.Period)
	m.gossipAt, m.reconnectAt, m.exchangeAt, m.expireAt =
		m.probeAt, now, m.probeAt+m.randomDelay(exchangePeriods*timing.Period), now+timing.ForgetAfter/8
	m.initView(now)
	m.NextTick()
	return m
}

// randomDelay returns a random part of a span.
func (m *Members) randomDelay(span int64) int64 {
	const steps = 1 << 16
	return span / steps * int64(m.randIntn(steps))
}

// Self returns this instance's own current record.
func (m *Members) Self() Record { return m.selfPeer.Record }

// LiveCount returns the number of live members, including this one.
func (m *Members) LiveCount() int { return len(m.probeOrder) + 1 }

// KnownMember is what is known of one member. Its times are ages in nanoseconds.
type KnownMember struct {
	Record   Record `json:"record"`
	StateAge int64  `msgpack:"Since" json:"since"`
	HeardAgo int64  `msgpack:"Heard" json:"heard"` // -1: never heard directly
	Via      string `json:"via,omitempty"`
}

// All returns every known member: this one first, the others by name.
func (m *Members) All(now int64) (known []KnownMember) {
	for _, peer := range m.peers {
		entry := KnownMember{Record: peer.Record, StateAge: now - peer.stateSince, HeardAgo: -1, Via: peer.source}
		if peer.lastHeard > 0 {
			entry.HeardAgo = now - peer.lastHeard
		}
		known = append(known, entry)
	}
	slices.SortFunc(known, func(a, b KnownMember) int { return cmp.Compare(a.Record.Name, b.Record.Name) })
	return slices.Insert(known, 0, KnownMember{Record: m.selfPeer.Record, StateAge: now - m.selfPeer.stateSince})
}

// Find returns the record of a member by its name.
func (m *Members) Find(name string) (record Record, known bool) {
	if name == m.self.Name {
		return m.selfPeer.Record, true
	}
	if peer := m.peers[name]; peer != nil {
		return peer.Record, true
	}
	return record, false
}

// toggleChecksum adds a live record to the checksums, or removes it: they are XORs of hashes, so both are the same
// operation.
func (m *Members) toggleChecksum(peer *peerState) {
	if !peer.isLive() {
		return
	}
	hash := mixBits(peer.nameHash ^ mixBits(peer.RunID+uint64(peer.Incarnation)<<32))
	m.checksum ^= hash
	m.bucketChecksums[peer.nameHash%BucketCount] ^= hash
	m.liveDigest ^= mixBits(peer.nameHash ^ mixBits(peer.RunID))
}

// mixBits spreads the bits of a hash (the finalizer of MurmurHash3).
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// applyRecord takes in a record. Stale records change nothing, however late they arrive: only a member itself raises
// its incarnation.
func (m *Members) applyRecord(now int64, record Record, via string) {
	if record.Name == m.self.Name {
		m.handleSelfRecord(now, record)
		return
	}
	peer := m.peers[record.Name]
	if peer == nil {
		m.addPeer(now, record, via)
		return
	}
	switch {
	case record.supersedes(&peer.Record):
		m.updatePeer(now, peer, record, via)
	case record == peer.Record:
		m.countRedundantRumor(peer)
	case record.Health == Suspect && peer.Health == Suspect && record.Incarnation == peer.Incarnation && record.RunID == peer.RunID:
		m.confirmSuspicion(now, peer, record.By)
	}
}

// addPeer adds a member with an unknown name. An unknown member that has failed or left is ignored in rumors, but
// accepted from an exchange (Age is set), so that no stale record revives it at a new instance.
func (m *Members) addPeer(now int64, record Record, via string) {
	age := int64(record.Age) * 1e9
	if !record.isLive() && (record.Age == 0 || age > m.timing.ForgetAfter) || len(m.peers) >= MaxMembers && !m.evictInactive() {
		return
	}
	peer := &peerState{Record: record, nameHash: xxhash.Sum64String(record.Name), stateSince: now - age, source: via, laneIndex: -1}
	peer.Age = 0
	m.peers[record.Name] = peer
	if !peer.isLive() {
		peer.index, m.inactive = len(m.inactive), append(m.inactive, peer)
		return
	}
	m.insertIntoProbeOrder(peer)
	m.toggleChecksum(peer)
	m.liveSetChanged(now)
	if record.Health == Suspect {
		m.startSuspicion(now, peer)
	}
	m.enqueueRumor(peer)
	m.delegate.MemberChanged(Change{Record: peer.Record, Via: via, SilentFor: -1})
}

// evictInactive makes room by forgetting the member that became inactive first. It reports whether there was one.
func (m *Members) evictInactive() bool {
	if len(m.inactive) == 0 {
		return false
	}
	m.forgetPeer(slices.MinFunc(m.inactive, func(a, b *peerState) int { return cmp.Compare(a.stateSince, b.stateSince) }))
	return true
}

// forgetPeer removes all state of an inactive member.
func (m *Members) forgetPeer(peer *peerState) {
	m.removeInactive(peer)
	m.rumors.remove(peer)
	delete(m.peers, peer.Name)
}

func (m *Members) removeInactive(peer *peerState) {
	last := m.inactive[len(m.inactive)-1]
	m.inactive[peer.index], last.index = last, peer.index
	m.inactive = m.inactive[:len(m.inactive)-1]
}

// insertIntoProbeOrder inserts a peer at a random position among those not yet probed in this round.
func (m *Members) insertIntoProbeOrder(peer *peerState) {
	peer.index, m.probeOrder = len(m.probeOrder), append(m.probeOrder, peer)
	if at := m.nextProbe + m.randIntn(len(m.probeOrder)-m.nextProbe+1); at < peer.index {
		m.swapProbeOrder(at, peer.index)
	}
}

func (m *Members) swapProbeOrder(i, j int) {
	m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	m.probeOrder[i].index, m.probeOrder[j].index = i, j
}

// removeFromProbeOrder removes a peer, such that no other peer is probed twice or skipped in this round.
func (m *Members) removeFromProbeOrder(peer *peerState) {
	at := peer.index
	if at < m.nextProbe {
		m.nextProbe--
		m.swapProbeOrder(at, m.nextProbe)
		at = m.nextProbe
	}
	last := len(m.probeOrder) - 1
	m.swapProbeOrder(at, last)
	m.probeOrder = m.probeOrder[:last]
}

// updatePeer applies a record that supersedes the known one.
func (m *Members) updatePeer(now int64, peer *peerState, record Record, via string) {
	previous := peer.Record
	m.toggleChecksum(peer)
	age := int64(record.Age) * 1e9
	record.Age = 0
	if peer.Record, peer.stateSince, peer.source = record, now-age, via; previous.Health == Suspect {
		m.suspects = slices.DeleteFunc(m.suspects, func(suspect *peerState) bool { return suspect == peer })
	}
	m.toggleChecksum(peer)
	previousAccusers := peer.accusers
	switch {
	case previous.isLive() && !peer.isLive():
		m.removeFromProbeOrder(peer)
		peer.index, m.inactive = len(m.inactive), append(m.inactive, peer)
	case !previous.isLive() && peer.isLive():
		m.removeInactive(peer)
		m.insertIntoProbeOrder(peer)
	}
	peer.accusers = nil
	if record.Health == Suspect {
		m.startSuspicion(now, peer)
	}
	if newRun := record.RunID != previous.RunID; newRun || previous.isLive() != peer.isLive() {
		m.liveSetChanged(now)
	}
	m.enqueueRumor(peer)
	if record.Health == previous.Health && record.RunID == previous.RunID { // it refuted a suspicion, or changed its address
		return
	}
	change := Change{
		Record: record, Previous: previous.Health, Known: true,
		NewRun: record.RunID != previous.RunID, Via: via, SilentFor: -1,
	}
	if record.Health >= Suspect {
		change.Accusers = previousAccusers
		if record.Health == Suspect {
			change.Accusers = peer.accusers
		}
	}
	if peer.lastHeard > 0 {
		change.SilentFor = now - peer.lastHeard
	}
	m.delegate.MemberChanged(change)
}

// handleSelfRecord takes in what others report under this instance's name.
func (m *Members) handleSelfRecord(now int64, record Record) {
	if m.hasLeft {
		return
	}
	if record.RunID == m.self.RunID {
		if record.Health != Alive && record.Incarnation >= m.selfPeer.Incarnation {
			m.raiseIncarnation(now, record.Incarnation)
			if record.Health < Left { // a slow instance is suspected by others before it notices itself
				m.adjustHealthScore(1)
			}
		}
		return
	}
	// The record is of an earlier run, or of another process with the same name. Both are overridden; a probe of its
	// address then tells which one it is, as any record may be stale.
	if current := m.selfPeer.Record; record.supersedes(&current) {
		m.raiseIncarnation(now, record.Incarnation)
	}
	if record.isLive() && record.Address != m.self.Address {
		m.challengeDuplicate(now, record)
	}
}

// raiseIncarnation sets this instance's incarnation above the given one and spreads the new record.
func (m *Members) raiseIncarnation(now int64, over uint32) {
	m.toggleChecksum(m.selfPeer)
	m.selfPeer.Incarnation, m.selfPeer.stateSince = min(max(m.selfPeer.Incarnation, over)+1, MaxIncarnation), now
	m.toggleChecksum(m.selfPeer)
	m.enqueueRumor(m.selfPeer)
}

// Leave announces that this instance has ended its work. It announces nothing about itself after that.
func (m *Members) Leave(now int64) {
	if m.selfPeer.Health == Left {
		return
	}
	if m.hasLeft {
		m.selfPeer.Incarnation++ // it was removed by an operator before, and ends now
	}
	m.announceDeparture(now, Left, "")
}

// RemoveSelf removes this instance from the fleet on behalf of an operator, while it continues its work. To others it
// counts as failed: nobody asks it for anything, but it may still be sending requests.
func (m *Members) RemoveSelf(now int64, by string) {
	if !m.hasLeft {
		m.announceDeparture(now, Failed, by)
	}
}

// announceDeparture announces this instance's final state. A removed instance that ends later announces once more,
// from Leave.
func (m *Members) announceDeparture(now int64, health Health, by string) {
	m.toggleChecksum(m.selfPeer)
	m.hasLeft, m.selfPeer.Health, m.selfPeer.By, m.selfPeer.stateSince = true, health, by, now
	m.enqueueRumor(m.selfPeer)
	for _, peer := range m.randomPeers(leaveFanout, nil) {
		m.send(peer.Address, peer, &Message{Kind: Gossip})
	}
	m.gossipAt = now
}

// RemoveFailed marks an unreachable member as gone for good on behalf of an operator: nobody waits for it or counts
// it any more. It returns false for unknown and for live members; a live one has to leave by itself.
func (m *Members) RemoveFailed(now int64, name, by string) bool {
	peer := m.peers[name]
	if peer == nil || peer.isLive() {
		return false
	}
	record := peer.Record
	if record.Health, record.By = Left, by; record.supersedes(&peer.Record) {
		m.updatePeer(now, peer, record, m.self.Name)
	}
	return true
}

// randomPeers returns up to n distinct random live peers for which skip is false.
func (m *Members) randomPeers(n int, skip func(*peerState) bool) (peers []*peerState) {
	for tries := 0; tries < 3*n && len(peers) < n && len(peers) < len(m.probeOrder); tries++ {
		peer := m.probeOrder[m.randIntn(len(m.probeOrder))]
		if !slices.Contains(peers, peer) && (skip == nil || !skip(peer)) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// RandomAddresses returns the addresses of up to n distinct random healthy members of a kind.
func (m *Members) RandomAddresses(kind Kind, n int) (addresses []string) {
	for _, peer := range m.randomPeers(n, func(peer *peerState) bool { return peer.Kind != kind || peer.Health != Alive }) {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// log2Live returns the base-2 logarithm of the number of live members, rounded up and at least 1.
func (m *Members) log2Live() int { return max(1, bits.Len(uint(len(m.probeOrder)))) }

// HealthScore returns this instance's local health score (Lifeguard): 0 is healthy; a higher score makes it wait
// longer before it suspects others.
func (m *Members) HealthScore() int { return m.healthScore }
