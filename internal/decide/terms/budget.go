package terms

// window counts the first and the further attempts of a route over a time that slides on by parts of it, so that further
// attempts stay within their share wherever the window lies on those parts.
type window struct {
	part           int64 // of the window, in ns; 0: nothing is counted
	at             int64 // the number of the part that is being filled
	firsts, others [parts]uint32
	sumF, sumO     uint32
}

const parts = 8

// over has the window be so long. Counts of another length say nothing and are dropped.
func (w *window) over(span int64) {
	if part := span / parts; part != w.part {
		*w = window{part: part}
	}
}

// turn lets go of the parts that the window has left behind.
func (w *window) turn(now int64) {
	at := now / w.part
	if at-w.at >= parts || at < w.at {
		*w = window{part: w.part, at: at}
		return
	}
	for w.at < at {
		w.at++
		i := w.at % parts
		w.sumF -= w.firsts[i]
		w.sumO -= w.others[i]
		w.firsts[i], w.others[i] = 0, 0
	}
}

func (w *window) first(now int64) {
	if w.part > 0 {
		w.turn(now)
		w.firsts[w.at%parts]++
		w.sumF++
	}
}

// grant counts a further attempt if there is one left: of the share of first attempts, or of those that a quiet route has.
func (w *window) grant(now int64, share float64, floor int) bool {
	if w.part == 0 {
		return true
	}
	w.turn(now)
	if float64(w.sumO)+1 > max(float64(floor), share*float64(w.sumF)) {
		return false
	}
	w.others[w.at%parts]++
	w.sumO++
	return true
}

// credit is what a route has saved up for second copies: each first attempt adds the part that may have one, so that
// copies never exceed that part of the requests; idle times save up only so many, so that they don't come all together.
type credit int64

const (
	whole = 1 << 16
	saved = 8 // copies that can be saved up
)

func (c *credit) first(part float64) { *c = min(*c+credit(part*whole), saved*whole) }

func (c *credit) has() bool { return *c >= whole }

func (c *credit) spend() { *c -= whole }

// ShortestWindow is the shortest time that further attempts are counted over, in ns; in a shorter one hardly a first attempt
// would lie.
const ShortestWindow = 100_000_000
