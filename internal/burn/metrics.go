package burn

import "github.com/uber-go/tally/v4"

// metrics are the counters of one class. They are counters instead of rates, so
// that a monitoring system can sum them over daemons before dividing.
type metrics struct {
	requests tally.Counter
	failed   tally.Counter
	shed     tally.Counter
	bad      [goalCount]tally.Counter
}

func newMetrics(scope tally.Scope, class string) metrics {
	tagged := scope.Tagged(map[string]string{"class": class})
	m := metrics{
		requests: tagged.Counter("requests"), failed: tagged.Counter("failed"), shed: tagged.Counter("shed_requests"),
	}
	for i, name := range goalNames {
		m.bad[i] = tagged.Tagged(map[string]string{"target": name}).Counter("bad")
	}
	return m
}

func (m *metrics) add(c Counts) {
	m.requests.Inc(c.Requests)
	if c.Failed > 0 {
		m.failed.Inc(c.Failed)
	}
	if c.Shed > 0 {
		m.shed.Inc(c.Shed)
	}
	for i, bad := range c.Bad {
		if bad > 0 {
			m.bad[i].Inc(bad)
		}
	}
}
