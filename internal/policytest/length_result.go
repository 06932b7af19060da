package policytest

import "time"

// promptLengths names the groups of requests by prompt length, to which the classes of
// PromptWorkloads belong. Requests of other classes are in no group.
var promptLengths = [...]string{"short", "middle", "long"}

// LengthResult holds the measurements of the requests of one group by prompt length.
type LengthResult struct {
	Requests int
	// WithinTarget is the fraction of the requests that met all targets.
	WithinTarget float64
	// FirstToken99 is the quantile 0.99 of the time from arrival to the first token.
	FirstToken99 time.Duration
	// Pauses counts the pauses between two events that were above the target.
	Pauses int
	// Refused counts the requests that were refused or not completed.
	Refused int
}

// addLengths evaluates the requests by prompt length.
func (s *simulation) addLengths(r *Result) {
	for i, name := range promptLengths {
		g := &r.Lengths[i]
		first := newHistogram()
		within := 0
		for _, q := range s.requests {
			if q.class.length != name {
				continue
			}
			g.Requests++
			g.Pauses += q.pauses
			if q.isRefused || q.endedAt == 0 {
				g.Refused++
				continue
			}
			_ = first.RecordValue((q.firstTokenAt - q.arrivedAt).Microseconds())
			if q.metTargets() {
				within++
			}
		}
		g.WithinTarget = float64(within) / float64(max(1, g.Requests))
		g.FirstToken99 = time.Duration(first.ValueAtQuantile(99)) * time.Microsecond
	}
}
