package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sameLossWithin is the time within which losses of one upstream count as one. An
	// upstream may start again under its name.
	sameLossWithin = 2 * time.Second
	// lossRetention is how long a loss counts against the parts that were involved.
	lossRetention = 10 * time.Minute
	// maxLosses bounds the losses that are remembered.
	maxLosses = 64
)

// loss is the loss of an upstream while answers on parts had not begun.
type loss struct {
	upstream string
	at       time.Time
	// suspects are the parts that the loss counts against, and cleared those that it does
	// not count against, with the time of the answer that shows it.
	suspects map[uint64]struct{}
	cleared  map[uint64]time.Time
	// isExplained reports whether the loss is attributed to a quarantined part, explainedBy;
	// it then no longer counts against the other parts.
	isExplained bool
	explainedBy uint64
}

// countsAgainst reports whether the loss counts against a part.
func (l *loss) countsAgainst(part uint64) bool {
	_, isSuspect := l.suspects[part]
	return isSuspect && !l.isExplained
}

// clear removes the suspicion against a part if an answer that began on it at a time shows
// that it is not the cause. It reports whether the part was suspect.
func (l *loss) clear(part uint64, begunAt time.Time) bool {
	_, isSuspect := l.suspects[part]
	if !isSuspect || !begunAt.After(l.at.Add(-clearedBefore)) {
		return false
	}
	delete(l.suspects, part)
	l.cleared[part] = begunAt
	return true
}

// addSuspect adds a part whose latest answer began at a time. It reports whether the part
// is new. At most limit parts are remembered.
func (l *loss) addSuspect(part uint64, begunAt time.Time, limit int) bool {
	_, isSuspect := l.suspects[part]
	_, isCleared := l.cleared[part]
	if isSuspect || isCleared || len(l.suspects)+len(l.cleared) >= limit {
		return false
	}
	l.suspects[part] = struct{}{}
	l.clear(part, begunAt)
	return true
}

// findLoss returns the record of the loss of an upstream at about a time, or nil. t.mu
// must be held.
func (t *Tracker) findLoss(upstream string, at time.Time) *loss {
	for _, l := range t.losses {
		if l.upstream == upstream && l.at.Sub(at).Abs() < sameLossWithin {
			return l
		}
	}
	return nil
}

// addLoss adds parts to the record of a loss and reports whether that changed anything.
// t.mu must be held.
func (t *Tracker) addLoss(upstream string, at time.Time, parts []uint64) bool {
	l := t.findLoss(upstream, at)
	hasChanged := l == nil
	if l == nil {
		t.makeRoomForLoss()
		l = &loss{upstream: upstream, at: at, suspects: map[uint64]struct{}{}, cleared: map[uint64]time.Time{}}
		t.losses = append(t.losses, l)
	}
	for _, part := range mostSuspectFirst(parts, t.countLosses()) {
		if l.addSuspect(part, t.begun[part], t.opts.Policy.MaxLossParts) {
			hasChanged = true
		}
	}
	return hasChanged
}

// makeRoomForLoss removes explained losses, and then the oldest, if there are too many.
// t.mu must be held.
func (t *Tracker) makeRoomForLoss() {
	for len(t.losses) >= maxLosses {
		index := max(0, slices.IndexFunc(t.losses, func(l *loss) bool { return l.isExplained }))
		t.losses = slices.Delete(t.losses, index, index+1)
	}
}

// removeExpiredLosses removes the losses that no longer matter. t.mu must be held.
func (t *Tracker) removeExpiredLosses(now time.Time) {
	t.losses = slices.DeleteFunc(t.losses, func(l *loss) bool {
		age := now.Sub(l.at)
		return age > lossRetention || age > spreadTime && (l.isExplained || len(l.suspects) == 0)
	})
}

// countLosses returns the number of losses that count against each part. t.mu must be held.
func (t *Tracker) countLosses() map[uint64]int {
	counts := map[uint64]int{}
	for _, l := range t.losses {
		if l.isExplained {
			continue
		}
		for part := range l.suspects {
			counts[part]++
		}
	}
	return counts
}

// mostSuspectFirst returns the parts ordered by the losses that count against them, so
// that many harmless parts cannot displace the one that crashes upstreams. Others are in
// random order, so that the one has a chance at each loss. counts are those of countLosses.
func mostSuspectFirst(parts []uint64, counts map[uint64]int) []uint64 {
	distinct := make(map[uint64]struct{}, len(parts))
	for _, part := range parts {
		distinct[part] = struct{}{}
	}
	sorted := slices.Collect(maps.Keys(distinct))
	rand.Shuffle(len(sorted), func(i, j int) { sorted[i], sorted[j] = sorted[j], sorted[i] })
	slices.SortStableFunc(sorted, func(a, b uint64) int { return cmp.Compare(counts[b], counts[a]) })
	return sorted
}

// lossesAgainst returns the unexplained losses up to a time that count against a part; the
// zero time means all. t.mu must be held.
func (t *Tracker) lossesAgainst(part uint64, until time.Time) []*loss {
	var out []*loss
	for _, l := range t.losses {
		if l.countsAgainst(part) && (until.IsZero() || !l.at.After(until)) {
			out = append(out, l)
		}
	}
	return out
}
