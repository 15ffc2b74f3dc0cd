package balance

import (
	"math"
	"slices"
)

// Router is one router's decisions.
type Router struct {
	out                                   Outside
	chance                                chance
	tariffs                               []tariff
	nodes                                 []node
	groups                                []group
	jobs                                  []job
	free, waiting                         []Place
	maxTrips, word                        int
	second, probes, check, asking         bool
	whole                                 bool  // the list being told is whole
	sweep, refresh, useful, away, age     int64 // age: of reports, on average
	looked, wakeAt                        int64 // when it last looked after what goes by time, and when its alarm rings
	asideFor, grace, coldFor, span        int64
	startShare, perSpan                   float64
	peers, speaking, goneMayServe         bool
	echoed                                bool // others heard what it said last
	me                                    int
	zone                                  int32
	marks                                 map[uint32][]int32
	period, speakAt, tellAt, toldAt, keep int64
	summedAt                              int64   // when it was last told what all routers have
	gap, echoAt                           int64   // between news without an echo, and before which none is given
	shared                                room    // of all nodes, for want of better
	fade                                  int64   // how long what a node shows counts
	borne                                 float64 // work sent over the span to a warm node
	dearest                               float64 // most earnings for work of any read
	purse                                 float64 // probes that may be sent
	watchAt, backoff                      int64   // of asking for the list
	leastBackoff, mostBackoff             int64
}

// A step says what to do next with a job once a trip of it has ended.
type step func(r *Router, j *job, e Ending, now int64)

type trip struct {
	node            int32
	ending          Ending
	out, late, lost bool    // late: past its contract time; lost: no longer counted at its node
	sent            int64   // when
	answers, among  float64 // what its node had answered, and held of this router's, when it left
	crowd           float64 // what it was thought to hold in all
	then            step
}

type job struct {
	place                      Place
	live, over, held, fallback bool // fallback: no replica is fresh enough
	tariff, group, out         int32
	asked                      int     // whether it asked for the load of nodes: 0 or 1
	lot                        float64 // from 0 to 1, for what goes by lot
	need                       int64   // position that a session read must see
	taken, wanted              int64   // when it came in, and its contract time
	limit, holdEnd             int64   // its hard limit, and until when it may be held
	resume                     int64   // before which it pauses
	most                       int     // trips
	terms                      Terms
	trips                      []trip
}

type node struct {
	self, group, zone           int32
	standing                    Standing
	role                        Role
	weight                      float64
	listed                      bool  // as primary
	word                        int   // of the list that last named it
	told, started               int64 // when it was said to leave, and when it started (0: long ago)
	position, heardOf, lag      int64 // a lower bound, when it was last told, and how far behind then
	roleAt, missed              int64 // when its role was true, and when it last turned a read away
	heard                       int64 // when it last answered, or the oldest of its trips left
	aside, probed, served       int64 // until when, and when last; when it last answered a trip
	unreached, probing, drained bool
	failures                    int     // in a row
	held, ghosts                float64 // trips, and work that may go on though its trip has ended here
	answers                     float64 // so far
	room                        room
	busy, shown                 float64 // cores, and trips held, by its last report
	shownAt, answered           int64   // when it showed that, and when a probe of this router's last came back
	lean                        float64 // logarithm of how much stronger it proves than its weight, by all
	all                         float64 // trips that all routers have there, as they were last summed up for this one
	allAt                       int64   // and when that was so
	mark                        uint32
	work                        float64 // sent; decays over the span of the cold rule
	workAt                      int64
	lent, kept                  float64 // work that it may be sent over the span, and the part of it without a lease
	lentUntil, keptUntil        int64
	shunned                     int64   // until when, by what others have seen
	said                        float64 // what it showed when others were last told, and when that was
	saidAt                      int64
}

// room is how many trips a node can hold in good time.
type room struct {
	size, strain float64 // strain: mean time of a trip, as a part of its contract time
	opening      bool    // it has not been full yet
}

type tariff struct {
	Tariff
	usual    float64 // mean time of a trip
	share    float64 // of a primary's room that it may fill
	farewell int64   // for how long clients are asked away whose job can earn nothing any more; 0: they are not
	past     bool    // no job to come has it
}

type group struct {
	members []int32
	most    float64 // how many it has had in the list at a time
}

// Seat gives a new job its place.
func (r *Router) Seat() Place {
	if k := len(r.free); k > 0 {
		p := r.free[k-1]
		r.free = r.free[:k-1]
		return p
	}
	r.jobs = append(r.jobs, job{trips: make([]trip, 0, r.maxTrips)})
	return Place(len(r.jobs) - 1)
}

// vacate frees the place of a job that is over, once none of its trips is out.
func (r *Router) vacate(p Place) {
	if j := &r.jobs[p]; j.live && j.over && j.out == 0 {
		j.live = false
		r.free = append(r.free, p)
		r.out.Vacate(p)
	}
}

// rouse has the alarm ring when something is due: each sweep while there are jobs, else for the list and for news. It only
// ever comes earlier by that, so that ever new jobs don't put it off. What went by time alone meanwhile is made up for.
func (r *Router) rouse(now int64) {
	if now-r.looked >= 2*r.sweep && r.wakeAt > now {
		r.Wake(now)
		return
	}
	at := now + r.sweep
	if len(r.jobs) == len(r.free) {
		at = now + max(r.span, r.sweep) // as words of others may be due by then
		if r.asking && r.watchAt > 0 {
			at = min(at, r.watchAt)
		}
		if r.peers {
			at = min(at, r.speakAt)
			if r.speaking && r.tellAt > 0 {
				at = min(at, r.tellAt)
			}
		}
		at = max(at, now+r.sweep)
	}
	if at < r.wakeAt {
		r.wakeAt = at
		r.out.Alarm(at - now)
	}
}

// enter gives a tariff its number: the one that it had under an earlier contract, with what was learnt then, else a new
// one, since jobs in hand may have any other. The first of a contract makes all those before past.
func (r *Router) enter(t tariff, first bool) int {
	for i := range r.tariffs {
		r.tariffs[i].past = r.tariffs[i].past || first
	}
	for i := range r.tariffs {
		if k := &r.tariffs[i]; k.past && k.Tariff == t.Tariff {
			k.share, k.farewell, k.past = t.share, t.farewell, false
			return i
		}
	}
	r.tariffs = append(r.tariffs, t)
	return len(r.tariffs) - 1
}

// Tariffs is how many kinds of tariffs the router has had.
func (r *Router) Tariffs() int { return len(r.tariffs) }

func (r *Router) group(g int) *group {
	for len(r.groups) <= g {
		r.groups = append(r.groups, group{})
	}
	return &r.groups[g]
}

// mayHaveRun is the earliest trip left that may have run, but for one, or nil.
func (j *job) mayHaveRun(but int) *trip {
	for i := range j.trips {
		if k := &j.trips[i]; i != but && (k.out || k.ending == Done || k.ending > Moot) {
			return k
		}
	}
	return nil
}

func (j *job) triedOut(n int32) bool {
	return slices.ContainsFunc(j.trips, func(k trip) bool { return k.out && k.node == n })
}

func (j *job) tried(n int32) bool {
	return slices.ContainsFunc(j.trips, func(k trip) bool { return k.node == n })
}

// chance is a multiply-with-carry generator.
type chance uint64

func (c *chance) below(n int64) int64 {
	*c = chance(uint64(uint32(*c))*4294957665 + uint64(*c)>>32)
	return int64(uint64(uint32(*c)) * uint64(max(n, 1)) >> 32)
}

// Listing begins a word from the list; Member and Listed follow.
func (r *Router) Listing(whole bool) {
	r.whole = whole
	r.word++
}

// Member tells of one node. Nodes and groups are numbered from 0 in the order of their first naming.
func (r *Router) Member(now int64, n, g, zone int, mark uint32, s Standing, weight float64, started int64,
	primary bool) {
	for len(r.nodes) <= n {
		r.nodes = append(r.nodes, node{self: int32(len(r.nodes)), group: -1, room: opened})
	}
	m := &r.nodes[n]
	if m.mark = mark; !slices.Contains(r.marks[mark], int32(n)) {
		r.marks[mark] = append(r.marks[mark], int32(n))
	}
	if into := r.group(g); m.group != int32(g) {
		if m.group >= 0 {
			old := r.group(int(m.group))
			old.members = slices.DeleteFunc(old.members, func(k int32) bool { return k == int32(n) })
		}
		m.group = int32(g)
		into.members = append(into.members, int32(n))
	}
	if s != In && m.standing == In {
		m.told = now
	}
	m.started = max(m.started, started)
	m.drained = s == Draining || s == Gone && m.drained
	m.standing, m.zone, m.weight, m.listed, m.word = s, int32(zone), max(weight, 1e-6), primary, r.word
}

// Forget lets go of a node that has left, and tells whether it did: its number may then name another. Nothing of it is
// out by then and no job in hand has been to it, and the grace of its leaving is past; where nodes called gone may
// serve, it has been silent for as long as idle connections are kept.
func (r *Router) Forget(now int64, n int) bool {
	m := &r.nodes[n]
	if m.standing != Gone || m.group < 0 || m.probing || now <= m.told+2*r.grace || r.open(m) && now < m.heard+r.keep {
		return false
	}
	for i := range r.jobs {
		if j := &r.jobs[i]; j.live && j.tried(m.self) {
			return false
		}
	}
	is := func(k int32) bool { return k == m.self }
	g := r.group(int(m.group))
	g.members = slices.DeleteFunc(g.members, is)
	if r.marks[m.mark] = slices.DeleteFunc(r.marks[m.mark], is); len(r.marks[m.mark]) == 0 {
		delete(r.marks, m.mark)
	}
	*m = node{self: m.self, group: -1, room: opened, standing: Gone, drained: true}
	return true
}

// Listed ends a word from the list. A node absent from a whole list has left.
func (r *Router) Listed(now int64) {
	for i := range r.nodes {
		m := &r.nodes[i]
		if r.whole && m.word != r.word {
			if m.standing == In {
				m.told = now
			}
			m.standing = Gone
		}
	}
	for i := range r.groups {
		g, in := &r.groups[i], 0.0
		for _, n := range g.members {
			if r.nodes[n].standing == In {
				in++
			}
		}
		g.most = max(g.most, in)
	}
	r.backoff = r.leastBackoff
}

// Summed takes in what all routers together have at a node, as of a while ago, by whoever adds that up for them.
// Lean is the logarithm of how much stronger the node has proved than its weight says.
func (r *Router) Summed(now int64, n int, held, lean float64, age int64) {
	if m := &r.nodes[n]; m.group >= 0 && now-age >= m.allAt {
		m.all, m.lean, m.allAt, r.summedAt = held, lean, now-age, now
	}
}

// warmth is the part of its strength that a node has by the time since its start.
func (r *Router) warmth(m *node, now int64) float64 {
	if m.started == 0 || now >= m.started+r.coldFor {
		return 1
	}
	return r.startShare + (1-r.startShare)*float64(max(now-m.started, 0))/float64(r.coldFor)
}

// strength is the node's weight, and what it has proved to be beside that, which fades where nobody says so any more.
func (m *node) strength(now int64, fade int64) float64 {
	if m.lean == 0 {
		return m.weight
	}
	return m.weight * math.Exp(m.lean*max(0, 1-float64(now-m.allAt)/float64(8*fade)))
}

// Shows takes in a report of a node that another router was given.
func (r *Router) Shows(now int64, n int, rep Report) {
	if m := &r.nodes[n]; m.group >= 0 && rep.Position > m.position {
		r.reported(m, now, rep)
	}
}

// near tells whether the node is in the router's own zone, as all are where no zone is said.
func (r *Router) near(m *node) bool { return r.zone < 0 || m.zone == r.zone }

// load is how many trips a node is known to hold, by the newest that others or itself have said, which fades.
func (m *node) load(now, fade int64) float64 {
	held, at := m.shown, m.shownAt
	if m.allAt > at {
		held, at = m.all, m.allAt
	}
	return held * max(0, 1-float64(now-at)/float64(fade))
}

// passed is how many times over the node has answered as many trips as were there when this one left.
func (m *node) passed(k *trip) float64 { return (m.answers - k.answers) / (k.among + 1) }

// decay takes off what of a node's work has gone by since.
func (r *Router) decay(m *node, now int64) {
	if now > m.workAt {
		m.work, m.workAt = m.work*math.Exp(-float64(now-m.workAt)/float64(r.span)), now
	}
}

// Lend has a young node sent so much work at most over the rule's span, until then; after that and until kept
// a part of the own share. It moves shares about among routers, and all together send as much as alone.
func (r *Router) Lend(n int, work, part float64, until, kept int64) {
	m := &r.nodes[n]
	m.lent, m.kept, m.lentUntil, m.keptUntil = work, part, until, kept
}

// noted takes in evidence of a node's role and position, true at the time given: an old report never
// outdoes a newer answer.
func (m *node) noted(now int64, role Role, position, at int64) {
	if role != Unknown && at >= m.roleAt {
		m.role, m.roleAt = role, at
	}
	if position > 0 && position <= now { // none stands in the future
		m.position = max(m.position, position)
		m.heardOf, m.lag = now, now-position
	}
}

// Seen tells what this router saw of a node: that it set it aside, or had an answer in the span.
func (r *Router) Seen(now int64, n int, span int64) (failed, answered bool) {
	m := &r.nodes[n]
	return now < m.aside && m.failures >= distrust, m.served > 0 && now-m.served < span
}
