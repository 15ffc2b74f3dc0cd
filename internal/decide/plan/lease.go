package plan

import (
	"slices"
)

// The lease protocol. Each forwarder has a share of what a node may be sent that is safe for it alone, however many
// forwarders there are: the shares together keep the rule. A lease moves shares about: a forwarder pledges its share to one
// planner, and the planner lends what is pledged to it to those that want it, by demand. So whatever planners do, restart,
// lose or disagree about, what all forwarders use together stays within the sum of their shares; forwarders that no planner
// has heard of use their own and are no part of it. This is why it holds:
//
//  1. A pledge binds for two terms of its owner's clock from when it was sent. Till then the owner uses its lease, or, when
//     that has ended, the floor of its share, which is never lent. It pledges to no other planner before that.
//  2. A lease lasts for one term of the holder's clock from when it *asked*. So one that comes late, or that a paused
//     planner sends long after, is over already.
//  3. A planner counts a pledge only as long as it surely binds for another term: two terms from when the planner sent the
//     word that the asking acknowledges, less one. What the asking's own delay was does not matter.
//  4. A planner that starts lends nothing for a term, as an earlier life of it may have lent all; and a forwarder that starts
//     keeps to the floor and pledges nothing for two, as an earlier life of it may have pledged its share.
//
// Clocks need not agree; they must not run apart by more than one part in Drift within two terms.

// Drift is how far clocks may run apart, as one part in so many.
const Drift = 16

// Terms of a pledge, in terms of a lease.
const pledged = 2

// Ask is what a forwarder says to a planner of one node: it pledges its share, says what it could use, and how far it has
// heard the planner.
type Ask struct {
	Life    Life
	Seq     uint64 // of this life's asks to any planner, from 1 on
	Planner Life   // whose word it acknowledges,
	Ack     uint64 // the latest that it has heard; 0: none
	Share   int64
	Want    int64
	Least   int64 // what is of any use: the work of one request; 0: whatever there is
}

// Say is a planner's answer.
type Say struct {
	Life  Life
	Seq   uint64 // of this life's words about the node, from 1 on
	To    Life
	Asked uint64 // what it answers
	Lease int64
}

// Holder is a forwarder's side, for one node.
type Holder struct {
	life  Life
	term  int64
	fresh int64 // until when an earlier life's pledge may bind

	seq     uint64
	asked   [4]sent // the latest asks
	planner string  // to whom the share is pledged
	bound   int64   // until when
	heard   Life    // the planner's life, and its latest word
	ack     uint64

	answered uint64 // the latest ask that was answered
	lease    int64
	ends     int64
}

type sent struct {
	seq uint64
	at  int64
}

// NewHolder starts a forwarder's side. Every life of a forwarder has another number.
func NewHolder(life Life, term, now int64) *Holder {
	return &Holder{life: life, term: term, fresh: now + pledged*term}
}

// MayAsk tells whether the share may be pledged to the planner now.
func (h *Holder) MayAsk(now int64, planner string) bool {
	return now >= h.fresh && (planner == h.planner || now >= h.bound)
}

// Ask pledges the share. MayAsk must have allowed it.
func (h *Holder) Ask(now int64, planner string, share, want, least int64) Ask {
	if planner != h.planner {
		h.planner, h.heard, h.ack, h.ends = planner, 0, 0, 0
		h.asked = [len(h.asked)]sent{}
	}
	h.seq++
	h.asked[h.seq%uint64(len(h.asked))] = sent{h.seq, now}
	h.bound = now + pledged*h.term
	return Ask{h.life, h.seq, h.heard, h.ack, share, want, least}
}

// Heard takes in a planner's word. Words that come late, twice or out of order do no harm.
func (h *Holder) Heard(now int64, planner string, s Say) {
	if s.To != h.life || planner != h.planner {
		return
	}
	a := h.asked[s.Asked%uint64(len(h.asked))]
	if a.seq != s.Asked || s.Asked == 0 || s.Asked <= h.answered {
		return
	}
	if s.Life != h.heard {
		h.heard, h.ack = s.Life, 0
	}
	h.ack, h.answered = max(h.ack, s.Seq), s.Asked
	h.lease, h.ends = s.Lease, a.at+h.term
}

// Use is how much the forwarder may use now, whose own share is that: its lease; without one the floor, while its share is
// or may be pledged; else the share.
func (h *Holder) Use(now, share int64) int64 {
	switch {
	case now < h.ends:
		return h.lease
	case now < h.bound || now < h.fresh:
		return floor(share)
	}
	return share
}

// Stands is the lease and when it ends, and until when nothing but the floor may be used without one.
func (h *Holder) Stands() (lease, ends, kept int64) { return h.lease, h.ends, max(h.bound, h.fresh) }

// Planner is to whom the share is pledged, or was last.
func (h *Holder) Planner() string { return h.planner }

// Silent tells whether the planner has not answered for a term though it was asked: another one may be asked once the pledge
// no longer binds, and until then this one should not be.
func (h *Holder) Silent(now int64) bool {
	return now < h.bound && now >= h.ends && h.seq > h.answered && now-h.bound+pledged*h.term >= 0 && h.firstOpen() <= now-h.term
}

// firstOpen is when the earliest remembered ask was sent that has no answer.
func (h *Holder) firstOpen() int64 {
	first := int64(1<<63 - 1)
	for _, a := range h.asked {
		if a.seq > h.answered {
			first = min(first, a.at)
		}
	}
	return first
}

// Pool is a planner's side, for one node.
type Pool struct {
	life  Life
	term  int64
	opens int64 // when every lease of an earlier life of this planner has ended
	seq   uint64
	of    map[Life]*member
}

// member is one life of one forwarder.
type member struct {
	seq         uint64
	share, want int64
	least       int64
	served      int64   // when it last got at least that
	proven      int64   // when the word was sent that its latest ask acknowledges; counted only if known
	known       bool    // it has acknowledged a word
	said        [8]sent // the latest words to it
	leases      [8]lent // the latest that may not have ended
	heard       int64
}

type lent struct{ amount, ends int64 }

// NewPool starts a planner's side. Every life of a planner has another number.
func NewPool(life Life, term, now int64) *Pool {
	return &Pool{life: life, term: term, opens: now + term + term/Drift, of: map[Life]*member{}}
}

// counts tells whether the member's pledge surely binds for another term.
func (p *Pool) counts(m *member, now int64) bool {
	return m.known && m.proven+pledged*(p.term-p.term/Drift) >= now+p.term
}

// out is the most that the member may be using by a lease.
func (m *member) out(now int64) (most int64) {
	for _, l := range m.leases {
		if l.ends > now {
			most = max(most, l.amount)
		}
	}
	return most
}

// Asked takes in an ask and answers it. One that is old or doubled gets no answer.
func (p *Pool) Asked(now int64, a Ask) (s Say, answer bool) {
	m := p.of[a.Life]
	if m == nil {
		m = &member{}
		p.of[a.Life] = m
	}
	if a.Seq <= m.seq {
		return s, false
	}
	m.seq, m.want, m.least, m.heard = a.Seq, max(a.Want, a.Least), a.Least, now
	if a.Planner == p.life {
		if k := m.said[a.Ack%uint64(len(m.said))]; a.Ack > 0 && k.seq == a.Ack {
			m.proven, m.known = k.at, true
		}
	}
	// A share that grows is lent from as it grows; the floor of one that shrinks is kept as it was while it is counted.
	m.share = a.Share
	p.seq++
	m.said[p.seq%uint64(len(m.said))] = sent{p.seq, now}
	s = Say{p.life, p.seq, a.Life, a.Seq, p.lease(m, now)}
	p.note(m, lent{s.Lease, now + p.term + p.term/Drift}, now)
	return s, true
}

// note keeps the lease among those that may be out. Where all places are taken the two that end first are kept as one.
func (p *Pool) note(m *member, l lent, now int64) {
	k := 0
	for i, o := range m.leases {
		if o.ends <= now {
			k = i
			break
		}
		if o.ends < m.leases[k].ends {
			k = i
		}
	}
	if o := m.leases[k]; o.ends > now {
		l.amount = max(l.amount, o.amount) // both until the later end
	}
	m.leases[k] = l
}

// lease is what the member gets: its max-min fair part of all that is pledged, as far as that is not out.
func (p *Pool) lease(m *member, now int64) int64 {
	least := floor(m.share)
	if now < p.opens || !p.counts(m, now) {
		return least
	}
	pool, out := int64(0), int64(0)
	wants, own := make([]int64, 0, len(p.of)), 0
	for _, o := range p.of {
		counted := p.counts(o, now)
		if counted {
			pool += o.share
		}
		if o != m {
			reserved := o.out(now)
			if counted {
				reserved = max(reserved, floor(o.share))
			}
			out += reserved
		}
		if counted {
			if o == m {
				own = len(wants)
			}
			wants = append(wants, max(o.want, floor(o.share)))
		}
	}
	part := min(Fair(pool, wants)[own], pool-out)
	if part < m.least { // of no use: so many get what is, in turn
		part = 0
		// Only the longest unserved of those that there is room for: else those who happen to ask first would have all.
		if m.least > 0 && p.turn(m, now) < (pool-out)/m.least {
			part = m.least
		}
	}
	if part >= m.least {
		m.served = now
	}
	return max(least, part)
}

// turn is how many members come before this one, by when they were last served.
func (p *Pool) turn(m *member, now int64) (before int64) {
	for _, o := range p.of {
		if o != m && p.counts(o, now) && o.served < m.served {
			before++
		}
	}
	return before
}

// Tidy lets go of members that neither count nor hold anything any more.
func (p *Pool) Tidy(now int64) {
	for life, m := range p.of {
		if !p.counts(m, now) && m.out(now) == 0 && now-m.heard > pledged*p.term {
			delete(p.of, life)
		}
	}
}

// Fair divides an amount by demand, max-min fair: nobody gets more than it wants, and nobody could get more without another
// getting less who has no more than it. What is left when all have what they want is divided evenly. Of equals the earlier
// get what does not divide.
func Fair(amount int64, wants []int64) (parts []int64) {
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
	left := max(amount, 0)
	for k, i := range order {
		parts[i] = min(max(wants[i], 0), left/int64(len(order)-k))
		left -= parts[i]
	}
	for k, i := range order {
		more := left / int64(len(order)-k)
		parts[i] += more
		left -= more
	}
	return parts
}

// Idle tells whether nobody is left.
func (p *Pool) Idle() bool { return len(p.of) == 0 }

// Sums are how many lives there are, what is pledged, and what may be out.
func (p *Pool) Sums(now int64) (members int, pledged, out int64) {
	for _, m := range p.of {
		if p.counts(m, now) {
			pledged += m.share
		}
		out += m.out(now)
	}
	return len(p.of), pledged, out
}
