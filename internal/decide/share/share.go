// Package share decides what routers and planners tell each other of the load that all routers together put on nodes: what a
// router says of its own attempts (Meter), how a planner adds up what all say (Ledger), and which planner's sum a router goes by
// (Views).
//
// One router among hundreds sees next to nothing of a node: its own attempts there are nought nearly always. The sum over all
// routers is what a proxy that sees all traffic would know, a few hundred milliseconds late. Nothing here is needed for any
// rule: a sum that is missing, late, too low or too high costs evenness alone, and fades.
//
// It does no I/O and reads no clock: every call gets the caller's own steady time in nanoseconds. Nothing here is safe for
// concurrent use.
package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Bounds of what is told.
const (
	MostParts   = 64   // nodes in what a router says
	MostEntries = 64   // nodes in a digest, however many there are
	MostNodes   = 4096 // that a ledger adds up
	MostRouters = 1 << 14
	MostHeld    = 1 << 16 // attempts at a node
)

// Shown is what a node itself said of its load and place, to whichever router heard it last. The zero value is none.
type Shown struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Position int64    // as the node says it: of its own clock
	Primary  bool
	Busy     float32 // part of its cores
}

// Part is what a router says of a node.
type Part struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Mark     uint32   // the node's, as the module has it
	Held     float32  // attempts that it had out there, on average since it said so last
	Sent     uint32   // attempts since then
	Failed   uint32   // attempts since then that ended without an answer of the node's, or by an error
	Group    int64    // the node's, and its weight by the list
	Weight   float32
	Shown    *Shown // if the node has said anything since
}

// Meter is one router's account of its own attempts by node.
type Meter struct {
	of   []slot
	said int64 // when it was last read
}

type slot struct {
	held  int   // attempts out
	sum   int64 // attempts times ns since the last reading
	at    int64 // up to when sum goes
	sent  uint32
	fails uint32
	shown Shown
	news  bool // the node has shown something since
}

// NewMeter begins now.
func NewMeter(now int64) *Meter { return &Meter{said: now} }

func (m *Meter) slot(now int64, n int) *slot {
	for len(m.of) <= n {
		m.of = append(m.of, slot{at: m.said})
	}
	s := &m.of[n]
	s.sum += int64(s.held) * (now - s.at)
	s.at = now
	return s
}

// Sent notes an attempt to a node.
func (m *Meter) Sent(now int64, n int) {
	s := m.slot(now, n)
	s.held++
	s.sent++
}

// Ended notes its end, and whether the node failed in it.
func (m *Meter) Ended(now int64, n int, failed bool) {
	s := m.slot(now, n)
	s.held = max(0, s.held-1)
	if failed {
		s.fails++
	}
}

// Shown notes what a node has said of itself: the furthest since the last reading.
func (m *Meter) Shown(now int64, n int, shown Shown) {
	if s := m.slot(now, n); !s.news || shown.Position > s.shown.Position {
		s.shown, s.news = shown, true
	}
}

// Forget lets go of a node whose number may name another.
func (m *Meter) Forget(n int) {
	if n < len(m.of) {
		m.of[n] = slot{at: m.said}
	}
}

// Read gives the parts since it was last read, and begins anew; name fills in which node it is. Nodes without a mark (0) are left
// out; of too many, those that this router has the most attempts at are told.
func (m *Meter) Read(now int64, name func(n int, p *Part)) (parts []Part) {
	span := float64(max(1, now-m.said))
	m.said = now
	for n := range m.of {
		s := m.slot(now, n)
		p, sum, news := Part{Sent: s.sent, Failed: s.fails}, s.sum, s.news
		s.sum, s.sent, s.fails, s.news = 0, 0, 0, false
		if sum == 0 && p.Sent == 0 && !news {
			continue
		}
		p.Held = float32(float64(sum) / span)
		if name(n, &p); p.Mark == 0 {
			continue
		}
		if news {
			shown := s.shown
			p.Shown = &shown
		}
		parts = append(parts, p)
	}
	if len(parts) > MostParts {
		slices.SortFunc(parts, func(a, b Part) int { return -cmp.Compare(a.Held, b.Held) })
		parts = parts[:MostParts]
	}
	return parts
}

// Entry is what all routers together have at a node, by what a planner was told.
type Entry struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Mark     uint32
	Held     float32 // attempts out there, as they probably are when routers act on it
	Rate     float32 // attempts a second
	Trend    float32 // change of Held in a second
	Lean     float32 // logarithm of how much stronger the node proves than its weight says
	Routers  uint16  // that have said so
	Age      uint32  // of it on average, in ms
	Shown    *Shown  // the newest that any router was shown
}

// Ledger is a planner's account of what routers say.
type Ledger struct {
	period int64 // ns between two of a router's words
	scale  float64
	of     map[uint64]*says
	nodes  map[uint32]*total
	made   int64
	digest []Entry
}

// says is what one router said last. Nodes that it does not name have none of its attempts.
type says struct {
	at, span int64
	parts    []Part
}

// total is what a node has by all.
type total struct {
	held, was float64
	mean      float64 // of held
	soon      float64 // held as it probably is when routers act on it
	trend     float64
	told      float64 // when it was last in a digest
	toldAt    int64
	rate, age float64
	fails     float64 // a second
	routers   int
	group     int64
	weight    float64
	seenOf    curve   // of its attempts
	proof     float64 // of its strength: logarithms, weighed by attempts
	trips     float64
	lean      float64
	shown     Shown
	shownAt   int64
	seen      int64 // when anybody last named it
}

// Times in periods.
const (
	fresh  = 2  // for which what a router said counts in full
	lasts  = 12 // after which it counts for nothing any more
	kept   = 240
	rework = 0.5 // between two digests
)

// Bounds on how much of the load may be supplied for routers that are there and were not heard: by a planner, that hears each of
// them or is cut off from a part, and by a router that hears but a sample.
const (
	mostScale   = 4.0
	sampleScale = 64.0
)

// Tells is how many others a router tells its own part once a period, while no planner hears it. Each then hears as many on average:
// over the periods for which words count, a sample of some fifteen.
const Tells = 2

// Alone tells whether a router has to go by what others like it say: no planner's digest has come for a term.
func Alone(now, digest, term int64) bool { return now-digest > term }

// NewLedger adds up words that come once in a period.
func NewLedger(period int64) *Ledger {
	return &Ledger{period: period, scale: mostScale, of: map[uint64]*says{}, nodes: map[uint32]*total{}}
}

// NewSample adds up what a router hears of others while no planner does it for all: some of them, once in a while.
func NewSample(period int64) *Ledger {
	l := NewLedger(period)
	l.scale = sampleScale
	return l
}

// Heard takes in what a router says; its life tells routers apart.
func (l *Ledger) Heard(now int64, life uint64, parts []Part) {
	s := l.of[life]
	if s == nil {
		if len(l.of) >= MostRouters {
			return
		}
		s = &says{at: now - l.period}
		l.of[life] = s
	}
	s.span = max(1, now-s.at)
	s.at, s.parts = now, parts[:min(len(parts), MostParts)]
	for _, p := range s.parts {
		t := l.nodes[p.Mark]
		if t == nil {
			if len(l.nodes) >= MostNodes {
				continue
			}
			t = &total{mean: -1}
			l.nodes[p.Mark] = t
		}
		t.seen, t.group, t.weight = now, p.Group, max(float64(p.Weight), 1e-3)
		// The furthest is the newest. Guards against a node whose clock was ahead: what it said then is not kept for ever.
		if p.Shown != nil && (p.Shown.Position > t.shown.Position || now-t.shownAt > fresh*l.period) {
			t.shown, t.shownAt = *p.Shown, now
		}
	}
}

// Gone lets go of what a router said that has left by its own word: its last attempt has ended.
func (l *Ledger) Gone(life uint64) { delete(l.of, life) }

// weight is how much of what was said so long ago counts yet: all, then less and less.
func (l *Ledger) weight(age int64) float64 {
	p := float64(age) / float64(l.period)
	return min(1, max(0, (lasts-p)/(lasts-fresh)))
}

// Routers are how many are heard at present.
func (l *Ledger) Routers(now int64) (n int) {
	for _, s := range l.of {
		if now-s.at <= fresh*l.period {
			n++
		}
	}
	return n
}

// Digest is what all routers together have by node, at most so often made anew; senders are all that may be sending, as far as
// that is known (0: not). Where routers were not heard that are there, what they have is supplied by those that were: a planner
// that is cut off from half of them sees half of the load.
func (l *Ledger) Digest(now int64, senders int) []Entry {
	if l.made != 0 && float64(now-l.made) < rework*float64(l.period) {
		return l.digest
	}
	since := now - l.made
	if l.made == 0 {
		since = l.period
	}
	l.made = now
	for _, t := range l.nodes {
		t.rate, t.fails, t.age, t.routers = 0, 0, 0, 0
		t.was, t.held = t.held, 0
	}
	heard := 0.0
	for _, life := range slices.Sorted(maps.Keys(l.of)) { // in one order, as sums of floats depend on it
		s := l.of[life]
		age := now - s.at
		w := l.weight(age)
		if w == 0 {
			delete(l.of, life)
			continue
		}
		heard += w
		for _, p := range s.parts {
			if t := l.nodes[p.Mark]; t != nil {
				held := w * float64(p.Held)
				t.held += held
				t.rate += w * float64(p.Sent) * 1e9 / float64(s.span)
				t.fails += w * float64(p.Failed) * 1e9 / float64(s.span)
				t.age += held * float64(age+s.span/2)
				t.routers++
			}
		}
	}
	scale := 1.0
	if heard > 0 {
		scale = min(l.scale, max(1, float64(senders)/heard))
	}
	for mark, t := range l.nodes {
		if t.held > 0 {
			t.age /= t.held
		}
		t.held, t.rate = t.held*scale, t.rate*scale
		t.trend = (t.held - t.was) / float64(since) * 1e9
		if now-t.seen > kept*l.period {
			delete(l.nodes, mark)
		}
	}
	l.lean(since)
	l.foresee(since)
	l.digest = l.pick(now)
	return l.digest
}

// Of leaning.
const (
	curveOver = 10.0 // seconds over which a group's common curve is learnt
	leanOver  = 3.0  // and what a node makes of it
	doubt     = 100  // attempts for which a node is taken to be as its weight says
	noise     = 0.15 // logarithm of a strength that is no news; near its limit a node bears no weight that is but noise
	mostLean  = 1.4
	clear     = 1.0  // of a single word: more is believed over time only
	failing   = 0.05 // part of its attempts: times of what fails say nothing of strength
	leastRate = 5.0  // attempts a second below which nothing is said
)

// curve is how long attempts take at a group's nodes by how many attempts these hold against their weight: a line, by least squares
// over what has been seen lately. Its slope is that of waiting.
type curve struct{ n, x, xx, y, xy float64 }

func (c *curve) add(w, x, y float64) {
	c.n, c.x, c.xx, c.y, c.xy = c.n+w, c.x+w*x, c.xx+w*x*x, c.y+w*y, c.xy+w*x*y
}

// sum adds what another has seen so many times; -1 takes it away.
func (c *curve) sum(o *curve, times float64) {
	c.n, c.x, c.xx, c.y, c.xy = c.n+times*o.n, c.x+times*o.x, c.xx+times*o.xx, c.y+times*o.y, c.xy+times*o.xy
}

func (c *curve) fade(keep float64) {
	c.n, c.x, c.xx, c.y, c.xy = c.n*keep, c.x*keep, c.xx*keep, c.y*keep, c.xy*keep
}

// at is what the line says.
func (c *curve) at(x float64) float64 {
	mean, slope := c.y/c.n, 0.0
	if v := c.xx - c.x*c.x/c.n; v > 1e-9*c.xx {
		slope = max(0, (c.xy-c.x*c.y/c.n)/v)
	}
	return max(mean+slope*(x-c.x/c.n), mean/8)
}

// lean has each node be judged by how long attempts take there, against what they take at its group's nodes on average with as many
// attempts in hand (Little's law gives the time from what is held and how fast it comes). A node at which they take twice as long is
// half as strong as its weight says, whatever the list tells and whatever the node says of itself. It goes by what attempts took, not by
// how evenly load lies: that would feed noise back, and at high load a weight that is wrong by a twentieth does harm.
func (l *Ledger) lean(since int64) {
	secs := min(float64(since)/1e9, 1)
	curves := map[int64]*curve{}
	marks := slices.Sorted(maps.Keys(l.nodes))
	judged := func(t *total) bool {
		return !t.shown.Primary && t.rate >= leastRate && t.held > 0 && t.fails <= failing*t.rate
	}
	for _, mark := range marks {
		t := l.nodes[mark]
		if t.seenOf.fade(math.Exp(-secs / curveOver)); judged(t) {
			t.seenOf.add(secs*t.rate, t.held/t.weight, t.held/t.rate)
		}
		c := curves[t.group]
		if c == nil {
			c = &curve{}
			curves[t.group] = c
		}
		c.sum(&t.seenOf, 1)
	}
	for _, mark := range marks {
		t := l.nodes[mark]
		keep := math.Exp(-secs / leanOver)
		t.proof, t.trips = t.proof*keep, t.trips*keep
		others := *curves[t.group] // a node that stands apart would else draw the line through itself
		if others.sum(&t.seenOf, -1); judged(t) && others.n > doubt {
			w := t.rate * secs
			t.proof += w * min(clear, max(-clear, math.Log(others.at(t.held/t.weight)*t.rate/t.held)))
			t.trips += w
		}
		is := t.proof / (t.trips + doubt)
		t.lean = math.Copysign(min(mostLean, max(0, math.Abs(is)-noise)), is)
		if t.fails > failing*t.rate {
			t.lean = -mostLean
		}
	}
}

// Of foreseeing.
const (
	relax    = 2.0 // times of its attempts in which a node's load has become another, as these are under way so long and new ones come
	meanOver = 1.0 // seconds
)

// foresee reckons what nodes will hold when routers act on a digest: of what a node held beside its mean of late the less is left the
// older that is, measured by how long its attempts take. News that is older than the attempts it tells of says nothing but how the node
// fares as a rule; to act on it would only have all routers flee from and crowd on nodes together.
func (l *Ledger) foresee(since int64) {
	part := -math.Expm1(-float64(since) / 1e9 / meanOver)
	for _, t := range l.nodes {
		if t.mean < 0 {
			t.mean = t.held
		}
		t.mean += part * (t.held - t.mean)
		if t.soon = t.held; t.rate > 0 {
			takes := t.held / t.rate * 1e9
			t.soon = t.mean + (t.held-t.mean)*math.Exp(-(t.age+float64(l.period)/2)/(relax*takes+1))
		}
	}
}

// pick chooses the nodes of a digest, of more than it has room for: those of which most has changed since they were last told,
// and those told longest ago, so that each comes in its turn.
func (l *Ledger) pick(now int64) []Entry {
	type due struct {
		mark   uint32
		urgent float64
	}
	dues := make([]due, 0, len(l.nodes))
	for mark, t := range l.nodes {
		dues = append(dues, due{mark, math.Abs(t.soon-t.told) + float64(now-t.toldAt)/float64(8*l.period)})
	}
	slices.SortFunc(dues, func(a, b due) int { return cmp.Or(-cmp.Compare(a.urgent, b.urgent), cmp.Compare(a.mark, b.mark)) })
	dues = dues[:min(len(dues), MostEntries)]
	es := make([]Entry, 0, len(dues))
	for _, d := range dues {
		t := l.nodes[d.mark]
		e := Entry{Mark: d.mark, Held: float32(t.soon), Rate: float32(t.rate), Trend: float32(t.trend), Lean: float32(t.lean),
			Routers: uint16(min(t.routers, math.MaxUint16)), Age: uint32(t.age / 1e6)}
		if t.shown.Position > 0 && now-t.shownAt < lasts*l.period {
			shown := t.shown
			e.Shown = &shown
		}
		t.told, t.toldAt = t.soon, now
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b Entry) int { return cmp.Compare(a.Mark, b.Mark) })
	return es
}

// Views is what planners told a router, of which it goes by one at a time for each node.
type Views struct {
	period int64
	of     map[uint32][]view
}

type view struct {
	planner string
	at      int64 // of what it is about
	heard   int64
	routers uint16
	held    float32
}

// NewViews goes by planners that are heard once in a period.
func NewViews(period int64) *Views { return &Views{period: period, of: map[uint32][]view{}} }

// better are so many times the routers behind a word for it to go before a newer one.
const better = 1.25

// Heard takes in one planner's entry, and tells what the router is to believe of the node now: attempts held there by all, and how
// old that is. Where planners contradict each other, the one that more routers stand behind is right; among equals the newest.
func (v *Views) Heard(now int64, planner string, e *Entry) (held float64, age int64) {
	vs := slices.DeleteFunc(v.of[e.Mark], func(o view) bool { return o.planner == planner || now-o.heard > lasts*v.period })
	vs = append(vs, view{planner, now - int64(e.Age)*1e6, now, e.Routers, e.Held})
	if len(v.of) < MostNodes || len(vs) > 1 {
		v.of[e.Mark] = vs
	}
	best := &vs[0]
	for i := range vs {
		o := &vs[i]
		if o.heard < now-fresh*v.period {
			continue
		}
		more, less := float64(o.routers) > better*float64(best.routers), float64(best.routers) > better*float64(o.routers)
		if best.heard < now-fresh*v.period || more || !less && o.at > best.at {
			best = o
		}
	}
	return float64(best.held), now - best.at
}

// Forget lets go of nodes that no planner has named for long.
func (v *Views) Forget(now int64) {
	for mark, vs := range v.of {
		if !slices.ContainsFunc(vs, func(o view) bool { return now-o.heard <= kept*v.period }) {
			delete(v.of, mark)
		}
	}
}
