package versionmove

import (
	"math"
	"time"
)

// minLogMs bounds the time from below whose logarithm is summed, in milliseconds.
const minLogMs = 1.0

// Tally counts the results of a version's attempts. Counts never decrease while a
// process runs.
type Tally struct {
	// Started counts the attempts that were started, whatever their outcome.
	Started int64 `json:"s,omitempty"`
	// Answers and Failures count the ended attempts whose outcome depends on the
	// upstream.
	Answers  int64 `json:"a"`
	Failures int64 `json:"f"`
	// FirstMs is the sum of the times to the first answer, in milliseconds, and FirstLogSum
	// that of their natural logarithms.
	FirstMs     int64   `json:"t"`
	FirstLogSum float64 `json:"tl,omitempty"`
	// Gaps counts the answers of several events, and GapLogSum is the sum of the natural
	// logarithms of their mean times between two events, in milliseconds.
	Gaps      int64   `json:"g,omitempty"`
	GapLogSum float64 `json:"l,omitempty"`
}

// add returns the sum of two tallies.
func (t Tally) add(o Tally) Tally {
	return Tally{
		Started: t.Started + o.Started, Answers: t.Answers + o.Answers, Failures: t.Failures + o.Failures, FirstMs: t.FirstMs + o.FirstMs,
		FirstLogSum: t.FirstLogSum + o.FirstLogSum, Gaps: t.Gaps + o.Gaps, GapLogSum: t.GapLogSum + o.GapLogSum,
	}
}

// since returns the difference from an earlier tally.
func (t Tally) since(o Tally) Tally {
	return Tally{
		Started: t.Started - o.Started, Answers: t.Answers - o.Answers, Failures: t.Failures - o.Failures, FirstMs: t.FirstMs - o.FirstMs,
		FirstLogSum: t.FirstLogSum - o.FirstLogSum, Gaps: t.Gaps - o.Gaps, GapLogSum: t.GapLogSum - o.GapLogSum,
	}
}

// attempts returns the number of answers and failures.
func (t Tally) attempts() int64 { return t.Answers + t.Failures }

// failureShare returns the share of attempts that failed, 0 without attempts.
func (t Tally) failureShare() float64 {
	if t.attempts() == 0 {
		return 0
	}
	return float64(t.Failures) / float64(t.attempts())
}

// meanFirstMs returns the mean time to the first answer in milliseconds, 0 without
// answers.
func (t Tally) meanFirstMs() float64 {
	if t.Answers == 0 {
		return 0
	}
	return float64(t.FirstMs) / float64(t.Answers)
}

// typicalFirstMs returns the geometric mean of the times to the first answer in
// milliseconds, 0 without answers. A few slow answers change it little.
func (t Tally) typicalFirstMs() float64 {
	if t.Answers == 0 {
		return 0
	}
	return math.Exp(t.FirstLogSum / float64(t.Answers))
}

// isUnlikely reports whether at least so many failures have a probability below maxChance
// if each attempt fails with the given probability. It uses the Chernoff bound.
func (t Tally) isUnlikely(probability float64) bool {
	observed := t.failureShare()
	if observed <= probability {
		return false
	}
	exponent := observed * math.Log(observed/probability)
	if observed < 1 {
		exponent += (1 - observed) * math.Log((1-observed)/(1-probability))
	}
	return float64(t.attempts())*exponent > -math.Log(maxChance)
}

// typicalGapMs returns the geometric mean of the times between two events in milliseconds,
// 0 without answers of several events. A few slow upstreams change it little.
func (t Tally) typicalGapMs() float64 {
	if t.Gaps == 0 {
		return 0
	}
	return math.Exp(t.GapLogSum / float64(t.Gaps))
}

// logMs returns the natural logarithm of a time in milliseconds.
func logMs(d time.Duration) float64 {
	return math.Log(max(minLogMs, float64(d)/float64(time.Millisecond)))
}
