package rollout

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave makes a bucket 19% wide. A difference of one bucket is
	// tolerated; more counts as slower.
	bucketsPerOctave = 4
	// resolution is the upper bound of the first bucket. Shorter times count as
	// equal: no target is that short, and a good version was undone for a median
	// of 4 ms against 2 ms, a difference that CPU scheduling on the instance
	// explains.
	resolution = 8 * time.Millisecond
	// buckets is the number of buckets, which reach up to 262 s.
	buckets = 15 * bucketsPerOctave
)

// Histogram counts durations in logarithmic buckets. The zero value is empty;
// buckets are allocated on the first Add. It is not safe for concurrent use.
type Histogram struct {
	counts []uint32
	total  int
	// low and high are the first and last buckets in use.
	low, high int
}

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= resolution {
		return 0
	}
	return min(buckets-1, 1+int(math.Log2(float64(d)/float64(resolution))*bucketsPerOctave))
}

// upperBound returns the longest duration of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/bucketsPerOctave) * float64(resolution))
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) { h.addCount(bucketOf(d), 1) }

// addCount adds n to a bucket. Buckets out of range are ignored, because they may
// come from a peer.
func (h *Histogram) addCount(bucket int, n uint32) {
	if bucket < 0 || bucket >= buckets || n == 0 {
		return
	}
	if h.counts == nil {
		h.counts = make([]uint32, buckets)
		h.low, h.high = bucket, bucket
	}
	h.low, h.high = min(h.low, bucket), max(h.high, bucket)
	h.counts[bucket] += n
	h.total += int(n)
}

// Merge adds the counts of o.
func (h *Histogram) Merge(o *Histogram) {
	if o.total == 0 {
		return
	}
	for b := o.low; b <= o.high; b++ {
		h.addCount(b, o.counts[b])
	}
}

// Quantile returns the upper bound of the bucket that contains the quantile q, 0
// for an empty Histogram.
func (h *Histogram) Quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(h.total)))
	cumulative := 0
	for b, n := range h.counts {
		cumulative += int(n)
		if cumulative >= rank {
			return upperBound(b)
		}
	}
	return 0
}

// sparse returns the non-empty buckets as pairs of index and count.
func (h *Histogram) sparse() [][2]uint32 {
	var out [][2]uint32
	for b, n := range h.counts {
		if n > 0 {
			out = append(out, [2]uint32{uint32(b), n})
		}
	}
	return out
}

// addSparse adds buckets given as pairs of index and count.
func (h *Histogram) addSparse(pairs [][2]uint32) {
	for _, p := range pairs {
		h.addCount(int(p[0]), p[1])
	}
}

// rankSum compares durations of the new version, shortened by shift buckets, with
// those of the old one. It returns the Mann-Whitney statistic per old sample less
// its expectation, and its variance. A positive score means that the new version
// is slower by more than the shift.
func rankSum(newer, older *Histogram, shift int) (score, variance float64) {
	if newer.total == 0 || older.total == 0 {
		return 0, 0
	}
	n, m := float64(newer.total), float64(older.total)
	below, next := 0.0, older.low
	for b := newer.low; b <= newer.high; b++ {
		count := newer.counts[b]
		if count == 0 {
			continue
		}
		at := b - shift
		for next < at && next < buckets {
			below += float64(older.counts[next])
			next++
		}
		same := 0.0
		if at >= 0 {
			same = float64(older.counts[at])
		}
		score += float64(count) * ((below+same/2)/m - 0.5)
	}
	return score, n * (n + m + 1) / (12 * m)
}
