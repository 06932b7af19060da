package versionmove

import "time"

// Phase is the phase of a move.
type Phase string

// The phases of a move.
const (
	PhaseRunning Phase = "running"
	PhaseDone    Phase = "done"
	PhaseUndone  Phase = "undone"
)

const (
	// maxFailureExcess is the largest tolerated difference between the failure
	// shares of the new and the old version.
	maxFailureExcess = 0.08
	// minFailures is the minimum number of failures that can count against a
	// version.
	minFailures = 6
	// The new version is too slow if its mean time to the first answer exceeds
	// both minSlowMs milliseconds and slowFactor times that of the old version, or its
	// typical time between two events exceeds slowFactor times that of the old version.
	slowFactor = 2.5
	minSlowMs  = 60.0
	// minAnswers is the minimum number of answers of a version for its latency
	// to be judged, and of the new version for it to be accepted at the deadline.
	minAnswers = 30
	// minGapAnswers is the same for the times between events. They hardly depend on the
	// prompt, so that fewer answers tell.
	minGapAnswers = 15
	// canaryShare is the share of the traffic that the new version gets until
	// the move is decided. Operators allow a bad version a tenth of all requests
	// of the move, so a larger share cannot be risked before.
	canaryShare = 0.08
	// canaryTimeShare is the share of a move's time for which the new version
	// must work before it gets all traffic, because some versions turn bad only
	// later.
	canaryTimeShare = 0.4
	// canaryMinAnswers is the minimum number of answers by the new version for a
	// move to be completed before its deadline.
	canaryMinAnswers = 100
)

// State is the stored state of a move.
type State struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Phase   Phase  `json:"phase"`
	// DeadlineMs is the deadline in Unix milliseconds of the true time.
	DeadlineMs int64 `json:"byMs"`
	// Share is the new version's share of the traffic, from 0 to 1, and
	// ShareSinceMs is when it took effect, in Unix milliseconds of the true
	// time.
	Share        float64 `json:"share"`
	ShareSinceMs int64   `json:"shareSinceMs,omitempty"`
	// Reason describes why the move ended.
	Reason string `json:"reason,omitempty"`
	// StartedMs is when the move was first stored, in Unix milliseconds of the true time,
	// and Step counts the changes of its state since then.
	StartedMs int64 `json:"startedMs,omitempty"`
	Step      int64 `json:"step,omitempty"`
}

// isAfter reports whether s follows other by what the states themselves tell: it is of a
// later move, or of the same one and further. A verdict is final, so that it follows every
// state of a running move.
func (s State) isAfter(other State) bool {
	if s.StartedMs != other.StartedMs {
		return s.StartedMs > other.StartedMs
	}
	if sEnded, otherEnded := s.Phase != PhaseRunning, other.Phase != PhaseRunning; sEnded != otherEnded {
		return sEnded
	}
	return s.Step > other.Step
}

// Evidence is the input to the decision about a move.
type Evidence struct {
	// Old and New are the results of both versions since the holder last changed
	// the state, or since the counting processes started if it has not changed
	// it yet.
	Old Tally
	New Tally
	// Elapsed is the time since the current share took effect, Within is the time
	// from the declaration to the deadline, and Left is the time that remains for
	// the decision.
	Elapsed time.Duration
	Within  time.Duration
	Left    time.Duration
	// Ready is true if live upstreams of the new version exist.
	Ready bool
}

// Decide returns the next state of a move. A move that has ended stays as it is.
func Decide(s State, e Evidence) State {
	switch {
	case s.Phase != PhaseRunning:
		return s
	case isWorse(e):
		return s.end(PhaseUndone, 0, "the new version fails more or answers slower")
	case e.Left <= 0 && e.New.Answers >= minAnswers:
		return s.end(PhaseDone, 1, "deadline, with no evidence against the new version")
	case e.Left <= 0:
		return s.end(PhaseUndone, 0, "deadline before the new version was seen to work")
	case s.Share > 0 && e.New.Answers >= canaryMinAnswers && e.Elapsed >= time.Duration(canaryTimeShare*float64(e.Within)):
		return s.end(PhaseDone, 1, "the new version was seen to work")
	case s.Share == 0 && e.Ready:
		s.Share = canaryShare
	}
	return s
}

// elapsed returns the time since the current share took effect, 0 if there is none.
func (s State) elapsed(now time.Time) time.Duration {
	if s.ShareSinceMs == 0 {
		return 0
	}
	return now.Sub(time.UnixMilli(s.ShareSinceMs))
}

// loser returns the version that gets no traffic after the end of the move.
func (s State) loser() string {
	if s.Phase == PhaseDone {
		return s.From
	}
	return s.To
}

// end returns the state of a move that ended.
func (s State) end(phase Phase, share float64, reason string) State {
	s.Phase, s.Share, s.Reason = phase, share, reason
	return s
}

// isWorse reports whether the new version fails more often or answers more slowly
// than tolerated.
func isWorse(e Evidence) bool {
	if e.New.Failures >= minFailures && e.New.failureShare() > e.Old.failureShare()+maxFailureExcess {
		return true
	}
	if e.New.Gaps >= minGapAnswers && e.Old.Gaps >= minAnswers && e.New.typicalGapMs() > slowFactor*e.Old.typicalGapMs() {
		return true
	}
	newMean := e.New.meanFirstMs()
	return e.New.Answers >= minAnswers && e.Old.Answers >= minAnswers && newMean > minSlowMs && newMean > slowFactor*e.Old.meanFirstMs()
}
