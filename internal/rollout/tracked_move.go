package rollout

import (
	"time"

	"rattantide/internal/dispatch"
)

// trackedMove is what a guard knows of a move; the guard's lock protects it.
type trackedMove struct {
	evidence *Evidence
	verdict  *Verdict
	judgedAt time.Time
	usedAt   time.Time
	// lostAt is, per upstream, when its attempts were last lost together.
	lostAt map[string]time.Time
}

// countLoss reports whether a lost attempt counts. An upstream that is lost
// takes all its open attempts with it, which is one event and not many.
func (t *trackedMove) countLoss(s *dispatch.MoveSample) bool {
	if last, ok := t.lostAt[s.Upstream]; ok && !s.StartedAt.After(last) {
		return false
	}
	if t.lostAt == nil {
		t.lostAt = map[string]time.Time{}
	}
	t.lostAt[s.Upstream] = s.EndedAt
	return true
}

// add counts a sample and returns what is found bad, if anything. Only the
// tests that the sample can change are made.
func (t *trackedMove) add(s *dispatch.MoveSample, slot int64, newer bool, now time.Time, alpha float64) *Finding {
	key := CellKey{Route: s.Route, Band: bandOf(s.Load)}
	seen := Side{}
	if !s.Open {
		seen.Requests = 1
	}
	switch {
	case s.Failed:
		seen.Errors = 1
	default:
		if s.Latency > 0 {
			seen.First.Add(s.Latency)
		}
		if s.Gap > 0 {
			seen.Gap.Add(s.Gap)
		}
	}
	t.evidence.add(key, stratumKey{slot: slot, work: workOf(s.UncachedTokens)}, newer, &seen)
	switch {
	case !newer || t.verdict != nil:
		return nil
	case s.Failed:
		if f := judgeCell(t.evidence, key, alpha, metricErrors); f != nil {
			return f
		}
		return judgeAll(t.evidence, alpha)
	case now.Sub(t.judgedAt) >= judgeEvery:
		t.judgedAt = now
		return judgeCell(t.evidence, key, alpha, metricFirst, metricGap)
	}
	return nil
}
