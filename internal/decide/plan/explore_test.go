package plan

import (
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// The exhaustive exploration: two planners, two forwarders, one cold node, in steps of a clock that all share (they need not
// know). Words may be lost, doubled, overtaken and late; any program may restart at any moment; a forwarder asks any planner
// that it may ask; a paused planner is one whose words come late. Every state that can be reached within the bounds is
// visited once, and in each the forwarders together must not use more than their shares.

const (
	xTerm   = 2 // steps
	xShare  = 8
	xSilent = 99
	xMost   = 3_000_000
)

// broken are ways to break the protocol on purpose.
type broken struct {
	fromReceipt  bool // a lease lasts from when its word comes, not from the asking
	noProof      bool // a planner counts a pledge from when it comes
	noQuarantine bool // a forwarder that starts goes on at once
	twoPledges   bool // a forwarder asks another planner while its pledge binds
	noOpening    bool // a planner that starts lends at once
}

// bounds of what is explored.
type bounds struct {
	restarts int  // in all
	doubles  bool // words may come twice
	steps    int  // of the clock
	words    int  // under way at a time
	wants    byte // the forwarder that would use all, while the other wants nothing
}

type xWord struct {
	to      byte // forwarder 0, 1 or planner 2, 3
	from    byte
	ask     Ask
	say     Say
	isAsk   bool
	doubled bool
}

type xState struct {
	now      int64
	holders  [2]Holder
	pools    [2]Pool
	words    []xWord
	restarts int
	lives    Life
	asked    [2]bool // in this step of the clock; once is enough, as it asks again in the next
}

func (s *xState) clone() *xState {
	c := *s
	for i := range c.pools {
		of := make(map[Life]*member, len(s.pools[i].of))
		for l, m := range s.pools[i].of {
			k := *m
			of[l] = &k
		}
		c.pools[i].of = of
	}
	c.words = slices.Clone(s.words)
	return &c
}

// key is the state but for what no step depends on: times are told from now, numbers of words from the latest, and what
// is over is left out.
func (s *xState) key() string {
	var b []byte
	num := func(n int64) { b = binary.AppendVarint(b, n) }
	rel := func(t int64) {
		if t <= s.now-2*xTerm-1 {
			num(-xSilent)
		} else {
			num(t - s.now)
		}
	}
	// Lives are told by who they are now: the current one of each, or an earlier one by its order.
	life := func(l Life) {
		switch l {
		case 0:
			num(0)
		case s.holders[0].life:
			num(1)
		case s.holders[1].life:
			num(2)
		case s.pools[0].life:
			num(3)
		case s.pools[1].life:
			num(4)
		default:
			num(5 + int64(s.lives-l))
		}
	}
	num(int64(s.restarts))
	for _, a := range s.asked {
		if num(0); a {
			num(1)
		}
	}
	for i := range s.holders {
		h := &s.holders[i]
		rel(max(h.fresh, s.now))
		rel(max(h.bound, s.now))
		rel(max(h.ends, s.now))
		if h.ends > s.now {
			num(h.lease)
		}
		if h.planner == "" {
			num(0)
		} else {
			num(int64(h.planner[0]))
		}
		life(h.heard)
		if h.heard != 0 { // when what it acknowledges was sent, as far as that can still be proven by it
			proof := int64(-xSilent)
			for i := range s.pools {
				if m := s.pools[i].of[h.life]; m != nil && s.pools[i].life == h.heard {
					if k := m.said[h.ack%uint64(len(m.said))]; k.seq == h.ack && h.ack > 0 {
						proof = k.at
					}
				}
			}
			rel(proof)
		}
	}
	for i := range s.pools {
		p := &s.pools[i]
		rel(max(p.opens, s.now))
		var lives []Life
		for l := range p.of {
			lives = append(lives, l)
		}
		slices.Sort(lives)
		for _, l := range lives {
			m := p.of[l]
			life(l)
			num(m.share)
			if p.counts(m, s.now) {
				rel(m.proven)
			} else {
				num(xSilent)
			}
			for at := s.now; at <= s.now+2*xTerm; at++ { // what it may be using at each moment to come
				num(m.out(at))
			}
			num(-2)
		}
	}
	words := make([]string, len(s.words))
	for i, w := range s.words {
		keep := b
		b = nil
		num(int64(w.to))
		num(int64(w.from))
		if w.doubled {
			num(1)
		}
		// What of a word matters: whether it will be taken, from when it would count, and what it would prove.
		if w.isAsk {
			life(w.ask.Life)
			life(w.ask.Planner)
			p := &s.pools[w.to-2]
			m, proof, fresh := p.of[w.ask.Life], int64(-xSilent), int64(1)
			if m != nil {
				if k := m.said[w.ask.Ack%uint64(len(m.said))]; k.seq == w.ask.Ack && w.ask.Ack > 0 && w.ask.Planner == p.life {
					proof = k.at
				}
				if w.ask.Seq <= m.seq {
					fresh = 0
				}
			}
			rel(proof)
			num(fresh)
			num(s.sent(w.from, w.ask.Life, w.ask.Seq))
		} else {
			life(w.say.Life)
			life(w.say.To)
			num(w.say.Lease)
			num(s.sent(w.to, w.say.To, w.say.Asked))
			proof := int64(-xSilent)
			if p := &s.pools[w.from-2]; p.life == w.say.Life {
				if m := p.of[w.say.To]; m != nil {
					if k := m.said[w.say.Seq%uint64(len(m.said))]; k.seq == w.say.Seq {
						proof = k.at
					}
				}
			}
			rel(proof)
			if h := &s.holders[w.to]; w.say.Seq > h.ack {
				num(1)
			}
		}
		words[i] = string(b)
		b = keep
	}
	slices.Sort(words)
	return string(b) + "|" + strings.Join(words, "|")
}

// sent is how long ago a forwarder sent an ask, as far as an answer would still be taken; else a sign for never.
func (s *xState) sent(f byte, l Life, seq uint64) int64 {
	h := &s.holders[f]
	if a := h.asked[seq%uint64(len(h.asked))]; h.life == l && a.seq == seq && seq > h.answered && a.at > s.now-2*xTerm-1 {
		return a.at - s.now
	}
	return -xSilent
}

// explore visits all states that can be reached within so many steps of the clock, and gives how many there are and the
// steps to one in which the shares are exceeded, if there is one. Of many it keeps only their digests: two states with one
// digest among some millions are less likely than a fault of the machine.
func explore(t *testing.T, how broken, within bounds) (states int, trace []string) {
	type from struct {
		before uint64
		step   func() string
	}
	type todo struct {
		s   *xState
		key uint64
	}
	first := &xState{now: 100, lives: 4}
	for i := range 2 {
		first.holders[i] = *NewHolder(Life(1+i), xTerm, 0)
		first.pools[i] = *NewPool(Life(3+i), xTerm, 0)
	}
	seen := map[uint64]from{}
	start := todo{first, xxhash.Sum64String(first.key())}
	seen[start.key] = from{}
	var now, next []todo
	now = append(now, start)
	for range within.steps + 1 {
		for len(now) > 0 {
			at := now[len(now)-1]
			now = now[:len(now)-1]
			var bad uint64
			add := func(n *xState, later bool, step func() string) {
				k := xxhash.Sum64String(n.key())
				if _, been := seen[k]; been {
					return
				}
				if how == (broken{}) {
					step = nil
				}
				seen[k] = from{at.key, step}
				if used := n.holders[0].Use(n.now, xShare) + n.holders[1].Use(n.now, xShare); used > 2*xShare {
					bad = k
				}
				if later {
					next = append(next, todo{n, k})
				} else {
					now = append(now, todo{n, k})
				}
			}
			at.s.steps(how, within, add)
			if bad != 0 {
				for k := bad; k != start.key; k = seen[k].before {
					what := "a step"
					if seen[k].step != nil {
						what = seen[k].step()
					}
					trace = append(trace, what)
				}
				slices.Reverse(trace)
				return len(seen), trace
			}
			if len(seen) > xMost {
				t.Fatalf("more than %d states", xMost)
			}
		}
		now, next = next, nil
	}
	return len(seen), nil
}

// steps are all that can happen next.
func (s *xState) steps(how broken, within bounds, add func(n *xState, later bool, step func() string)) {
	step := func(format string, args ...any) func(*xState) {
		return func(n *xState) { add(n, false, func() string { return fmt.Sprintf(format, args...) }) }
	}
	later := s.clone()
	later.now++
	later.asked = [2]bool{}
	add(later, true, func() string { return "time passes" })
	for i, w := range s.words {
		lost := s.clone()
		lost.words = slices.Delete(lost.words, i, i+1)
		step("a word is lost")(lost)
		for _, keep := range []bool{false, true} {
			if keep && (w.doubled || !within.doubles) {
				continue
			}
			n := s.clone()
			if n.words = slices.Delete(n.words, i, i+1); keep {
				w.doubled = true
				n.words = append(n.words, w)
			}
			n.take(how, w)
			if len(n.words) <= within.words {
				step("%d hears %d: %+v%+v (again later: %v)", w.to, w.from, w.ask, w.say, keep)(n)
			}
		}
	}
	if len(s.words) < within.words {
		for f := range byte(2) {
			if s.asked[f] {
				continue
			}
			for p := range 2 - f { // one of them knows one planner only
				name := string('A' + rune(p))
				if h := &s.holders[f]; !h.MayAsk(s.now, name) && !(how.twoPledges && s.now >= h.fresh) {
					continue
				}
				{
					want := int64(0)
					if f == within.wants {
						want = 2 * xShare
					}
					n := s.clone()
					n.asked[f] = true
					a := n.holders[f].Ask(n.now, name, xShare, want, 0)
					n.words = append(n.words, xWord{to: 2 + p, from: f, ask: a, isAsk: true})
					step("forwarder %d asks %s for %d", f, name, want)(n)
				}
			}
		}
	}
	if s.restarts < within.restarts {
		for i := range 1 { // of each kind the first
			n := s.clone()
			n.lives++
			n.restarts++
			n.holders[i] = *NewHolder(n.lives, xTerm, n.now)
			if how.noQuarantine {
				n.holders[i].fresh = n.now
			}
			step("forwarder %d restarts", i)(n)
			n = s.clone()
			n.lives++
			n.restarts++
			n.pools[i] = *NewPool(n.lives, xTerm, n.now)
			if how.noOpening {
				n.pools[i].opens = n.now
			}
			step("planner %c restarts", 'A'+i)(n)
		}
	}
}

// take has a word come.
func (s *xState) take(how broken, w xWord) {
	if w.to < 2 {
		h := &s.holders[w.to]
		h.Heard(s.now, string('A'+rune(w.from-2)), w.say)
		if how.fromReceipt && h.answered == w.say.Asked && w.say.To == h.life {
			h.ends = s.now + xTerm
		}
		return
	}
	p := &s.pools[w.to-2]
	if how.noProof {
		m := p.of[w.ask.Life]
		if m == nil {
			m = &member{}
			p.of[w.ask.Life] = m
		}
		if w.ask.Seq > m.seq {
			m.known, m.proven = true, s.now
		}
	}
	say, answer := p.Asked(s.now, w.ask)
	if answer {
		s.words = append(s.words, xWord{to: w.from, from: w.to, say: say})
	}
}

// No state is reached in which forwarders use more than their shares; and each way to break the protocol is found.
func TestExploreLeases(t *testing.T) {
	for _, within := range []bounds{{0, true, *xSteps, 1, 0}, {0, true, *xSteps, 1, 1}, {1, false, *xSteps, 1, 0},
		{1, false, *xSteps, 1, 1}, {1, false, 1, 2, 0}, {1, false, 1, 2, 1}} {
		states, trace := explore(t, broken{}, within)
		t.Logf("%+v: %d states visited, a term being %d steps", within, states, xTerm)
		if trace != nil {
			t.Errorf("the shares are exceeded after %d steps", len(trace))
		}
		if states < 10_000 {
			t.Errorf("only %d states", states)
		}
	}
	for _, c := range []struct {
		name   string
		how    broken
		within bounds
	}{
		{"a lease from its receipt", broken{fromReceipt: true}, bounds{0, false, 6, 1, 0}},
		{"pledges without proof", broken{noProof: true}, bounds{0, false, 6, 1, 0}},
		{"two pledges", broken{twoPledges: true}, bounds{0, false, 6, 1, 1}},
		{"no quarantine", broken{noQuarantine: true}, bounds{1, false, 6, 1, 1}},
		{"lending at once", broken{noOpening: true}, bounds{1, false, 6, 1, 0}},
	} {
		states, trace := explore(t, c.how, c.within)
		if t.Logf("%s: found among %d states in %d steps", c.name, states, len(trace)); trace == nil {
			t.Errorf("%s: not found in %d states", c.name, states)
		}
	}
}

var xSteps = flag.Int("explore.steps", 3, "steps of the clock that are explored")
