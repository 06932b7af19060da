package rollout

import (
	"fmt"
	"time"

	"rattantide/internal/api"
)

// Stages are the shares of traffic that a new version gets in turn.
var Stages = []float64{0.01, 0.05, 0.20, 0.50, 1}

const (
	// reserveShare of the deadline, at most maxReserve, is kept so that the end
	// is known everywhere before the deadline. A configuration change takes
	// effect within 9 s at the target size.
	reserveShare = 0.1
	maxReserve   = 10 * time.Second
	// enoughRequests of both versions let a stage end after half of its time.
	enoughRequests = 50
	// leastStage is the shortest stage that still shows anything, as a part of
	// the deadline.
	leastStage = 50
)

// Decide returns what becomes of a running move, given the evidence of all
// daemons and the store's time. It is pure.
//
// The time until the deadline, less a reserve, is shared evenly by the stages
// that remain, so that moves of any length pass through all of them. A stage
// ends after half of its time when there is enough evidence, else at its end
// unless the evidence is in doubt.
func Decide(s State, e *Evidence, now time.Time) Decision {
	// What is bad is also in doubt, so that one pass is enough for a good
	// version.
	suspected := judge(e, holdRate)
	if suspected != nil {
		if f := judge(e, FalsePositiveRate/2); f != nil {
			return bad(s, f)
		}
	}
	end := s.By.Add(-min(maxReserve, time.Duration(float64(s.deadline())*reserveShare)))
	doubt := inDoubt(s, e, suspected)
	if !now.Before(s.By) {
		return undone(outOfTime(s, doubt))
	}
	stage := stageOf(s.Share)
	length := end.Sub(s.ShareSince) / time.Duration(len(Stages)-stage)
	if length < s.deadline()/leastStage {
		return undone(outOfTime(s, "too little of it was left for the remaining stages"))
	}
	elapsed := now.Sub(s.ShareSince)
	stay := Decision{Phase: api.MoveRunning, Share: Stages[stage]}
	switch {
	case s.Share < Stages[0]:
		stay.Reason = "the move starts"
		return stay
	case elapsed < length/2:
		stay.Reason = fmt.Sprintf("%s of traffic for at least %s", percent(s.Share), round(length/2))
		return stay
	case doubt != "":
		stay.Reason = "held at " + percent(s.Share) + ": " + doubt
		return stay
	case elapsed < length && !enough(s, e):
		stay.Reason = fmt.Sprintf("%s of traffic for up to %s, until %d requests of each version were seen",
			percent(s.Share), round(length), enoughRequests)
		return stay
	}
	if stage < len(Stages)-1 {
		next := Stages[stage+1]
		return Decision{Phase: api.MoveRunning, Share: next, Reason: "advanced to " + percent(next) + " of traffic"}
	}
	older, newer := e.Totals(0)
	if newer.answers() == 0 {
		stay.Reason = fmt.Sprintf("held at %s: no request was answered by %s", percent(s.Share), s.To)
		return stay
	}
	return Decision{Phase: api.MoveDone, Share: 1, Verdict: api.VerdictGood, Reason: fmt.Sprintf(
		"%s served %d requests with %d errors; %s served %d with %d", s.To, newer.Requests, newer.Errors, s.From, older.Requests, older.Errors)}
}

func bad(s State, f *Finding) Decision {
	d := undone(f.Reason(s.From, s.To))
	d.Verdict = api.VerdictBad
	return d
}

func undone(reason string) Decision {
	return Decision{Phase: api.MoveUndone, Reason: reason}
}

func outOfTime(s State, why string) string {
	reason := fmt.Sprintf("the deadline came at %s of traffic", percent(s.Share))
	if why != "" {
		reason += ": " + why
	}
	return reason
}

func percent(share float64) string { return fmt.Sprintf("%g%%", share*100) }

// stageOf returns the highest stage whose share is reached.
func stageOf(share float64) int {
	stage := 0
	for i, s := range Stages {
		if share >= s {
			stage = i
		}
	}
	return stage
}

// enough reports whether the present stage has seen enough requests.
func enough(s State, e *Evidence) bool {
	older, newer := e.Totals(s.slot(s.ShareSince))
	return newer.answers() >= enoughRequests && (s.Share >= 1 || older.answers() >= enoughRequests)
}

// inDoubt returns why the move must not advance although the version is not
// found bad, or "".
func inDoubt(s State, e *Evidence, suspected *Finding) string {
	older, newer := e.Totals(0)
	if newer.Requests > 0 && 2*newer.Errors >= newer.Requests && 4*older.Errors < older.Requests {
		return fmt.Sprintf("%d of %d requests to %s failed", newer.Errors, newer.Requests, s.To)
	}
	if suspected != nil {
		return "possibly, " + suspected.Reason(s.From, s.To)
	}
	return ""
}
