package evensim

import (
	"math"
	"slices"
	"time"

	"sedgestream/internal/lab/day"
)

// OfDay is the plan of a day of faults as it is in simulated time: what befalls nodes, and for how long no planner is there. What
// befalls routers among processes has no place in it.
func OfDay(d *day.Day, p Policy) Plan {
	f := &d.Fleet
	pl := Plan{Seed: d.Seed, Routers: f.Routers, Nodes: f.Nodes - 1, Groups: f.Groups, Cores: max(1, f.Cores), Mean: f.Work, Uneven: f.Uneven, Span: max(d.Span, 4*time.Second),
		Warm: 2 * time.Second, Period: d.Period / 2, Delay: 500 * time.Microsecond, Policy: p}
	jobs := float64(f.Routers*f.Clients) * math.Exp(f.Uneven*f.Uneven/2) / (f.Pause + f.Work).Seconds()
	pl.Load = jobs * f.Work.Seconds() / float64(pl.Groups*pl.Nodes*pl.Cores)
	on := func(k day.Kind, replica int, at time.Duration) *day.Fault {
		node := replica + 1 + replica/pl.Nodes // with its group's primary, and those before
		for i := range d.Faults {
			x := &d.Faults[i]
			if x.Kind == k && at >= x.At+pl.Warm*min(1, x.At) && (x.For == 0 || at < x.End()+pl.Warm) && slices.Contains(x.Who, node) {
				return x
			}
		}
		return nil
	}
	pl.Strength = func(n int, at time.Duration) float64 {
		if x := on(day.Weak, n, at); x != nil {
			return x.Part
		}
		return 1
	}
	pl.Lying = func(n int, at time.Duration) bool { return on(day.Lie, n, at) != nil }
	pl.Erring = func(n int, at time.Duration) bool { return on(day.Err, n, at) != nil }
	pl.Deaf = func(_ int, at time.Duration) bool {
		if !f.Loads {
			return true
		}
		down := map[int]bool{}
		for i := range d.Faults {
			if x := &d.Faults[i]; (x.Kind == day.Kill || x.Kind == day.Stop) && at >= x.At+pl.Warm && (x.For == 0 || at < x.End()+pl.Warm) {
				for _, who := range x.Who {
					if who < f.Planners {
						down[who] = true
					}
				}
			}
		}
		return len(down) == f.Planners
	}
	return pl
}
