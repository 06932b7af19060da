package versionmove

import (
	"sync"

	"rattantide/internal/dispatch"
)

// Recorder counts the attempts of this daemon. It implements dispatch.Observer and
// dispatch.StartObserver and is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	tallies map[recordedKey]Tally
}

type recordedKey struct{ service, version, route string }

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
	r.add(recordedKey{o.Pool, o.Version, o.Route}, t)
}

// ObserveStart implements dispatch.StartObserver.
func (r *Recorder) ObserveStart(pool, version, route string) {
	r.add(recordedKey{pool, version, route}, Tally{Started: 1})
}

// add adds t to a tally.
func (r *Recorder) add(key recordedKey, t Tally) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tallies == nil {
		r.tallies = map[recordedKey]Tally{}
	}
	r.tallies[key] = r.tallies[key].add(t)
}

// Tallies returns the tallies of the services that are included, of all if isIncluded is nil,
// by Key and, for each route, by RouteKey.
func (r *Recorder) Tallies(isIncluded func(service string) bool) map[string]Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Tally, 2*len(r.tallies))
	for key, t := range r.tallies {
		if isIncluded != nil && !isIncluded(key.service) {
			continue
		}
		whole := Key(key.service, key.version)
		out[whole] = out[whole].add(t)
		out[RouteKey(key.service, key.version, key.route)] = t
	}
	return out
}
