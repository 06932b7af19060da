package admission

import "time"

const (
	// normalRatio is the time to the first answer, relative to the target, up to which
	// nothing is subtracted. It is below the ratio from which predictions count.
	normalRatio = 0.25
	// maxFirstBaseline bounds the baseline that the first median sets, in case that a pool
	// is overloaded when the daemon starts. The first answers are the earliest then.
	maxFirstBaseline = 0.6
	// baselineRise is the rise of a baseline per second while answers are later. Limits lower
	// a delay that depends on the load within a second; one that stays for a minute does
	// not, as that of a slow version or of a target that is hardly met at rest.
	baselineRise = 0.005
)

// ratioBaseline follows the lowest recent median of the time to the first answer of a
// priority relative to its target. Slowness that does not depend on the load must not limit
// the pool.
type ratioBaseline struct {
	value     float64
	updatedAt time.Time
}

// adjust returns the ratio less the part that does not depend on the load.
func (b *ratioBaseline) adjust(ratio float64, now time.Time) float64 {
	if b.updatedAt.IsZero() {
		b.value, b.updatedAt = min(ratio, maxFirstBaseline), now
	}
	b.value = min(max(ratio, 0), b.value+baselineRise*max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = now
	return ratio - b.excess()
}

// excess returns the part of the ratio that does not depend on the load.
func (b *ratioBaseline) excess() float64 { return max(0, b.value-normalRatio) }

// isEarly reports whether answers are known to be early at rest.
func (b *ratioBaseline) isEarly() bool { return !b.updatedAt.IsZero() && b.value <= normalRatio }

// withPrediction returns the higher one of an adjusted ratio and of what is predicted for the
// work that is outstanding now. A prediction counts only once answers are later than usual: it
// varies with the number of requests that happen to be open.
func withPrediction(ratio, predicted float64) float64 {
	if ratio <= predictionShare*rankOverloadRatio {
		return ratio
	}
	return max(ratio, min(predicted, 2*ratio))
}
