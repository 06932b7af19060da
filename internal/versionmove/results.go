package versionmove

import "time"

// Recent results are those of the last recentWindow, or of a longer time if fewer than
// recentAttempts attempts at the new version ended in it.
const (
	recentWindow   = 2 * time.Second
	recentAttempts = 40
)

// Results compares the results of both versions of a move.
type Results struct {
	// Old and New are the results of both versions since the new one got a share, or
	// since the counting processes started if another holder began the move.
	Old Tally
	New Tally
	// RecentOld and RecentNew are the recent part of them. A version that turns bad shows in
	// them sooner than in all its results.
	RecentOld Tally
	RecentNew Tally
}

// resultsTracker derives Results from the sums of all tallies.
type resultsTracker struct {
	// oldBaseline and newBaseline are subtracted from the sums.
	oldBaseline, newBaseline Tally
	samples                  []tallySample
}

type tallySample struct {
	at             time.Time
	oldSum, newSum Tally
}

// reset starts anew at these sums.
func (r *resultsTracker) reset(oldSum, newSum Tally) {
	*r = resultsTracker{oldBaseline: oldSum, newBaseline: newSum}
}

// update returns the results at these sums.
func (r *resultsTracker) update(now time.Time, oldSum, newSum Tally) Results {
	oldSum, newSum = oldSum.since(r.oldBaseline), newSum.since(r.newBaseline)
	if len(r.samples) == 0 {
		r.samples = append(r.samples, tallySample{at: now})
	}
	r.samples = append(r.samples, tallySample{at: now, oldSum: oldSum, newSum: newSum})
	for len(r.samples) > 2 && now.Sub(r.samples[1].at) >= recentWindow && newSum.since(r.samples[1].newSum).attempts() >= recentAttempts {
		r.samples = r.samples[1:]
	}
	first := r.samples[0]
	return Results{Old: oldSum, New: newSum, RecentOld: oldSum.since(first.oldSum), RecentNew: newSum.since(first.newSum)}
}
