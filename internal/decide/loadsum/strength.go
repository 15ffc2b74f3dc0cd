package loadsum

import (
	"maps"
	"math"
	"slices"
)

// Limits of the estimate of strength.
const (
	curveOver      = 10.0 // seconds over which a group's common curve is learnt
	strengthOver   = 3.0  // and what a node makes of it
	doubt          = 100  // attempts for which a node is taken to be as its weight says
	noise          = 0.15 // logarithm of a strength that is no news; near its limit a node bears no weight that is but noise
	maxLogStrength = 1.4
	clear          = 1.0  // of a single word: more is believed over time only
	failing        = 0.05 // part of its attempts: times of what fails say nothing of strength
	leastRate      = 5.0  // attempts a second below which nothing is said
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

// updateStrengths has each node be judged by how long attempts take there, against what they take at its group's nodes on average with as many
// attempts in hand (Little's law gives the time from what is held and how fast it comes). A node at which they take twice as long is
// half as strong as its weight says, whatever the list tells and whatever the node says of itself. It goes by what attempts took, not by
// how evenly load lies: that would feed noise back, and at high load a weight that is wrong by a twentieth does harm.
func (l *Aggregator) updateStrengths(since int64) {
	secs := min(float64(since)/1e9, 1)
	curves := map[int64]*curve{}
	marks := slices.Sorted(maps.Keys(l.nodes))
	judged := func(t *nodeTotal) bool {
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
		keep := math.Exp(-secs / strengthOver)
		t.proof, t.trips = t.proof*keep, t.trips*keep
		others := *curves[t.group] // a node that stands apart would else draw the line through itself
		if others.sum(&t.seenOf, -1); judged(t) && others.n > doubt {
			w := t.rate * secs
			t.proof += w * min(clear, max(-clear, math.Log(others.at(t.held/t.weight)*t.rate/t.held)))
			t.trips += w
		}
		is := t.proof / (t.trips + doubt)
		t.logStrength = math.Copysign(min(maxLogStrength, max(0, math.Abs(is)-noise)), is)
		if t.fails > failing*t.rate {
			t.logStrength = -maxLogStrength
		}
	}
}
