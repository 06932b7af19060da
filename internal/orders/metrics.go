package orders

import "github.com/uber-go/tally/v4"

// metrics are the figures of a Controller.
type metrics struct {
	sent, failed, stale, notHeld, late, intents, waits, conflicts, failures tally.Counter

	outOfPlace, loading func(pool string, n int)
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("orders")
	gauge := func(name string) func(string, int) {
		return func(pool string, n int) {
			scope.Tagged(map[string]string{"pool": pool}).Gauge(name).Update(float64(n))
		}
	}
	return &metrics{
		sent:       scope.Counter("sent"),
		failed:     scope.Counter("failed"),
		stale:      scope.Counter("stale_fence"),
		notHeld:    scope.Counter("not_held"),
		late:       scope.Counter("late"),
		intents:    scope.Counter("intents"),
		waits:      scope.Counter("waits"),
		conflicts:  scope.Counter("intent_conflicts"),
		failures:   scope.Counter("store_failures"),
		outOfPlace: gauge("engines_out_of_place"),
		loading:    gauge("engines_loading"),
	}
}
