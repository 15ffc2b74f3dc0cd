package members

// MessageKind is the purpose of a datagram.
type MessageKind uint8

// The kinds of messages.
const (
	Ping    MessageKind = iota // requests an Ack with the same Seq
	Ack                        // answers a Ping; Target is the member that answered, if not From
	PingReq                    // asks to ping Target on behalf of From
	Nack                       // reports that Target did not answer a relayed ping
	Gossip                     // carries rumors only
)

// Message is a datagram. It is encoded as an array, so the order of its fields is the wire format.
type Message struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack   struct{} `msgpack:",as_array"`
	Kind       MessageKind
	Seq        uint64
	From       Record
	Target     *Record
	ViewNumber uint64 // of the sender's view, as ViewDigest
	ViewDigest uint64
	Checksum   uint64 // over the sender's live records
	Rumors     []Record
}

// messageOverhead bounds the encoded size of a message beside its records, in bytes.
const messageOverhead = 56

// The queue has two lanes for each number of transmissions: one for members that are not alive, one for the others.
const (
	maxTransmits = 32 // bounds retransmitMultiplier * log2 of MaxMembers
	laneCount    = 2 * maxTransmits
)

// rumorQueue holds the members whose records are to be gossiped: those sent least often first; among these, members
// that are not alive first, then the newest. Every operation takes constant time, as thousands are queued at each
// instance when hundreds start together.
type rumorQueue struct {
	lanes     [laneCount][]*peerState
	count     int
	firstLane int // all lanes before this one are empty
}

// laneOf returns the lane for a peer by its transmissions and urgency.
func laneOf(peer *peerState) int {
	if peer.Health > Alive {
		return 2 * min(peer.transmits, maxTransmits-1)
	}
	return 2*min(peer.transmits, maxTransmits-1) + 1
}

// push adds a peer that is not queued.
func (q *rumorQueue) push(peer *peerState) {
	peer.lane = laneOf(peer)
	peer.laneIndex = len(q.lanes[peer.lane])
	q.lanes[peer.lane] = append(q.lanes[peer.lane], peer)
	q.count++
	q.firstLane = min(q.firstLane, peer.lane)
}

// remove removes a peer, if it is queued.
func (q *rumorQueue) remove(peer *peerState) {
	if peer.laneIndex < 0 {
		return
	}
	in := q.lanes[peer.lane]
	last := in[len(in)-1]
	in[peer.laneIndex], last.laneIndex = last, peer.laneIndex
	in[len(in)-1] = nil
	q.lanes[peer.lane], peer.laneIndex = in[:len(in)-1], -1
	q.count--
}

// peek returns the peer to be sent next, or nil if the queue is empty.
func (q *rumorQueue) peek() *peerState {
	if q.count == 0 {
		q.firstLane = laneCount
		return nil
	}
	for len(q.lanes[q.firstLane]) == 0 {
		q.firstLane++
	}
	in := q.lanes[q.firstLane]
	return in[len(in)-1]
}

// enqueueRumor queues a member's record for gossip and resets its transmissions.
func (m *Members) enqueueRumor(peer *peerState) {
	if m.suppressGossip && peer != m.selfPeer {
		return
	}
	m.rumors.remove(peer)
	peer.transmits = 0
	m.rumors.push(peer)
}

// countRedundantRumor counts a rumor heard from another member like a transmission: the more often a rumor is heard,
// the less often it needs to be sent (feedback and counters of Demers et al. 1987).
func (m *Members) countRedundantRumor(peer *peerState) {
	if peer.laneIndex < 0 {
		return
	}
	m.rumors.remove(peer)
	if peer.transmits++; peer.transmits < retransmitMultiplier*m.log2Live() {
		m.rumors.push(peer)
	}
}

// send sends a message with as many rumors as fit. If the recipient is suspected, failed or has left, its own record
// goes first, so that it can refute it at once.
func (m *Members) send(to string, recipient *peerState, message *Message) {
	message.From, message.ViewNumber, message.ViewDigest, message.Checksum =
		m.selfPeer.Record, m.viewNumber, m.viewDigest, m.checksum
	remaining := MaxDatagramBytes - messageOverhead - message.From.encodedBound()
	if message.Target != nil {
		remaining -= message.Target.encodedBound()
	}
	for i := range message.Rumors {
		remaining -= message.Rumors[i].encodedBound()
	}
	add := func(record Record) bool {
		if remaining -= record.encodedBound(); remaining < 0 || len(message.Rumors) >= MaxRumors {
			return false
		}
		message.Rumors = append(message.Rumors, record)
		return true
	}
	if recipient != nil && recipient.Health != Alive {
		add(recipient.Record)
	}
	limit, included := retransmitMultiplier*m.log2Live(), make([]*peerState, 0, 32)
	for peer := m.rumors.peek(); peer != nil && len(included) < MaxRumors; peer = m.rumors.peek() {
		if peer != recipient || peer.Health == Alive { // else its record was added above
			if !add(peer.Record) {
				break
			}
			peer.transmits++
		}
		m.rumors.remove(peer)
		included = append(included, peer)
	}
	for _, peer := range included {
		if peer.transmits < limit {
			m.rumors.push(peer)
		}
	}
	m.delegate.Send(to, message)
}

// HandleMessage handles a datagram. Its records must be within the bounds; see the constants of this package.
func (m *Members) HandleMessage(now int64, message *Message) {
	m.detectPause(now)
	if m.hasLeft {
		return
	}
	from := message.From.Name
	m.applyRecord(now, message.From, from)
	peer := m.peers[from]
	if peer != nil && peer.RunID == message.From.RunID {
		if peer.lastHeard = now; !peer.isLive() { // it is alive and does not know yet that it counts as inactive
			m.checksumMismatches = mismatchesBeforeExchange
		}
	}
	for _, record := range message.Rumors {
		m.applyRecord(now, record, from)
	}
	if m.joinedAt == 0 && from != m.self.Name {
		m.joinedAt = now
	}
	m.handleView(now, message)
	switch message.Kind {
	case Ping:
		answer := &Message{Kind: Ack, Seq: message.Seq}
		if peer != nil && peer.RunID != message.From.RunID { // a new run, which does not know what it has to supersede
			answer.Rumors = append(answer.Rumors, peer.Record)
		}
		m.send(message.From.Address, peer, answer)
	case PingReq:
		m.relayProbe(now, message)
	case Ack:
		m.handleAck(now, message)
	case Nack:
		if message.Seq == m.probe.seq && message.Target != nil {
			m.probe.nacks++
		}
	}
	if peer != nil {
		m.compareChecksum(now, peer, message.Checksum)
	}
}

// Size returns an upper bound of the message's encoded size in bytes.
func (message *Message) Size() int {
	n := messageOverhead + message.From.encodedBound()
	if message.Target != nil {
		n += message.Target.encodedBound()
	}
	for i := range message.Rumors {
		n += message.Rumors[i].encodedBound()
	}
	return n
}
