package balance

// A change of the list counts as told a while after discovery had it, whatever became of the calls for it.
// The bounds on the pauses between calls follow from that time; docs/told.md has the sum.
const (
	failuresInARow = 2        // calls that may fail one after the other without a change being heard too late
	toldMargin     = 1.0 / 12 // of the time after which a change counts as told: left to a busy machine
)

// boundPauses sets the pauses between calls for the list. Where a change counts as told after a while, what a
// watch that has fallen silent misses, and what discovery has at its return, is heard before that, though
// calls fail. An alarm may ring a sweep late.
func (r *Router) boundPauses(c *Settings) {
	r.firstPause, r.leastBackoff, r.mostBackoff = c.AskEvery/20, c.AskEvery/20, c.AskEvery/2
	r.askWithin, r.callTime = 0, c.ListCall
	told := c.ListTold - int64(toldMargin*float64(c.ListTold))
	pauses := max(told-c.ListSilence-failuresInARow*c.ListCall-(failuresInARow+1)*r.sweep, 0)
	if c.ListPushed { // asking costs nothing: all pauses are alike, well within the grace left at a return
		least := min(c.AskEvery/20, r.grace/4)
		if c.ListTold > 0 {
			least = min(least, pauses*2/3/(failuresInARow+1)) // each takes up to half as much again by chance
		}
		r.firstPause, r.leastBackoff, r.mostBackoff = least, least, least
	} else if c.ListTold > 0 {
		// Half for the first pause, which parts routers whose watches break together. The two behind it double,
		// and each takes up to half as much again by chance: 3/2 x (1 + 2) times the least.
		r.firstPause = min(r.firstPause, pauses/2)
		r.leastBackoff = min(r.leastBackoff, pauses/9)
		r.askWithin = max(told/(failuresInARow+1)-r.sweep, c.ListCall)
	}
}

// ListMoved has the list asked for anew, at a random moment soon.
func (r *Router) ListMoved(now int64) {
	r.backoff = r.leastBackoff
	r.watchAt = now + r.chance.below(r.firstPause)
	r.rouse(now)
}

// ListFailed tells that asking for the list failed, or that the watch broke. The next try comes later each
// time where asking costs, and at a random moment: routers that fail together don't ask together.
func (r *Router) ListFailed(now int64) {
	lasted := now - r.askedAt
	if r.askWithin > 0 && lasted > r.callTime*3/2 { // it was answered, and the watch has broken
		r.ListMoved(now)
		return
	}
	backoff := min(r.backoff, r.mostBackoff)
	if r.askWithin > 0 { // from the beginning of the call that has failed to that of the next
		backoff = min(backoff, max(r.askWithin-lasted, 0)*2/3)
	}
	r.watchAt = now + backoff/2 + r.chance.below(backoff)
	r.backoff = min(2*r.backoff, r.mostBackoff)
	r.rouse(now)
}
