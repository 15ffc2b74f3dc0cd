package balance

// windowBuckets is the number of buckets that cover a window. One more bucket is kept, so that a sum may include values
// older than the window by up to one bucket.
const windowBuckets = 8

// slidingWindow sums the values added within a time span or slightly longer; it never drops a value before the span has
// passed. An exponentially decaying mean would not do: starting from empty it lets through twice as much in one span as
// it allows in the long run.
type slidingWindow struct {
	bucket  int64 // number of the newest bucket, counted from time 0
	buckets [windowBuckets + 1]float64
}

// bucketLen returns the length of a bucket, so that all buckets but one cover the span.
func bucketLen(span int64) int64 { return max((span+windowBuckets-1)/windowBuckets, 1) }

// advance clears the buckets that begin between the last call and now.
func (w *slidingWindow) advance(now, span int64) {
	current := now / bucketLen(span)
	for bucket := max(w.bucket+1, current-windowBuckets); bucket <= current; bucket++ {
		w.buckets[bucket%int64(len(w.buckets))] = 0
	}
	w.bucket = max(w.bucket, current)
}

// add adds a value at the present time.
func (w *slidingWindow) add(now, span int64, value float64) {
	w.advance(now, span)
	w.buckets[w.bucket%int64(len(w.buckets))] += value
}

// sum returns the sum of the values within the span.
func (w *slidingWindow) sum(now, span int64) (sum float64) {
	w.advance(now, span)
	for _, value := range w.buckets {
		sum += value
	}
	return sum
}
