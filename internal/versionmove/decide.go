package versionmove

import (
	"reflect"
	"time"
)

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
	// chanceExcess is the difference between the failure shares that may be chance, and
	// maxChance the largest probability at which recent failures, or those on a route, count
	// as chance.
	chanceExcess = 0.02
	maxChance    = 1e-4
	// The new version is too slow if its mean time to the first answer (of recent answers and
	// those on a route: the typical one) exceeds both minSlowMs milliseconds and slowFactor
	// times that of the old version, or its typical time between two events exceeds
	// slowGapFactor times that of the old version. The upstreams of a new version have less
	// load, at which a sound one is not slower, but its prompts are not cached yet.
	slowFactor    = 2.5
	slowGapFactor = 1.6
	minSlowMs     = 60.0
	// minAnswers is the minimum number of answers of a version for its latency
	// to be judged, and of the new version for it to be accepted at the deadline. It is
	// accepted with fewAnswers if no more of them fail than tolerated.
	minAnswers = 30
	fewAnswers = 12
	// minGapAnswers is the same for the times between events. They hardly depend on the
	// prompt, so that fewer answers tell.
	minGapAnswers = 15
)

// State is the stored state of a move.
type State struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Phase   Phase  `json:"phase"`
	// DeadlineMs is the deadline in Unix milliseconds of the true time.
	DeadlineMs int64 `json:"byMs"`
	// Share is the new version's share of the traffic, from 0 to 1. While the move is running,
	// RouteShares names the shares of routes that differ from it, which are Share together.
	Share       float64            `json:"share"`
	RouteShares map[string]float64 `json:"routeShares,omitempty"`
	// Refused names versions whose moves were undone and that were not ordered again.
	Refused []string `json:"refused,omitempty"`
	// Reason describes why the move ended.
	Reason string `json:"reason,omitempty"`
	// StartedMs is when the move was first stored, in Unix milliseconds of the true time,
	// and Step counts the changes of its state since then.
	StartedMs int64 `json:"startedMs,omitempty"`
	Step      int64 `json:"step,omitempty"`
}

// equal reports whether both states are the same.
func (s State) equal(other State) bool { return reflect.DeepEqual(s, other) }

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
	// Results are those of all requests, and Routes those of each route.
	Results
	Routes map[string]Results
	// StartedByRoute counts the attempts at both versions by route.
	StartedByRoute map[string]int64
	// Traffic counts the attempts at both versions, and Limits bounds those at the new one.
	Traffic Traffic
	Limits  ExposureLimits
	// Within is the time from the declaration to the deadline, and Left the time that
	// remains until then.
	Within time.Duration
	Left   time.Duration
	// Ready is true if live upstreams of the new version exist.
	Ready bool
	// Room compares the live upstreams of the new version with those that it needs.
	Room Room
}

// Decide returns the next state of a move. A move that has ended stays as it is. A version
// may turn bad at any time until the deadline, so that a new version without evidence
// against it gets all traffic only when what is left fits the limits.
func Decide(s State, e Evidence) State {
	next, _ := decide(s, e)
	return next
}

// decide returns the next state of a move and the plan that it follows from.
func decide(s State, e Evidence) (State, canaryPlan) {
	plan := planCanary(s.Share, e)
	if s.isInPlace() {
		plan = canaryPlan{share: 1, switchLead: maxSwitchLead}
	}
	isDue := e.Left <= e.Room.switchLead(plan)
	switch {
	case s.Phase != PhaseRunning:
	case s.isInPlace() && e.Left <= plan.switchLead:
		s = s.end(PhaseDone, 1, "the version serves already")
	case e.isWorse():
		s = s.end(PhaseUndone, 0, "the new version fails more or answers slower")
	case isDue && e.isSeenToWork() && !e.Room.isLost():
		s = s.end(PhaseDone, 1, "deadline, with no evidence against the new version")
	case e.Left <= 0 && e.Room.isLost():
		s = s.end(PhaseUndone, 0, "deadline, and no upstream of the new version is live")
	case e.Left <= 0:
		s = s.end(PhaseUndone, 0, "deadline before the new version was seen to work")
	case e.Ready && e.Left > plan.switchLead && plan.replaces(s.Share):
		s.Share = roundShare(plan.share)
		s.RouteShares = routeShares(s.Share, e.StartedByRoute)
	}
	return s, plan
}

// end returns the state of a move that ended.
func (s State) end(phase Phase, share float64, reason string) State {
	s.Phase, s.Share, s.RouteShares, s.Reason = phase, share, nil, reason
	return s
}

// isWorse reports whether the new version fails more often or answers more slowly than
// tolerated, in all or recently, or on a route.
func (e Evidence) isWorse() bool {
	if isWorse(e.Old, e.New) || isSurelyWorse(e.RecentOld, e.RecentNew) {
		return true
	}
	for _, r := range e.Routes {
		if isSurelyWorse(r.Old, r.New) || isSurelyWorse(r.RecentOld, r.RecentNew) {
			return true
		}
	}
	return false
}

// isSeenToWork reports whether the new version gave enough answers to be accepted if nothing
// speaks against it.
func (e Evidence) isSeenToWork() bool {
	if e.New.Answers >= minAnswers {
		return true
	}
	return e.New.Answers >= fewAnswers && e.New.failureShare() <= e.Old.failureShare()+maxFailureExcess
}

// isWorse reports whether the results of the new version are worse than tolerated.
func isWorse(oldTally, newTally Tally) bool {
	if failsMore(oldTally, newTally) || hasSlowerGaps(oldTally, newTally) {
		return true
	}
	return isSlower(newTally, oldTally, newTally.meanFirstMs(), oldTally.meanFirstMs())
}

// isSurelyWorse is isWorse for results of which there are many, recent ones and those of
// routes, so that a few failures or slow answers must not decide.
func isSurelyWorse(oldTally, newTally Tally) bool {
	if failsMore(oldTally, newTally) && newTally.isUnlikely(oldTally.failureShare()+chanceExcess) || hasSlowerGaps(oldTally, newTally) {
		return true
	}
	return isSlower(newTally, oldTally, newTally.typicalFirstMs(), oldTally.typicalFirstMs())
}

// failsMore reports whether the new version fails more often than tolerated.
func failsMore(oldTally, newTally Tally) bool {
	return newTally.Failures >= minFailures && newTally.failureShare() > oldTally.failureShare()+maxFailureExcess
}

// hasSlowerGaps reports whether the typical time between two events is longer than tolerated.
func hasSlowerGaps(oldTally, newTally Tally) bool {
	return newTally.Gaps >= minGapAnswers && oldTally.Gaps >= minAnswers && newTally.typicalGapMs() > slowGapFactor*oldTally.typicalGapMs()
}

// isSlower reports whether newMs is longer than tolerated beside oldMs, both times to the
// first answer in milliseconds, if there are enough answers to tell.
func isSlower(newTally, oldTally Tally, newMs, oldMs float64) bool {
	return newTally.Answers >= minAnswers && oldTally.Answers >= minAnswers && newMs > minSlowMs && newMs > slowFactor*oldMs
}
