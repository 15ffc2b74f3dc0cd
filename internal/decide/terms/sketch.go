package terms

import "math/bits"

// sketch estimates quantiles of the latencies of a route's recent attempts. It is small enough for thousands of routes:
// counts in buckets whose width is at most an eighth of the latency. Whenever the total reaches decayThreshold, all counts
// are halved, so that old samples fade: the latest decayThreshold samples carry at least half of the weight.
type sketch struct {
	counts       [buckets]uint16
	total        uint32
	sinceRefresh int // samples since the cached quantiles were looked up
}

const (
	subBucketBits   = 3  // bits of a latency below its highest one that select the bucket
	minExponent     = 16 // latencies below two to this power (66 µs) count as that
	maxExponent     = 37 // latencies of two to this power (137 s) and above count as that
	buckets         = (maxExponent - minExponent) << subBucketBits
	decayThreshold  = 512 // total of the counts at which they are halved
	minSamples      = 32  // total below which no quantile is given
	refreshInterval = 8   // samples after which cached quantiles are looked up anew
)

// bucketOf returns the bucket of a latency in ns.
func bucketOf(latency int64) int {
	high := bits.Len64(uint64(max(latency, 1))) - 1
	switch {
	case high < minExponent:
		return 0
	case high >= maxExponent:
		return buckets - 1
	}
	return (high-minExponent)<<subBucketBits + int(latency>>(high-subBucketBits))&(1<<subBucketBits-1)
}

// bucketUpperBound returns the longest latency of the bucket, in ns.
func bucketUpperBound(b int) int64 {
	high := b>>subBucketBits + minExponent
	return (1<<subBucketBits|int64(b)&(1<<subBucketBits-1)+1)<<(high-subBucketBits) - 1
}

// add counts a latency in ns.
func (s *sketch) add(latency int64) {
	s.counts[bucketOf(latency)]++
	s.sinceRefresh++
	if s.total++; s.total >= decayThreshold {
		s.total = 0
		for i := range s.counts {
			s.counts[i] /= 2
			s.total += uint32(s.counts[i])
		}
	}
}

// quantile returns a latency that the given part of the samples, by weight, does not exceed; it is at most an eighth above
// the least such latency. ok is false if there are too few samples.
func (s *sketch) quantile(q float64) (latency int64, ok bool) {
	if s.total < minSamples {
		return 0, false
	}
	rank := uint32(q * float64(s.total))
	for i, n := range s.counts {
		if rank < uint32(n) {
			return bucketUpperBound(i), true
		}
		rank -= uint32(n)
	}
	return bucketUpperBound(buckets - 1), true
}
