package burn

import (
	"time"

	"rattantide/internal/api"
)

// goalIndex numbers the goals of a class.
type goalIndex int

// The goals. The first three are also the measures that have histograms.
const (
	goalFirstToken goalIndex = iota
	goalBetweenTokens
	goalAnswer
	goalCompleteness
	goalCount
)

const measureCount = int(goalCompleteness)

var goalNames = [goalCount]string{"firstToken", "betweenTokens", "answer", "completeness"}

// Goal is a target of a class: a share of requests that must be good. A
// request is good for a latency goal when its measure is within the limit. A
// shed or failed request that has no measure is bad, so that refusing work
// cannot improve a figure. Completeness counts accepted requests only.
type Goal struct {
	// Name is firstToken, betweenTokens, answer or completeness.
	Name string `json:"name"`
	// LimitMs is the limit of a latency goal in milliseconds, else 0.
	LimitMs float64 `json:"limitMs,omitempty"`
	// Share of requests that must be good, above 0 and at most 1.
	Share float64 `json:"share"`
}

// goalsOf returns the goals of a class; nil for an unknown class.
func goalsOf(class *api.Class) []Goal {
	if class == nil {
		return nil
	}
	var goals []Goal
	limits := [measureCount]api.Duration{class.Target.FirstToken, class.Target.BetweenTokens, class.Target.Answer}
	for i, limit := range limits {
		if limit > 0 {
			goals = append(goals, Goal{
				Name: goalNames[i], LimitMs: float64(limit.D()) / float64(time.Millisecond), Share: class.Target.Within,
			})
		}
	}
	return append(goals, Goal{Name: goalNames[goalCompleteness], Share: class.Completeness})
}
