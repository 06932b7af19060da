package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The bounds of an Evidence keep it within a datagram.
const (
	maxSentLosses   = 24
	maxSentBegun    = 128
	maxSentVerdicts = 64
)

// spreadTime is the age of a loss from which on every daemon knows which parts are cleared
// of it and which one explains it, so that this is no longer sent.
const spreadTime = 10 * time.Second

// Evidence is what one daemon tells another. Ages are in milliseconds, from the creation of
// the Evidence.
type Evidence struct {
	Losses   []LossRecord    `json:"l,omitempty"`
	Begun    []BegunRecord   `json:"b,omitempty"`
	Verdicts []VerdictRecord `json:"v,omitempty"`
}

// LossRecord is an upstream that was lost while answers on Parts had not begun.
type LossRecord struct {
	Upstream string   `json:"u"`
	AgeMs    int64    `json:"a"`
	Parts    []uint64 `json:"p"`
}

// BegunRecord is the latest answer that began on a part.
type BegunRecord struct {
	Part  uint64 `json:"p"`
	AgeMs int64  `json:"a"`
}

// VerdictRecord is the finding that Losses upstreams were lost under a part.
type VerdictRecord struct {
	Part         uint64 `json:"p"`
	Term         int    `json:"t,omitempty"`
	Losses       int    `json:"n"`
	LossAgeMs    int64  `json:"l"`
	RequestAgeMs int64  `json:"r"`
}

// IsEmpty reports whether there is nothing to tell.
func (e *Evidence) IsEmpty() bool { return len(e.Losses)+len(e.Begun)+len(e.Verdicts) == 0 }

// Evidence returns what this daemon knows.
func (t *Tracker) Evidence() Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	var e Evidence
	begun := map[uint64]time.Time{}
	maps.Copy(begun, t.cleared)
	counts := t.countLosses()
	for _, l := range slices.Backward(t.losses) {
		if len(e.Losses) == maxSentLosses {
			break
		}
		if parts := t.partsToTell(l, now, begun, counts); len(parts) > 0 {
			e.Losses = append(e.Losses, LossRecord{Upstream: l.upstream, AgeMs: now.Sub(l.at).Milliseconds(), Parts: parts[:min(len(parts), t.opts.Policy.MaxSentLossParts)]})
		}
	}
	for part, at := range begun {
		if len(e.Begun) < maxSentBegun {
			e.Begun = append(e.Begun, BegunRecord{Part: part, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	e.Verdicts = t.verdictRecords(now)
	return e
}

// partsToTell returns the parts that a loss counts against, or the one that explains it. It
// adds the parts that are cleared of the loss to begun. t.mu must be held.
func (t *Tracker) partsToTell(l *loss, now time.Time, begun map[uint64]time.Time, counts map[uint64]int) []uint64 {
	isRecent := now.Sub(l.at) <= spreadTime
	if l.isExplained {
		if isRecent {
			return []uint64{l.explainedBy}
		}
		return nil
	}
	if isRecent {
		for part, at := range l.cleared {
			if len(begun) < maxSentBegun {
				begun[part] = at
			}
		}
	}
	if isRecent && t.opts.Policy.TellsBegun {
		for part := range l.suspects {
			if at, isKnown := t.begun[part]; isKnown && len(begun) < maxSentBegun {
				begun[part] = at
			}
		}
	}
	return mostSuspectFirst(slices.Collect(maps.Keys(l.suspects)), counts)
}

// verdictRecords returns the verdicts, those of the latest requests first. t.mu must be
// held.
func (t *Tracker) verdictRecords(now time.Time) []VerdictRecord {
	var records []VerdictRecord
	for _, v := range t.verdicts {
		records = append(records, VerdictRecord{
			Part: v.part, Term: v.term, Losses: v.losses,
			LossAgeMs: now.Sub(v.lastLossAt).Milliseconds(), RequestAgeMs: now.Sub(v.lastRequestAt).Milliseconds(),
		})
	}
	slices.SortFunc(records, func(a, b VerdictRecord) int {
		return cmp.Or(cmp.Compare(a.RequestAgeMs, b.RequestAgeMs), cmp.Compare(a.Part, b.Part))
	})
	return records[:min(len(records), maxSentVerdicts)]
}

// Merge adds the evidence of another daemon, which was created at about the time at.
// Evidence that arrives late looks newer than it is, which at worst delays a verdict.
func (t *Tracker) Merge(e *Evidence, at time.Time) {
	if e.IsEmpty() {
		return
	}
	t.update(func() {
		for _, r := range e.Begun[:min(len(e.Begun), maxSentBegun)] {
			t.addBegun(r.Part, before(at, r.AgeMs))
		}
		for _, r := range e.Verdicts[:min(len(e.Verdicts), maxSentVerdicts)] {
			t.mergeVerdict(r, at)
		}
		for _, r := range e.Losses[:min(len(e.Losses), maxSentLosses)] {
			t.mergeLoss(r, at)
		}
		t.explainByVerdicts()
		t.cancelConfirmed()
	})
}

// before returns the time an age before at; a negative age counts as none.
func before(at time.Time, ageMs int64) time.Time {
	return at.Add(-time.Duration(min(max(ageMs, 0), forgetTime.Milliseconds())) * time.Millisecond)
}

func (t *Tracker) mergeLoss(r LossRecord, at time.Time) {
	lostAt := before(at, r.AgeMs)
	if at.Sub(lostAt) > lossRetention || r.Upstream == "" {
		return
	}
	if t.addLoss(r.Upstream, lostAt, r.Parts[:min(len(r.Parts), t.opts.Policy.MaxSentLossParts)]) {
		t.hasNews = true
		t.scheduleEvaluation(at)
	}
}

// mergeVerdict adds a verdict of another daemon unless an answer on the part disproves it.
// t.mu must be held.
func (t *Tracker) mergeVerdict(r VerdictRecord, at time.Time) {
	lastLossAt, lastRequestAt := before(at, r.LossAgeMs), before(at, r.RequestAgeMs)
	if r.Losses < t.opts.Policy.SuspendLosses || t.begun[r.Part].After(lastLossAt) || at.Sub(lastRequestAt) > holdTime && r.Term == 0 {
		return
	}
	v := t.verdicts[r.Part]
	if v == nil {
		v = t.newVerdict(r.Part)
	}
	switch {
	case r.Term > v.term:
		v.term, v.losses, v.explained = r.Term, r.Losses, min(r.Losses, t.opts.Policy.ConfirmLosses-1)
	case r.Term == v.term && r.Losses > v.losses:
		if !v.isConfirmed() {
			t.hasNews = true
		}
		v.losses = r.Losses
	}
	if lastLossAt.After(v.lastLossAt) {
		v.lastLossAt = lastLossAt
	}
	if lastRequestAt.After(v.lastRequestAt) {
		v.lastRequestAt = lastRequestAt
	}
}
