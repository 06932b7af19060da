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
			t.log("prompt part is confirmed to crash upstreams", v)
			t.hasNews = true
		}
	}
}

// mostIncriminated returns the parts with the most losses against them up to a time, and
// these losses, if they suffice for a verdict. Parts with the same losses cannot be told
// apart, except that one on which an answer began a short time ago is less likely the
// cause; it needs as many losses as confirm a verdict. t.mu must be held.
func (t *Tracker) mostIncriminated(until time.Time) (parts []uint64, losses []*loss) {
	against := map[uint64][]*loss{}
	for _, l := range t.losses {
		if l.isExplained || l.at.After(until) {
			continue
		}
		for part := range l.suspects {
			against[part] = append(against[part], l)
		}
	}
	moments := 0
	for _, part := range slices.Sorted(maps.Keys(against)) {
		count := countMoments(against[part])
		switch {
		case count > moments:
			parts, losses, moments = []uint64{part}, against[part], count
		case slices.Equal(against[part], losses):
			parts = append(parts, part)
		}
	}
	neverBegun := slices.DeleteFunc(slices.Clone(parts), t.hasBegun)
	switch {
	case len(neverBegun) > 0 && moments >= suspendLosses:
		return neverBegun, losses
	case moments >= confirmLosses:
		return parts, losses
	}
	return nil, nil
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

// hasBegun reports whether any answer is remembered to have begun on a part. t.mu must be
// held.
func (t *Tracker) hasBegun(part uint64) bool { return !t.begun[part].IsZero() }
