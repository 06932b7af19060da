package burn

import (
	"time"

	"rattantide/internal/api"
)

// goalIndex is the index of a goal of a class in goalNames and Counts.Bad.
type goalIndex int

// The goals. The latency goals come first; their measures have histograms.
const (
	goalFirstToken goalIndex = iota
	goalBetweenTokens
	goalAnswer
	goalCompleteness
	goalCount
)

// measureCount is the number of measures with a histogram.
const measureCount = int(goalCompleteness)

var goalNames = [goalCount]string{"firstToken", "betweenTokens", "answer", "completeness"}

// Goal is a service-level goal of a class: the share of requests that must be
// good. A request is good for a latency goal if its measure does not exceed the
// limit. A shed or failed request without a measure is bad, so that refusing
// requests cannot improve the burn rate. Only accepted requests count for the
// completeness goal.
type Goal struct {
	// Name is firstToken, betweenTokens, answer or completeness.
	Name string `json:"name"`
	// LimitMs is the limit of a latency goal in milliseconds; 0 for completeness.
	LimitMs float64 `json:"limitMs,omitempty"`
	// Share is the share of requests that must be good, above 0 and at most 1.
	Share float64 `json:"share"`
}

// classGoals returns the goals of a class; nil for a nil class.
func classGoals(class *api.Class) []Goal {
	if class == nil {
		return nil
	}
	var goals []Goal
	limits := [measureCount]api.Duration{class.Target.FirstToken, class.Target.BetweenTokens, class.Target.Answer}
	for i, limit := range limits {
		if limit > 0 {
			goals = append(goals, Goal{
				Name: goalNames[i], LimitMs: float64(limit.AsDuration()) / float64(time.Millisecond), Share: class.Target.Within,
			})
		}
	}
	return append(goals, Goal{Name: goalNames[goalCompleteness], Share: class.Completeness})
}
