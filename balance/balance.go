// Package balance decides where each job goes, when it goes again and how it ends. To call it: Open a router, tell
// it the list (Listing, Member, Listed, ListFailed), its jobs (Seat, Take, Left), the endings of their trips (Ended)
// and of probes (Probed), and its alarm (Wake). It answers by calls on Outside, which stands in types.go.
//
// The ordinary path is docs/design.md's. Beside the design stand six mechanisms:
//  1. room: how many trips a node can hold so that they take half their contract time on average.
//  2. silence: a node from which answers that were due fail to come, or that fails, is set aside for a while.
//  3. second trips: a job waiting only on nodes set aside or on overdue trips goes again where there is room to spare.
//  4. cold budget: a young node gets a share of what warm nodes bear.
//  5. presumption: where nodes check reads themselves, a replica is presumed to hold the lag it last showed.
//  6. laggards first: reads that any member may answer go to replicas too far behind to serve others.
package balance

import (
	"cmp"
	"math"
	"slices"
)

const (
	overdue   = 8   // answers that must have been due for a silent node to be set aside
	onTrial   = 3   // the same for a node that has come back from being set aside and not answered yet
	ease      = 0.5 // part of its contract time that a trip may take on average
	roomUp    = 1.02
	leastRoom = 1.0
	firstRoom = 4.0 // grows by one with each answer until time first goes up
	mostRoom  = 64.0
	distrust  = 3        // failures in a row after which a node has to prove itself by one trip at a time
	slow      = 1.0 / 32 // weight of a new figure in a running mean
	quick     = 1.0 / 8
	sweeps    = 16  // in the shortest contract time
	holdShare = 0.2 // of a job's time for which it may be held
)

// A step says what to do next with a job once a trip of it has ended.
type step func(r *Router, j *job, e Ending, now int64)

type trip struct {
	node            int32
	ending          Ending
	out, late, lost bool    // late: past its contract time; lost: no longer counted at its node
	sent            int64   // when
	answers, among  float64 // what its node had answered, and held, when it left
	expected        float64 // its share of the answers due at its node
	then            step
}

type job struct {
	place                      Place
	live, over, held, fallback bool // fallback: no replica is fresh enough
	tariff, group, out         int32
	session                    uint64
	need                       int64 // position that a session read must see
	wanted, limit, holdEnd     int64 // contract time and hard limit on the clock; until when it may be held
	trips                      []trip
}

type node struct {
	group, zone                  int32
	standing                     Standing
	role                         Role
	weight                       float64
	listed, inWhole              bool    // as primary; in the whole list being told
	told, launched               int64   // when it was said to leave; when it started, 0: long ago
	position, heardPosition, lag int64   // a lower bound; when last told, and how far behind then
	missed, roleAt               int64   // when it last turned a read away; when its role was true
	heard                        int64   // when it last answered, or when the oldest of its trips left
	aside, probed                int64   // until when; when last
	unreached, probing, opening  bool    // opening: its room has not been full yet
	failures                     int32   // in a row
	held, ghosts                 float64 // trips; work that may go on though its trip has ended here
	expected, answers            float64 // answers due in a nanosecond; answers so far
	room, strain, queue          float64 // strain: mean time of a trip, as a part of its contract time
	sentWork                     float64 // decays over the span of the cold rule
	sentAt                       int64
}

type tariff struct {
	Tariff
	usual float64 // mean time of a trip
	share float64 // of a primary's room that it may fill
}

type group struct {
	members []int32
	probed  int64
}

// Router is one router's decisions.
type Router struct {
	out                                     Outside
	chance                                  chance
	tariffs                                 []tariff
	nodes                                   []node
	groups                                  []group
	jobs                                    []job
	free, waiting                           []Place
	maxTrips                                int
	second, probes, check, asking, carried  bool
	whole                                   bool // the list being told is whole
	sweep, refresh, useful, asideFor, grace int64
	coldFor, span, longestAway              int64
	startShare, perSpan                     float64
	borne                                   float64 // work sent over the span to a warm node of weight 1
	watchAt, backoff, leastBackoff          int64
	young, old                              map[uint64]int64 // positions of sessions' last writes
	floor                                   int64            // for the sessions forgotten
}

// chance is a multiply-with-carry generator.
type chance uint64

func (c *chance) below(n int64) int64 {
	*c = chance(uint64(uint32(*c))*4294957665 + uint64(*c)>>32)
	return int64(uint64(uint32(*c)) * uint64(max(n, 1)) >> 32)
}

const sessionsKept = 1 << 16

// Open starts a router.
func Open(c *Contract, seed uint64, out Outside, now int64) *Router {
	r := &Router{out: out, chance: chance(seed&0x7fffffffffff | 1<<32 | 1), maxTrips: c.MaxTrips,
		second: c.SecondTrips, probes: c.Probes, check: c.NodesCheck, asking: c.ListOnAsking,
		carried: c.SessionsCarried, grace: c.DrainGrace, coldFor: c.ColdFor, span: c.FallSpan,
		startShare: c.StartShare, perSpan: min(1, c.FallMultiple/2), longestAway: c.LongestAbsence,
		asideFor: 4 * c.ConnectTimeout, leastBackoff: c.AskEvery / 20,
		young: map[uint64]int64{}, old: map[uint64]int64{}}
	shortest, best, bound := int64(math.MaxInt64), 0.0, int64(math.MaxInt64)
	for _, t := range c.Tariffs {
		shortest = min(shortest, t.ContractTime)
		if t.Need >= Fresh {
			best = max(best, t.Earnings)
		}
		if t.Need == Bounded {
			bound = min(bound, t.Bound)
		}
	}
	for _, t := range c.Tariffs {
		share := 1.0
		if t.Need >= Fresh {
			share = 0.5 + 0.75*t.Earnings/best
		}
		r.tariffs = append(r.tariffs, tariff{t, float64(t.ContractTime) / 4, share})
	}
	r.sweep = max(c.Tick, shortest/sweeps)
	if r.useful = bound; bound == math.MaxInt64 {
		r.useful = 2 * shortest
	}
	r.refresh = r.useful * 4 / 5
	r.backoff = r.leastBackoff
	r.watchAt = now + r.chance.below(r.leastBackoff)
	out.Alarm(r.sweep)
	return r
}

// Listing begins a word from the list; Member and Listed follow.
func (r *Router) Listing(whole bool) {
	r.whole = whole
	for i := range r.nodes {
		r.nodes[i].inWhole = false
	}
}

func (r *Router) group(g int) {
	for len(r.groups) <= g {
		r.groups = append(r.groups, group{})
	}
}

// Member tells of one node. Nodes and groups are numbered from 0 in the order of their first naming.
func (r *Router) Member(now int64, n, g, zone int, s Standing, weight float64, launched int64, primary bool) {
	r.group(g)
	for len(r.nodes) <= n {
		r.nodes = append(r.nodes, node{group: -1, room: firstRoom, opening: true, queue: -1})
	}
	m := &r.nodes[n]
	if m.group != int32(g) {
		if m.group >= 0 {
			old := &r.groups[m.group]
			old.members = slices.DeleteFunc(old.members, func(k int32) bool { return k == int32(n) })
		}
		m.group = int32(g)
		r.groups[g].members = append(r.groups[g].members, int32(n))
	}
	if s != In && m.standing == In {
		m.told = now
	}
	if launched != 0 && launched > m.launched {
		m.launched = launched
	}
	m.standing, m.zone, m.weight, m.listed, m.inWhole = s, int32(zone), max(weight, 1e-6), primary, true
}

// Listed ends a word from the list. A node absent from a whole list has left; one not known yet is probed once.
func (r *Router) Listed(now int64) {
	for i := range r.nodes {
		m := &r.nodes[i]
		if r.whole && !m.inWhole {
			if m.standing == In {
				m.told = now
			}
			m.standing = Gone
		}
		if m.standing == In && m.probed == 0 {
			r.probe(int32(i), now)
		}
	}
	r.backoff = r.leastBackoff
}

// ListFailed tells that asking for the list failed, or that the watch broke. The next try comes later each time and
// at a random moment, so that routers that start or fail together don't ask together.
func (r *Router) ListFailed(now int64) {
	r.watchAt = now + r.backoff/2 + r.chance.below(r.backoff)
	r.backoff = min(2*r.backoff, 10*r.leastBackoff)
}

func (r *Router) probe(n int32, now int64) {
	if m := &r.nodes[n]; r.probes && !m.probing {
		m.probing, m.probed = true, now
		r.out.Probe(int(n))
	}
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

// Take accepts the job at p. Its client waits for the time given; wrote is how long ago its session wrote, 0 for
// never, where sessions carry that.
func (r *Router) Take(now int64, p Place, t, g int, session uint64, wait, wrote int64) {
	j := &r.jobs[p]
	r.group(g)
	*j = job{place: p, live: true, tariff: int32(t), group: int32(g), session: session, limit: now + wait,
		wanted: now + min(wait, r.tariffs[t].ContractTime), trips: j.trips[:0]}
	j.holdEnd = now + int64(holdShare*float64(wait))
	if r.tariffs[t].Need == Session {
		if !r.carried {
			j.need = r.lastWrite(session)
		} else if wrote > 0 {
			j.need = now - wrote
		}
	}
	r.place(j, now)
}

// lastWrite is the position that the session must see; one forgotten needs what the latest forgotten one did.
func (r *Router) lastWrite(session uint64) int64 {
	if at, ok := r.young[session]; ok {
		return at
	}
	if at, ok := r.old[session]; ok {
		return at
	}
	return r.floor
}

func (r *Router) remember(session uint64, at int64) {
	if len(r.young) >= sessionsKept {
		for _, p := range r.old {
			r.floor = max(r.floor, p)
		}
		r.old, r.young = r.young, r.old
		clear(r.young)
	}
	r.young[session] = max(at, r.lastWrite(session))
}

// place sends a job on, holds it or ends it.
func (r *Router) place(j *job, now int64) {
	t := &r.tariffs[j.tariff]
	late := now + int64(t.usual/2)
	if !r.mayRepeat(j, now) || late > j.limit || t.LateShare == 0 && late > j.wanted {
		r.giveUp(j, now, 0)
		return
	}
	if t.Need < Fresh {
		n, fresh := r.replica(j, now)
		if n >= 0 {
			r.send(j, n, now)
		} else if fresh {
			r.giveUp(j, now, 0)
		}
		if fresh {
			return
		}
		j.fallback = true
	}
	r.toPrimary(j, now)
}

// replica is the design's choice among those known to be fresh enough. It also tells whether there was any.
func (r *Router) replica(j *job, now int64) (best int32, fresh bool) {
	t := &r.tariffs[j.tariff]
	best = -1
	top, ties := 0.0, int64(0)
	primary := r.primary(j.group, now)
	for _, n := range r.groups[j.group].members {
		m := &r.nodes[n]
		if n == primary || m.role == Primary && m.roleAt > now-r.asideFor || !r.usable(m, now) || j.tried(n) ||
			!r.holds(m, j, now) {
			continue
		}
		fresh = true
		if m.held+m.ghosts >= m.roomFor(j) || !r.bears(m, t.usual, now) {
			continue
		}
		score := m.weight * r.warmth(m, now) / (1 + m.held + m.ghosts)
		// Laggards first, and of them the one furthest behind: it serves none but these reads, so they leave the others
		// free, and a long read that stops its node's apply stops it where it costs least. Guards against replicas
		// lagging all in turn; it harms if the laggard is slow as well, hence only until its answers take half of
		// their contract time.
		if t.Need == Any && m.lag > r.useful && m.held+m.ghosts < m.room/2 && m.strain < ease {
			score += float64(m.lag)
		}
		switch {
		case score > top:
			top, best, ties = score, n, 1
		case score == top:
			if ties++; r.chance.below(ties) == 0 {
				best = n
			}
		}
	}
	return best, fresh
}

// roomFor is a node's room for a job; one that has a trip out already takes only what is to spare.
func (m *node) roomFor(j *job) float64 {
	if j.out > 0 {
		return m.room / 2
	}
	return m.room
}

func (j *job) tried(n int32) bool {
	return slices.ContainsFunc(j.trips, func(k trip) bool { return k.node == n })
}

// holds tells whether a replica is known, or where nodes check for themselves presumed, to have what the job must
// see. Presumption covers reports as old as the bound itself; it costs a miss, so a miss ends it until news comes.
func (r *Router) holds(m *node, j *job, now int64) bool {
	need := j.need
	switch t := &r.tariffs[j.tariff]; {
	case t.Need == Bounded:
		need = now - t.Bound
	case t.Need == Any || need == 0:
		return true
	}
	return m.position >= need || r.check && m.heardPosition > m.missed && now-m.heardPosition < 2*r.refresh && now-m.lag >= need
}

// usable tells whether a node may be sent anything new.
func (r *Router) usable(m *node, now int64) bool {
	return m.standing == In && now >= m.aside && (m.failures < distrust || m.held == 0)
}

// primary is the member whose latest evidence says so, else the one listed if nothing speaks against it, else -1.
func (r *Router) primary(g int32, now int64) int32 {
	best, at := int32(-1), int64(-1)
	for _, n := range r.groups[g].members {
		m := &r.nodes[n]
		if m.standing != In && now > m.told+r.grace/2 {
			continue
		}
		if m.role == Primary && m.roleAt > at {
			best, at = n, m.roleAt
		} else if m.role == Unknown && m.listed && at < 0 {
			best, at = n, 0
		}
	}
	return best
}

// toPrimary sends a job to the primary, or holds it while there is none. Of a full primary, reads that replicas can't
// serve get least and the tariffs with the highest earnings most, so that writes survive replicas lagging all at once.
func (r *Router) toPrimary(j *job, now int64) {
	t := &r.tariffs[j.tariff]
	n := r.primary(j.group, now)
	if n >= 0 {
		m, share := &r.nodes[n], t.share
		if j.fallback {
			share = 0.5
		}
		if now >= m.aside && (m.failures < distrust || m.held == 0) {
			if m.held+m.ghosts < m.roomFor(j)*share && r.bears(m, t.usual, now) {
				r.send(j, n, now)
				return
			}
			if t.Need != Write {
				r.giveUp(j, now, 0)
				return
			}
		}
	} else if t.Need == Write && len(j.trips) < r.maxTrips-2 {
		if n = r.nextMember(j, now); n >= 0 {
			r.send(j, n, now)
			return
		}
	}
	if now >= j.holdEnd || now+2*r.sweep >= j.limit {
		r.giveUp(j, now, r.longestAway)
	} else {
		j.held = true
	}
}

// nextMember is the member most likely to be primary that this job has not tried: one with no known role, else the
// one with most of the log among those not lately known to be a replica.
func (r *Router) nextMember(j *job, now int64) int32 {
	best, top := int32(-1), int64(-1)
	for _, n := range r.groups[j.group].members {
		m := &r.nodes[n]
		if !r.usable(m, now) || j.tried(n) || m.role == Replica && m.roleAt > now-r.sweep ||
			!r.bears(m, r.tariffs[j.tariff].usual, now) {
			continue
		}
		if m.position > top {
			best, top = n, m.position
		}
	}
	return best
}

func (r *Router) warmth(m *node, now int64) float64 {
	if m.launched == 0 || now >= m.launched+r.coldFor {
		return 1
	}
	return r.startShare + (1-r.startShare)*float64(max(now-m.launched, 0))/float64(r.coldFor)
}

// bears tells whether a young node may be sent so much more work: over the rule's span, its warmth's share of what
// warm nodes bear on average, so that all routers together stay under what it can do. Its own report of waiting
// jobs closes it. Guards the cold rule also for a primary that is young; it harms where traffic has just jumped.
func (r *Router) bears(m *node, work float64, now int64) bool {
	w := r.warmth(m, now)
	if w >= 1 {
		return true
	}
	r.decay(m, now)
	return m.queue < 1 && m.sentWork+work <= w*r.perSpan*r.borne*m.weight
}

func (r *Router) decay(m *node, now int64) {
	if now > m.sentAt {
		m.sentWork *= math.Exp(-float64(now-m.sentAt) / float64(r.span))
		m.sentAt = now
	}
}

// mayRepeat tells whether another trip is allowed by the job's tariff, wherever it goes in its group.
func (r *Router) mayRepeat(j *job, now int64) bool {
	if j.over || len(j.trips) >= r.maxTrips || j.out > 0 && !r.second || now >= j.limit {
		return false
	}
	t := &r.tariffs[j.tariff]
	first := j.firstMayRun()
	return first < 0 || t.Repeat == Reissuable || t.Repeat == Numbered && now <= first+t.Window
}

// firstMayRun is when the earliest trip left that may have run, or -1.
func (j *job) firstMayRun() int64 {
	for i := range j.trips {
		if j.trips[i].mayHaveRun() {
			return j.trips[i].sent
		}
	}
	return -1
}

func (k *trip) mayHaveRun() bool { return k.out || k.ending == Done || k.ending > Moot }

// circled tells whether the node is in the circle that discards repeats of the job.
func (r *Router) circled(j *job, n int32) bool {
	t := &r.tariffs[j.tariff]
	return t.Repeat != Numbered || t.Circle != OfZone || !slices.ContainsFunc(j.trips, func(k trip) bool {
		return k.mayHaveRun() && r.nodes[k.node].zone != r.nodes[n].zone
	})
}

func (r *Router) send(j *job, n int32, now int64) {
	if !r.circled(j, n) {
		r.giveUp(j, now, 0)
		return
	}
	m, t := &r.nodes[n], &r.tariffs[j.tariff]
	j.held = false
	if m.held == 0 {
		m.heard = now
	}
	k := trip{node: n, out: true, answers: m.answers, among: m.held + m.ghosts, sent: now, expected: 1 / t.usual,
		then: (*Router).afterRead}
	if t.Need == Write {
		k.then = (*Router).afterWrite
	}
	j.trips = append(j.trips, k)
	j.out++
	m.held++
	m.expected += k.expected
	r.decay(m, now)
	m.sentWork += t.usual
	r.out.Submit(j.place, int(n), j.limit)
}

// Ended takes in a trip's ending. If settled, the client has had its answer.
func (r *Router) Ended(now int64, p Place, leg int, e Ending, settled bool, took int64, note Note, rep Report) {
	j := &r.jobs[p]
	if !j.live || leg < 0 || leg >= len(j.trips) || !j.trips[leg].out {
		return
	}
	k := &j.trips[leg]
	m, t := &r.nodes[k.node], &r.tariffs[j.tariff]
	k.out, k.ending = false, e
	j.out--
	if !k.lost {
		m.release(k)
	}
	if e <= Full || e == Failed {
		r.answered(m, now)
	}
	switch e {
	case Done:
		m.failures, m.aside = 0, 0
		m.ghosts -= m.ghosts / (1 + m.held)
		t.usual += slow * (float64(took) - t.usual)
		m.answers++
		if !k.late {
			m.learn(k.among+1, float64(took)/float64(t.ContractTime))
		}
		if t.Need == Write && !r.carried && note.Position > 0 {
			r.remember(j.session, note.Position)
		}
	case Miss:
		if t.Need != Write {
			m.missed = now
		}
	case Full:
		m.room = max(leastRoom, m.room+quick*(k.among-m.room))
	case Unreachable, Broken:
		m.unreached = true
		r.setAside(m, now)
	case Failed:
		if m.failures++; m.failures >= distrust {
			r.setAside(m, now)
		}
	case TimedOut, Revoked:
		if !k.lost {
			m.ghosts++
		}
	}
	if t.Need == Write {
		note.Position = 0 // a commit's is rounded up, so it is no lower bound
	}
	r.noted(m, now, note.Role, note.Position, now)
	r.reported(m, now, rep)
	if j.over = j.over || settled; !j.over {
		k.then(r, j, e, now)
	}
	r.vacate(p)
}

// learn takes in how long a trip took, as a part of its contract time, with so many trips at the node. Where time
// goes up with their number, room follows it to the number at which a trip takes half its contract time.
func (m *node) learn(among, part float64) {
	m.strain += quick * (part - m.strain)
	if m.strain > ease {
		m.opening = false
		if fit := among * ease / m.strain; fit < m.room {
			m.room = max(leastRoom, m.room+quick*(fit-m.room))
		}
	} else if m.opening && among >= m.room/2 {
		m.room = min(mostRoom, m.room+1)
	} else if among >= m.room/2 {
		m.room = min(mostRoom, m.room*roomUp)
	}
}

func (r *Router) vacate(p Place) {
	if j := &r.jobs[p]; j.live && j.over && j.out == 0 {
		j.live = false
		r.free = append(r.free, p)
		r.out.Vacate(p)
	}
}

// answered takes in a sign of life. A node that was out of reach has started again, and so may be cold.
func (r *Router) answered(m *node, now int64) {
	m.heard = now
	if m.unreached {
		m.unreached = false
		m.launched = now
	}
}

// noted takes in evidence of a node's role and position, true at the time given.
func (r *Router) noted(m *node, now int64, role Role, position, at int64) {
	if role != Unknown && at >= m.roleAt {
		m.role, m.roleAt = role, at
	}
	if position > 0 {
		m.position = max(m.position, position)
		m.heardPosition, m.lag = now, now-position
	}
}

// reported takes in a report. A primary stands at the time of its report, a replica's is no older than its position.
func (r *Router) reported(m *node, now int64, rep Report) {
	if rep.Given {
		r.noted(m, now, rep.Role, rep.Position, rep.Position)
		m.queue = rep.Queue
	}
}

// setAside keeps new trips from a node for a fixed time and a random part, so that routers don't return together.
func (r *Router) setAside(m *node, now int64) {
	m.failures += distrust
	m.aside = now + r.asideFor + r.chance.below(r.asideFor)
}

// afterRead goes on with a read whose trip has ended without an answer.
func (r *Router) afterRead(j *job, e Ending, now int64) {
	if j.out == 0 || e == Miss || e == Full {
		r.place(j, now)
	}
}

// afterWrite goes on with a write: after a miss, with the next member.
func (r *Router) afterWrite(j *job, e Ending, now int64) {
	if j.out == 0 {
		r.place(j, now)
	}
}

// giveUp ends a job at once, unless a trip of it may still bring an answer: bounced where a retry is harmless,
// terminated elsewhere.
func (r *Router) giveUp(j *job, now, away int64) {
	if j.over || j.out > 0 && now < j.limit {
		j.held = false
		return
	}
	j.over, j.held = true, false
	t := &r.tariffs[j.tariff]
	if t.Repeat == Reissuable || j.firstMayRun() < 0 || t.Repeat == Numbered && t.Circle == OfAll {
		r.out.Bounce(j.place, away)
	} else {
		r.out.Terminate(j.place)
	}
	r.vacate(j.place)
}

// Left tells that the job's client has gone; nothing more is owed.
func (r *Router) Left(p Place) {
	if r.jobs[p].live {
		r.jobs[p].over = true
		r.vacate(p)
	}
}

// Probed takes in a probe's result.
func (r *Router) Probed(now int64, n int, ok bool, rep Report) {
	m := &r.nodes[n]
	m.probing = false
	if !ok {
		if m.failures++; m.failures >= distrust {
			m.unreached = true
			r.setAside(m, now)
		}
		return
	}
	r.reported(m, now, rep)
	if m.unreached {
		r.answered(m, now)
	}
}

// Wake is the alarm: it looks after the nodes, then after the jobs that wait.
func (r *Router) Wake(now int64) {
	r.out.Alarm(r.sweep)
	if r.asking && r.watchAt > 0 && now >= r.watchAt {
		r.watchAt = 0
		r.out.Watch()
	}
	sum, warm := 0.0, 0.0
	for i := range r.nodes {
		m := &r.nodes[i]
		if m.group < 0 {
			continue
		}
		r.decay(m, now)
		m.ghosts *= 1 - slow
		patience := float64(overdue)
		if m.failures >= distrust {
			patience = onTrial
		}
		if m.held > 0 && now >= m.aside && float64(now-m.heard)*m.expected > patience {
			r.setAside(m, now)
		}
		if m.standing != In {
			continue
		}
		if r.warmth(m, now) >= 1 {
			sum, warm = sum+m.sentWork/m.weight, warm+1
		}
		if now-m.heardPosition >= r.refresh && now-m.probed >= r.refresh && now >= m.aside {
			r.probe(int32(i), now)
		}
	}
	if warm > 0 {
		r.borne = sum / warm
	}
	for i := range r.groups {
		g := &r.groups[i]
		if p := r.primary(int32(i), now); (p < 0 || r.nodes[p].aside > now) && now-g.probed >= 4*r.sweep {
			g.probed = now
			for _, n := range g.members {
				if r.nodes[n].standing == In {
					r.probe(n, now)
				}
			}
		}
	}
	for i := range r.jobs {
		j := &r.jobs[i]
		if j.live && j.out > 0 {
			r.lateTrips(j, now)
		}
		switch {
		case !j.live || j.over:
		case j.held:
			r.waiting = append(r.waiting, Place(i))
		case j.out > 0 && now < j.wanted && r.waitsInVain(j, now) && r.mayRepeat(j, now):
			r.place(j, now)
		}
	}
	slices.SortFunc(r.waiting, func(a, b Place) int { return cmp.Compare(r.jobs[a].limit, r.jobs[b].limit) })
	for _, p := range r.waiting {
		r.jobs[p].held = false
		r.place(&r.jobs[p], now)
	}
	r.waiting = r.waiting[:0]
}

// lateTrips looks after trips past their contract time. Where the node has since answered many others, the trip or
// its answer may be lost, which says nothing of crowding and holds no room; else the node's strain rises at once.
func (r *Router) lateTrips(j *job, now int64) {
	t := &r.tariffs[j.tariff]
	for i := range j.trips {
		k := &j.trips[i]
		if !k.out || k.late || now-k.sent <= t.ContractTime {
			continue
		}
		m := &r.nodes[k.node]
		switch p := m.passed(k); {
		case p >= 3:
			k.late, k.lost = true, true
			m.release(k)
		case p < 2:
			k.late = true
			m.learn(k.among+1, 1.5)
		}
	}
}

// passed is how many times over the node has since answered as many trips as were there when this one left.
func (m *node) passed(k *trip) float64 { return (m.answers - k.answers) / (k.among + 1) }

func (m *node) release(k *trip) {
	m.held--
	m.expected -= k.expected
	if m.held == 0 {
		m.expected = 0
	}
}

// waitsInVain tells whether all that the job waits for are trips to nodes set aside, or overdue ones.
func (r *Router) waitsInVain(j *job, now int64) bool {
	t := &r.tariffs[j.tariff]
	overdue := max(int64(2*t.usual), t.ContractTime/2)
	for i := range j.trips {
		k := &j.trips[i]
		m := &r.nodes[k.node]
		if k.out && m.aside <= now && (now-k.sent < overdue || m.passed(k) < 2) {
			return false
		}
	}
	return true
}
