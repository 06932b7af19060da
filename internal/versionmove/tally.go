package versionmove

import (
	"math"
	"strings"
	"sync"
	"time"

	"rattantide/internal/dispatch"
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

// Key returns the map key of a version of a service.
func Key(service, version string) string { return service + "/" + version }

// isKeyOf reports whether key is the key of a version of a service.
func isKeyOf(service, key string) bool { return strings.HasPrefix(key, Key(service, "")) }

// Recorder counts the attempts of this daemon. It implements dispatch.Observer and
// dispatch.StartObserver and is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	tallies map[string]Tally
}

// Observe implements dispatch.Observer.
func (r *Recorder) Observe(o dispatch.Observation) {
	var t Tally
	switch o.Outcome {
	case dispatch.StatusOK:
		first := o.FirstToken
		if first == 0 {
			first = o.Total
		}
		t = Tally{Answers: 1, FirstMs: first.Milliseconds(), FirstLogSum: logMs(first)}
		if o.BetweenTokens > 0 {
			t.Gaps, t.GapLogSum = 1, logMs(o.BetweenTokens)
		}
	case dispatch.StatusError, dispatch.StatusCrash, dispatch.StatusTimeout:
		t = Tally{Failures: 1}
	default:
		return
	}
	r.add(Key(o.Pool, o.Version), t)
}

// ObserveStart implements dispatch.StartObserver.
func (r *Recorder) ObserveStart(pool, version string) { r.add(Key(pool, version), Tally{Started: 1}) }

// add adds t to a tally.
func (r *Recorder) add(key string, t Tally) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tallies == nil {
		r.tallies = map[string]Tally{}
	}
	r.tallies[key] = r.tallies[key].add(t)
}

// Tallies returns a copy of all tallies by Key.
func (r *Recorder) Tallies() map[string]Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Tally, len(r.tallies))
	for key, t := range r.tallies {
		out[key] = t
	}
	return out
}
