package rollout

import (
	"fmt"
	"time"

	"rattantide/internal/api"
)

// Stages are the successive shares of traffic that a new version gets.
var Stages = []float64{0.01, 0.05, 0.20, 0.50, 1}

const (
	// reserveShare of the deadline, at most maxReserve, is reserved at the end
	// of a move, so that the outcome has reached all daemons before the
	// deadline. A configuration change takes effect within 9 s at the target
	// size.
	reserveShare = 0.1
	maxReserve   = 10 * time.Second
	// enoughRequests is the number of requests of each version that lets a stage
	// end after half of its time.
	enoughRequests = 50
	// minStageDivisor sets the shortest stage that still yields useful evidence,
	// as 1/minStageDivisor of the deadline.
	minStageDivisor = 50
)

// Decide returns the decision about a running move, given the evidence of all
// daemons and the store's time. It is a pure function.
//
// The time until the deadline, less a reserve, is divided evenly among the
// remaining stages, so that moves of any length pass through all of them. A stage
// ends after half of its time if there are enough requests, and otherwise at its
// end. It is prolonged while the evidence raises doubts about the new version.
func Decide(s State, e *Evidence, now time.Time) Decision {
	// A version that is bad at the stricter level is also suspected at the
	// weaker one, so one pass is enough for a good version.
	suspected := judge(e, holdRate)
	if suspected != nil {
		if f := judge(e, FalsePositiveRate/2); f != nil {
			return undoneAsBad(s, f)
		}
	}
	end := s.Deadline.Add(-min(maxReserve, time.Duration(float64(s.duration())*reserveShare)))
	doubt := doubtReason(s, e, suspected)
	if !now.Before(s.Deadline) {
		return undone(deadlineReason(s, doubt))
	}
	stage := stageOf(s.Share)
	length := end.Sub(s.ShareSince) / time.Duration(len(Stages)-stage)
	if length < s.duration()/minStageDivisor {
		return undone(deadlineReason(s, "too little of it was left for the remaining stages"))
	}
	elapsed := now.Sub(s.ShareSince)
	hold := Decision{Phase: api.MoveRunning, Share: Stages[stage]}
	switch {
	case s.Share < Stages[0]:
		hold.Reason = "the move starts"
		return hold
	case elapsed < length/2:
		hold.Reason = fmt.Sprintf("%s of traffic for at least %s", percent(s.Share), round(length/2))
		return hold
	case doubt != "":
		hold.Reason = "held at " + percent(s.Share) + ": " + doubt
		return hold
	case elapsed < length && !hasEnoughRequests(s, e):
		hold.Reason = fmt.Sprintf("%s of traffic for up to %s, until %d requests of each version were seen",
			percent(s.Share), round(length), enoughRequests)
		return hold
	}
	if stage < len(Stages)-1 {
		next := Stages[stage+1]
		return Decision{Phase: api.MoveRunning, Share: next, Reason: "advanced to " + percent(next) + " of traffic"}
	}
	older, newer := e.Totals(0)
	if newer.answered() == 0 {
		hold.Reason = fmt.Sprintf("held at %s: no request was answered by %s", percent(s.Share), s.To)
		return hold
	}
	return Decision{Phase: api.MoveDone, Share: 1, Verdict: api.VerdictGood, Reason: fmt.Sprintf(
		"%s served %d requests with %d errors; %s served %d with %d", s.To, newer.Requests, newer.Errors, s.From, older.Requests, older.Errors)}
}

// undoneAsBad returns the decision to undo a move because of a finding.
func undoneAsBad(s State, f *Finding) Decision {
	d := undone(f.Reason(s.From, s.To))
	d.Verdict = api.VerdictBad
	return d
}

// undone returns the decision to undo a move, without a verdict.
func undone(reason string) Decision {
	return Decision{Phase: api.MoveUndone, Reason: reason}
}

// deadlineReason returns the reason of a move that could not be completed by its
// deadline; why may be empty.
func deadlineReason(s State, why string) string {
	reason := fmt.Sprintf("the deadline came at %s of traffic", percent(s.Share))
	if why != "" {
		reason += ": " + why
	}
	return reason
}

func percent(share float64) string { return fmt.Sprintf("%g%%", share*100) }

// stageOf returns the index of the highest stage whose share is reached, 0 if none
// is.
func stageOf(share float64) int {
	stage := 0
	for i, s := range Stages {
		if share >= s {
			stage = i
		}
	}
	return stage
}

// hasEnoughRequests reports whether the evidence of the present stage has enough
// requests to end it early.
func hasEnoughRequests(s State, e *Evidence) bool {
	older, newer := e.Totals(s.slot(s.ShareSince))
	return newer.answered() >= enoughRequests && (s.Share >= 1 || older.answered() >= enoughRequests)
}

// doubtReason returns why the move must not advance although the new version was
// not found bad, or the empty string.
func doubtReason(s State, e *Evidence, suspected *Finding) string {
	older, newer := e.Totals(0)
	// With little traffic, even frequent failures may not be significant.
	if newer.Requests > 0 && 2*newer.Errors >= newer.Requests && 4*older.Errors < older.Requests {
		return fmt.Sprintf("%d of %d requests to %s failed", newer.Errors, newer.Requests, s.To)
	}
	if suspected != nil {
		return "possibly, " + suspected.Reason(s.From, s.To)
	}
	return ""
}
