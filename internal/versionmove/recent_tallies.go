package versionmove

import "time"

// Recent results are those of the last recentWindow, or of a longer time if fewer than
// recentAttempts attempts at the new version ended in it.
const (
	recentWindow   = 2 * time.Second
	recentAttempts = 40
)

// recentTallies keeps the recent tallies of both versions. A version that turns bad shows in
// them sooner than in all its results.
type recentTallies struct {
	samples []tallySample
}

type tallySample struct {
	at             time.Time
	oldSum, newSum Tally
}

// update adds the sums of all results and returns those of the recent ones.
func (r *recentTallies) update(now time.Time, oldSum, newSum Tally) (recentOld, recentNew Tally) {
	if len(r.samples) == 0 {
		r.samples = append(r.samples, tallySample{at: now})
	}
	r.samples = append(r.samples, tallySample{at: now, oldSum: oldSum, newSum: newSum})
	for len(r.samples) > 2 && now.Sub(r.samples[1].at) >= recentWindow && newSum.since(r.samples[1].newSum).attempts() >= recentAttempts {
		r.samples = r.samples[1:]
	}
	return oldSum.since(r.samples[0].oldSum), newSum.since(r.samples[0].newSum)
}
