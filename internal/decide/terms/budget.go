package terms

// retryBudget counts the first and the extra attempts (retries and hedged attempts) of a route within a sliding window, which
// advances by buckets. Extra attempts stay within their share of the first ones in every window that begins on a bucket.
type retryBudget struct {
	bucketWidth              int64 // ns; 0: nothing is counted
	current                  int64 // number of the bucket that is being filled, counted from time 0
	firsts, extras           [budgetBuckets]uint32
	totalFirsts, totalExtras uint32
}

const budgetBuckets = 8

// setWindow sets the length of the window. If it changes, the counts so far are dropped.
func (b *retryBudget) setWindow(window int64) {
	if width := window / budgetBuckets; width != b.bucketWidth {
		*b = retryBudget{bucketWidth: width}
	}
}

// advance drops the buckets that have left the window.
func (b *retryBudget) advance(now int64) {
	bucket := now / b.bucketWidth
	if bucket-b.current >= budgetBuckets || bucket < b.current {
		*b = retryBudget{bucketWidth: b.bucketWidth, current: bucket}
		return
	}
	for b.current < bucket {
		b.current++
		i := b.current % budgetBuckets
		b.totalFirsts -= b.firsts[i]
		b.totalExtras -= b.extras[i]
		b.firsts[i], b.extras[i] = 0, 0
	}
}

// countFirst counts a first attempt.
func (b *retryBudget) countFirst(now int64) {
	if b.bucketWidth > 0 {
		b.advance(now)
		b.firsts[b.current%budgetBuckets]++
		b.totalFirsts++
	}
}

// grantExtra counts an extra attempt and returns true if the budget has one left. The budget is the larger of the floor and
// the share of the first attempts.
func (b *retryBudget) grantExtra(now int64, share float64, floor int) bool {
	if b.bucketWidth == 0 {
		return true
	}
	b.advance(now)
	if float64(b.totalExtras)+1 > max(float64(floor), share*float64(b.totalFirsts)) {
		return false
	}
	b.extras[b.current%budgetBuckets]++
	b.totalExtras++
	return true
}

// hedgeCredit is the credit of a route for hedged attempts, in fixed point: one costs oneHedge. Each first attempt earns the
// share of requests that may have a hedged attempt, so hedged attempts never exceed that share of the requests. The credit is
// capped, so that a route cannot save up during idle times and send many hedged attempts at once.
type hedgeCredit int64

const (
	oneHedge       = 1 << 16
	maxSavedHedges = 8
)

func (c *hedgeCredit) earn(share float64) {
	*c = min(*c+hedgeCredit(share*oneHedge), maxSavedHedges*oneHedge)
}

func (c *hedgeCredit) available() bool { return *c >= oneHedge }

func (c *hedgeCredit) spend() { *c -= oneHedge }

// MinBudgetWindow is the shortest window of a budget, in ns; a shorter one would hardly contain a first attempt.
const MinBudgetWindow = 100_000_000
