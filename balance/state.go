package balance

import (
	"math"
	"slices"
)

// A step says what to do next with a job once a trip of it has ended.
type step func(r *Router, j *job, e Ending, now int64)

type trip struct {
	node            int32
	ending          Ending
	out, late, lost bool    // late: past its contract time; lost: no longer counted at its node
	sent            int64   // when
	answers, among  float64 // what its node had answered, and held of this router's, when it left
	crowd           float64 // what it was thought to hold in all
	due             float64 // answers in a nanosecond
	then            step
}

type job struct {
	place                             Place
	live, over, held, fallback, asked bool // fallback: no replica is fresh enough
	tariff, group, out                int32
	session                           uint64
	need                              int64 // position that a session read must see
	taken, wanted                     int64 // when it came in, and its contract time
	limit, holdEnd                    int64 // its hard limit, and until when it may be held
	trips                             []trip
}

type node struct {
	self, group, zone      int32
	standing               Standing
	role                   Role
	weight                 float64
	listed                 bool  // as primary
	word                   int   // of the list that last named it
	told, started          int64 // when it was said to leave, and when it started (0: long ago)
	position, heardOf, lag int64 // a lower bound, when it was last told, and how far behind then
	roleAt, missed         int64 // when its role was true, and when it last turned a read away
	heard                  int64 // when it last answered, or the oldest of its trips left
	aside, probed          int64 // until when, and when last
	unreached, probing     bool
	failures               int     // in a row
	held, ghosts           float64 // trips, and work that may go on though its trip has ended here
	due, answers           float64 // answers due in a nanosecond, and answers so far
	room                   room
	queue, shown           float64 // jobs waiting, and trips held, by its last report
	shownAt, answered      int64   // when it showed that, and when a probe of this router's last came back
	mark                   uint32
	work                   float64 // sent; decays over the span of the cold rule
	workAt                 int64
}

// room is how many trips a node can hold in good time.
type room struct {
	size, strain float64 // strain: mean time of a trip, as a part of its contract time
	opening      bool    // it has not been full yet
}

type tariff struct {
	Tariff
	usual float64 // mean time of a trip
	share float64 // of a primary's room that it may fill
}

type group struct{ members []int32 }

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

func (r *Router) group(g int) *group {
	for len(r.groups) <= g {
		r.groups = append(r.groups, group{})
	}
	return &r.groups[g]
}

func (j *job) tried(n int32) bool {
	return slices.ContainsFunc(j.trips, func(k trip) bool { return k.node == n })
}

func (m *node) release(k *trip) {
	m.held--
	if m.due -= k.due; m.held == 0 {
		m.due = 0
	}
}

// chance is a multiply-with-carry generator.
type chance uint64

func (c *chance) below(n int64) int64 {
	*c = chance(uint64(uint32(*c))*4294957665 + uint64(*c)>>32)
	return int64(uint64(uint32(*c)) * uint64(max(n, 1)) >> 32)
}

// passed is how many times over the node has answered as many trips as were there when this one left.
func (m *node) passed(k *trip) float64 { return (m.answers - k.answers) / (k.among + 1) }

func (k *trip) mayHaveRun() bool { return k.out || k.ending == Done || k.ending > Moot }

// decay brings a node's running sum of work sent to the present.
func (r *Router) decay(m *node, now int64) {
	if now > m.workAt {
		m.work *= math.Exp(-float64(now-m.workAt) / float64(r.span))
		m.workAt = now
	}
}
