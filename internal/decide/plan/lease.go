package plan

import (
	"slices"
)

// The lease protocol. Each forwarder has a share of what a node may be sent, which is safe for it alone, however many
// forwarders there are: all shares together keep the node's limit. Leases move shares between forwarders: a forwarder
// pledges its share to one planner, and the planner lends the shares pledged to it to the forwarders that want them, by
// demand. Whatever planners do, and even if they restart, fail or disagree, what all forwarders use together stays within
// the sum of their shares. A forwarder that has pledged its share to no planner uses it itself. This holds
// because of four rules:
//
//  1. A pledge binds for two terms of its owner's clock, from when the request was sent. Until then the owner uses its
//     lease or, once that has ended, the floor of its share, which is never lent. It pledges to no other planner before
//     the pledge has ended.
//  2. A lease lasts for one term of the holder's clock, from when the holder *sent* its request. So a reply that is
//     delayed, or that a paused planner sends long after the request, carries a lease that has already ended.
//  3. A planner counts a pledge only as long as it certainly binds for another term: until two terms, less one, after the
//     planner sent the reply that the request acknowledges. The delay of the request itself does not matter.
//  4. A planner that starts lends nothing for one term, since an earlier run of it may have lent everything. A
//     forwarder that starts uses only the floor and pledges nothing for two terms, since an earlier run of it may have
//     pledged its share.
//
// Clocks need not agree, but within two terms they must not drift apart by more than one part in DriftDivisor.

// DriftDivisor bounds how far two clocks may drift apart: by one part in DriftDivisor of the time that passes.
const DriftDivisor = 16

// pledgeTerms is how long a pledge binds, in terms of a lease.
const pledgeTerms = 2

// LeaseRequest is what a forwarder sends to a planner about one node: it pledges its share, says how much it could use, and
// acknowledges the planner's replies.
type LeaseRequest struct {
	RunID     RunID  `msgpack:"Life"`
	Seq       uint64 // number of the request, counted from 1 over all planners
	Planner   RunID  // the planner's run whose reply it acknowledges; 0: none
	Ack       uint64 // number of the latest reply received; 0: none
	Share     int64
	Want      int64
	MinUseful int64 `msgpack:"Least"` // least amount that is of use, which is the work of one request; 0: any amount
}

// LeaseReply is a planner's answer.
type LeaseReply struct {
	RunID      RunID  `msgpack:"Life"`
	Seq        uint64 // number of the reply, counted from 1 over all replies of this run about the node
	To         RunID  // the forwarder's run that sent the request
	RequestSeq uint64 `msgpack:"Asked"` // number of the request that it answers
	Lease      int64
}

// Holder is the forwarder's side of the protocol, for one node.
type Holder struct {
	runID          RunID
	term           int64
	quarantineEnds int64 // until when a pledge of an earlier run may bind

	seq          uint64
	requests     [4]sentMessage // the latest requests, by number modulo the array's length
	planner      string         // to which the share is, or was last, pledged
	pledgedUntil int64
	plannerRunID RunID  // that sent the latest reply
	ack          uint64 // number of the latest reply

	answered  uint64 // number of the latest request that was answered
	lease     int64
	leaseEnds int64
}

type sentMessage struct {
	seq uint64
	at  int64
}

// NewHolder starts a forwarder's side. Every run of a forwarder needs a RunID of its own.
func NewHolder(runID RunID, term, now int64) *Holder {
	return &Holder{runID: runID, term: term, quarantineEnds: now + pledgeTerms*term}
}

// MayRequest reports whether the share may be pledged to the planner now.
func (h *Holder) MayRequest(now int64, planner string) bool {
	return now >= h.quarantineEnds && (planner == h.planner || now >= h.pledgedUntil)
}

// Request pledges the share and returns the request to send. MayRequest must have allowed it.
func (h *Holder) Request(now int64, planner string, share, want, minUseful int64) LeaseRequest {
	if planner != h.planner {
		h.planner, h.plannerRunID, h.ack, h.leaseEnds = planner, 0, 0, 0
		h.requests = [len(h.requests)]sentMessage{}
	}
	h.seq++
	h.requests[h.seq%uint64(len(h.requests))] = sentMessage{h.seq, now}
	h.pledgedUntil = now + pledgeTerms*h.term
	return LeaseRequest{h.runID, h.seq, h.plannerRunID, h.ack, share, want, minUseful}
}

// HandleReply processes a planner's reply. Late, duplicate and reordered replies do no harm.
func (h *Holder) HandleReply(now int64, planner string, reply LeaseReply) {
	if reply.To != h.runID || planner != h.planner {
		return
	}
	request := h.requests[reply.RequestSeq%uint64(len(h.requests))]
	if request.seq != reply.RequestSeq || reply.RequestSeq == 0 || reply.RequestSeq <= h.answered {
		return
	}
	if reply.RunID != h.plannerRunID {
		h.plannerRunID, h.ack = reply.RunID, 0
	}
	h.ack, h.answered = max(h.ack, reply.Seq), reply.RequestSeq
	h.lease, h.leaseEnds = reply.Lease, request.at+h.term
}

// Allowance returns how much the forwarder, whose own share is given, may use now: its lease; without a lease the floor of
// its share, while the share is or may be pledged; otherwise its share.
func (h *Holder) Allowance(now, share int64) int64 {
	switch {
	case now < h.leaseEnds:
		return h.lease
	case now < h.pledgedUntil || now < h.quarantineEnds:
		return floorOf(share)
	}
	return share
}

// Status returns the lease and when it ends, and until when only the floor may be used without a lease.
func (h *Holder) Status() (lease, leaseEnds, floorUntil int64) {
	return h.lease, h.leaseEnds, max(h.pledgedUntil, h.quarantineEnds)
}

// Planner returns the planner to which the share is, or was last, pledged.
func (h *Holder) Planner() string { return h.planner }

// PlannerSilent reports whether the planner has left a request unanswered for a term. The forwarder should then send it no
// more requests, so that the pledge ends and another planner can be asked.
func (h *Holder) PlannerSilent(now int64) bool {
	return now < h.pledgedUntil && now >= h.leaseEnds && h.seq > h.answered && now-h.pledgedUntil+pledgeTerms*h.term >= 0 &&
		h.oldestUnanswered() <= now-h.term
}

// oldestUnanswered returns when the oldest remembered request without an answer was sent.
func (h *Holder) oldestUnanswered() int64 {
	oldest := int64(1<<63 - 1)
	for _, request := range h.requests {
		if request.seq > h.answered {
			oldest = min(oldest, request.at)
		}
	}
	return oldest
}

// Pool is the planner's side of the protocol, for one node.
type Pool struct {
	runID         RunID
	term          int64
	lendingStarts int64 // when every lease of an earlier run of this planner has ended
	seq           uint64
	members       map[RunID]*member
}

// member is one run of a forwarder, with its pledge and its leases.
type member struct {
	seq            uint64
	share, want    int64
	minUseful      int64
	lastServed     int64           // when it last got at least minUseful
	pledgeProvenAt int64           // when the reply was sent that its latest request acknowledges; valid if pledgeProven
	pledgeProven   bool            // it has acknowledged a reply
	replies        [8]sentMessage  // the latest replies to it, by number modulo the array's length
	leases         [8]grantedLease // the latest leases that may not have ended
	lastRequest    int64
}

type grantedLease struct{ amount, endsAt int64 }

// NewPool starts a planner's side. Every run of a planner needs a RunID of its own.
func NewPool(runID RunID, term, now int64) *Pool {
	return &Pool{runID: runID, term: term, lendingStarts: now + term + term/DriftDivisor, members: map[RunID]*member{}}
}

// pledgeCounts reports whether the member's pledge certainly binds for another term.
func (p *Pool) pledgeCounts(m *member, now int64) bool {
	return m.pledgeProven && m.pledgeProvenAt+pledgeTerms*(p.term-p.term/DriftDivisor) >= now+p.term
}

// outstanding returns the largest lease that the member may be using.
func (m *member) outstanding(now int64) (most int64) {
	for _, l := range m.leases {
		if l.endsAt > now {
			most = max(most, l.amount)
		}
	}
	return most
}

// HandleRequest processes a request and answers it. Old and duplicate requests get no answer.
func (p *Pool) HandleRequest(now int64, request LeaseRequest) (reply LeaseReply, answer bool) {
	m := p.members[request.RunID]
	if m == nil {
		m = &member{}
		p.members[request.RunID] = m
	}
	if request.Seq <= m.seq {
		return reply, false
	}
	m.seq, m.want, m.minUseful, m.lastRequest = request.Seq, max(request.Want, request.MinUseful), request.MinUseful, now
	if request.Planner == p.runID {
		if sent := m.replies[request.Ack%uint64(len(m.replies))]; request.Ack > 0 && sent.seq == request.Ack {
			m.pledgeProvenAt, m.pledgeProven = sent.at, true
		}
	}
	// A larger share can be lent from at once. After a smaller one the old floor stays reserved as long as leases that were
	// granted with it are outstanding.
	m.share = request.Share
	p.seq++
	m.replies[p.seq%uint64(len(m.replies))] = sentMessage{p.seq, now}
	reply = LeaseReply{p.runID, p.seq, request.RunID, request.Seq, p.computeLease(m, now)}
	p.recordLease(m, grantedLease{reply.Lease, now + p.term + p.term/DriftDivisor}, now)
	return reply, true
}

// recordLease adds the lease to the outstanding ones of the member. If all slots are taken, it is merged with the lease that
// ends first: the larger amount counts until the later end.
func (p *Pool) recordLease(m *member, lease grantedLease, now int64) {
	slot := 0
	for i, other := range m.leases {
		if other.endsAt <= now {
			slot = i
			break
		}
		if other.endsAt < m.leases[slot].endsAt {
			slot = i
		}
	}
	if other := m.leases[slot]; other.endsAt > now {
		lease.amount = max(lease.amount, other.amount)
	}
	m.leases[slot] = lease
}

// computeLease returns the member's lease: its max-min fair part of everything that is pledged, as far as that is not
// outstanding, and at least the floor of its share.
func (p *Pool) computeLease(m *member, now int64) int64 {
	floor := floorOf(m.share)
	if now < p.lendingStarts || !p.pledgeCounts(m, now) {
		return floor
	}
	pledged, outstanding := int64(0), int64(0)
	wants, own := make([]int64, 0, len(p.members)), 0
	for _, other := range p.members {
		counted := p.pledgeCounts(other, now)
		if counted {
			pledged += other.share
		}
		if other != m {
			reserved := other.outstanding(now)
			if counted {
				reserved = max(reserved, floorOf(other.share))
			}
			outstanding += reserved
		}
		if counted {
			if other == m {
				own = len(wants)
			}
			wants = append(wants, max(other.want, floorOf(other.share)))
		}
	}
	part := min(MaxMinFair(pledged, wants)[own], pledged-outstanding)
	if part < m.minUseful { // too small to be of use: members take turns with what the pool can lend
		part = 0
		// Only the members that were served longest ago get a lease now, as many as the pool suffices for. Otherwise
		// those that happen to ask first would get everything.
		if m.minUseful > 0 && p.waitingLonger(m, now) < (pledged-outstanding)/m.minUseful {
			part = m.minUseful
		}
	}
	if part >= m.minUseful {
		m.lastServed = now
	}
	return max(floor, part)
}

// waitingLonger counts the members that were last served before this one.
func (p *Pool) waitingLonger(m *member, now int64) (count int64) {
	for _, other := range p.members {
		if other != m && p.pledgeCounts(other, now) && other.lastServed < m.lastServed {
			count++
		}
	}
	return count
}

// RemoveExpired removes the members whose pledges no longer count and that hold no lease.
func (p *Pool) RemoveExpired(now int64) {
	for runID, m := range p.members {
		if !p.pledgeCounts(m, now) && m.outstanding(now) == 0 && now-m.lastRequest > pledgeTerms*p.term {
			delete(p.members, runID)
		}
	}
}

// MaxMinFair divides an amount by demand with max-min fairness: nobody gets more than it wants while another wants more, and
// nobody's part could be larger without making a part smaller that is no larger than it. What remains when all demands are
// met is divided evenly. Of equal demands, the later ones get the remainders of
// divisions.
func MaxMinFair(amount int64, wants []int64) (parts []int64) {
	parts = make([]int64, len(wants))
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case wants[a] < wants[b]:
			return -1
		case wants[a] > wants[b]:
			return 1
		}
		return 0
	})
	remaining := max(amount, 0)
	for k, i := range order {
		parts[i] = min(max(wants[i], 0), remaining/int64(len(order)-k))
		remaining -= parts[i]
	}
	for k, i := range order {
		extra := remaining / int64(len(order)-k)
		parts[i] += extra
		remaining -= extra
	}
	return parts
}

// Empty reports whether the pool has no members.
func (p *Pool) Empty() bool { return len(p.members) == 0 }

// Totals returns the number of members, the sum of the pledged shares, and the most that may be in use by leases.
func (p *Pool) Totals(now int64) (members int, pledged, outstanding int64) {
	for _, m := range p.members {
		if p.pledgeCounts(m, now) {
			pledged += m.share
		}
		outstanding += m.outstanding(now)
	}
	return len(p.members), pledged, outstanding
}
