package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is the time after a loss in which the evidence of other daemons arrives.
	// A part is judged by older losses only.
	settleTime = 300 * time.Millisecond
	// clearedBefore is how long before a loss an answer that has begun on a part clears it
	// of that loss. It is short, as a part may start to crash upstreams at any time.
	clearedBefore = 2 * time.Second
	// sameMomentWithin is the time within which losses of several upstreams count as one:
	// upstreams that end together, as in a reclaim, have a cause other than a request.
	sameMomentWithin = 20 * time.Millisecond
)

// evaluate passes the verdicts that the known losses call for. t.mu must be held.
func (t *Tracker) evaluate(now time.Time) {
	if t.evaluateAt.IsZero() || now.Before(t.evaluateAt) {
		return
	}
	t.evaluateAt = time.Time{}
	settled := now.Add(-settleTime)
	t.explainByVerdicts()
	for {
		parts, losses := t.mostIncriminated(settled)
		if len(losses) == 0 {
			break
		}
		for _, part := range parts {
			t.addVerdict(part, losses, now)
		}
		t.hasNews = true
		// The parts also explain the losses that have not settled yet.
		t.explainByVerdicts()
	}
	for _, l := range t.losses {
		if !l.isExplained && l.at.After(settled) {
			t.scheduleEvaluation(l.at.Add(settleTime))
		}
	}
	t.cancelConfirmed()
}

// scheduleEvaluation makes evaluate run at a time, or earlier if it is due earlier. t.mu
// must be held.
func (t *Tracker) scheduleEvaluation(at time.Time) {
	if t.evaluateAt.IsZero() || at.Before(t.evaluateAt) {
		t.evaluateAt = at
	}
}

// explainByVerdicts attributes losses to the quarantined parts that were involved in them,
// to all of them if there are several. t.mu must be held.
func (t *Tracker) explainByVerdicts() {
	explained := map[*verdict][]*loss{}
	for _, l := range t.losses {
		for _, v := range t.verdicts {
			if l.countsAgainst(v.part) {
				explained[v] = append(explained[v], l)
			}
		}
	}
	for v, losses := range explained {
		wasConfirmed := v.isConfirmed()
		v.explain(losses)
		if v.isConfirmed() && !wasConfirmed {
			t.log("is confirmed to crash upstreams", v)
			t.hasNews = true
		}
	}
}

// mostIncriminated returns the parts with the most losses against them up to a time, and
// these losses, if they suffice for a verdict. Parts with the same losses cannot be told
// apart. A part on which an answer began a short time ago comes after all others and needs
// losses at as many moments as confirm a verdict, as all requests to upstreams that end
// together contain some such part. t.mu must be held.
func (t *Tracker) mostIncriminated(until time.Time) (parts []uint64, losses []*loss) {
	rare, popular := map[uint64][]*loss{}, map[uint64][]*loss{}
	for _, l := range t.losses {
		if l.isExplained || l.at.After(until) {
			continue
		}
		for part := range l.suspects {
			if t.begun[part].IsZero() {
				rare[part] = append(rare[part], l)
			} else {
				popular[part] = append(popular[part], l)
			}
		}
	}
	maps.DeleteFunc(rare, func(_ uint64, against []*loss) bool { return !t.opts.Policy.suffices(against) })
	if len(rare) > 0 {
		return partsWithMost(rare)
	}
	maps.DeleteFunc(popular, func(_ uint64, against []*loss) bool { return countMoments(against) < t.opts.Policy.ConfirmLosses })
	return partsWithMost(popular)
}

// partsWithMost returns the parts with the most losses, and these losses.
func partsWithMost(against map[uint64][]*loss) (parts []uint64, losses []*loss) {
	for _, part := range slices.Sorted(maps.Keys(against)) {
		switch {
		case len(against[part]) > len(losses):
			parts, losses = []uint64{part}, against[part]
		case slices.Equal(against[part], losses):
			parts = append(parts, part)
		}
	}
	return parts, losses
}

// countMoments returns the number of losses that are at least sameMomentWithin apart.
func countMoments(losses []*loss) int {
	times := make([]time.Time, len(losses))
	for i, l := range losses {
		times[i] = l.at
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var counted time.Time
	for _, at := range times {
		if count == 0 || at.Sub(counted) >= sameMomentWithin {
			count++
			counted = at
		}
	}
	return count
}
