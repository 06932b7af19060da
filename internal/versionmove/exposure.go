package versionmove

import (
	"math"
	"time"
)

const (
	// budgetReserve is the part of the tolerated requests that is planned with. The rest
	// covers the randomness of the share and changes of the traffic.
	budgetReserve = 0.85
	// maxSwitchLead is the longest time before the deadline at which the new version gets
	// all traffic; minSwitchLead is what two writes to the store take.
	maxSwitchLead = 1500 * time.Millisecond
	minSwitchLead = 200 * time.Millisecond
	// The share of the new version before the switch is between minCanaryShare, below which
	// hardly any results come in, and maxCanaryShare.
	minCanaryShare = 0.01
	maxCanaryShare = 0.25
	// A share is replaced if the planned one differs from it by shareRaise or shareCut.
	shareRaise = 1.5
	shareCut   = 0.7
)

// ExposureLimits bounds the requests that a version which turns out to be bad may get from
// the declaration of the move to its deadline: Share of all requests of the service, and
// Slack requests.
type ExposureLimits struct {
	Share float64
	Slack float64
}

// canaryPlan is how a new version gets traffic: share until switchLead before the deadline,
// and all of it from then on.
type canaryPlan struct {
	share      float64
	switchLead time.Duration
}

// planCanary returns the plan for the rest of a move, under which the new version stays
// within the limits if it turns bad at any time until the deadline. It calculates in
// seconds of the service's whole traffic.
func planCanary(current float64, e Evidence) canaryPlan {
	left := max(0, e.Left.Seconds())
	budget, spent := e.budget(current)
	lead := min(maxSwitchLead.Seconds(), budget/2)
	plan := canaryPlan{share: minCanaryShare}
	if left > lead {
		plan.share = min(maxCanaryShare, max(minCanaryShare, (budget-spent-lead)/(left-lead)))
	}
	lead = max(minSwitchLead.Seconds(), min(lead, budget-spent))
	plan.switchLead = time.Duration(lead * float64(time.Second))
	return plan
}

// budget returns how much traffic the new version may get until the deadline, and how much
// of that it has got, in seconds of the service's whole traffic. While the rate of the
// traffic is unknown, the slack counts as nothing and the current share as what was sent.
func (e Evidence) budget(currentShare float64) (budget, spent float64) {
	left, elapsed := max(0, e.Left.Seconds()), max(0, (e.Within-e.Left).Seconds())
	if !e.Traffic.IsRateKnown {
		return budgetReserve * e.Limits.Share * e.Within.Seconds(), currentShare * elapsed
	}
	rate := max(e.Traffic.PerSecond, 1/e.Within.Seconds())
	total := float64(e.Traffic.Total) + rate*left
	return budgetReserve * (e.Limits.Share*total + e.Limits.Slack) / rate, float64(e.Traffic.New) / rate
}

// replaces reports whether the planned share differs enough from the current one to be
// worth a change of the state.
func (p canaryPlan) replaces(current float64) bool {
	return current == 0 || p.share > shareRaise*current || p.share < shareCut*current
}

// roundShare rounds a share for storage and logs.
func roundShare(share float64) float64 { return math.Round(share*1e4) / 1e4 }
