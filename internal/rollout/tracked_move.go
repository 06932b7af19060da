package rollout

import (
	"time"

	"rattantide/internal/dispatch"
)

// trackedMove is a Guard's record of a move; the Guard's mutex protects it.
type trackedMove struct {
	evidence *Evidence
	verdict  *Verdict
	judgedAt time.Time
	usedAt   time.Time
	// lostAt is, by upstream, when an attempt was last counted as lost.
	lostAt map[string]time.Time
}

// recordLoss reports whether a lost attempt counts, and records the loss if so.
// All open attempts of an upstream are lost with it, which is one event.
func (t *trackedMove) recordLoss(s *dispatch.MoveSample) bool {
	if last, ok := t.lostAt[s.Upstream]; ok && !s.StartedAt.After(last) {
		return false
	}
	if t.lostAt == nil {
		t.lostAt = map[string]time.Time{}
	}
	t.lostAt[s.Upstream] = s.EndedAt
	return true
}

// add counts a sample and returns a finding if the new version is bad. Only the
// tests whose result the sample can change are run.
func (t *trackedMove) add(s *dispatch.MoveSample, slot int64, newer bool, now time.Time, alpha float64) *Finding {
	key := CellKey{Route: s.Route, Band: bandOf(s.Load)}
	stats := VersionStats{}
	if !s.InProgress {
		stats.Requests = 1
	}
	switch {
	case s.Failed:
		stats.Errors = 1
	default:
		if s.Latency > 0 {
			stats.First.Add(s.Latency)
		}
		if s.Gap > 0 {
			stats.Gap.Add(s.Gap)
		}
	}
	t.evidence.add(key, stratumKey{slot: slot, work: workOf(s.UncachedTokens)}, newer, &stats)
	switch {
	case !newer || t.verdict != nil:
		return nil
	case s.Failed:
		if f := judgeCell(t.evidence, key, alpha, metricErrors); f != nil {
			return f
		}
		return judgeAll(t.evidence, alpha)
	case now.Sub(t.judgedAt) >= judgeInterval:
		t.judgedAt = now
		return judgeCell(t.evidence, key, alpha, metricFirstToken, metricTokenGap)
	}
	return nil
}
