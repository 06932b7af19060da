package fleetdaemon

import (
	"slices"
	"time"

	"rattantide/internal/bootclock"
)

// slowLogInterval is the minimum time between two log lines on the slow upstreams of a pool.
const slowLogInterval = 30 * time.Second

// slowLog is the latest log line on the slow upstreams of a pool.
type slowLog struct {
	at    time.Time
	names []string
}

// summarizeUpstreams updates the gauges of the pools. A collector, which knows the most, also
// logs which upstreams are slow when that changes.
func (d *Daemon) summarizeUpstreams() {
	now := bootclock.Now()
	isCollector := 0.0
	if d.isCollector() {
		isCollector = 1
	}
	d.scope.Gauge("collector").Update(isCollector)
	for pool, summary := range d.upstreamStore.Summaries(now) {
		scope := d.scope.Tagged(map[string]string{"pool": pool})
		scope.Gauge("upstream_capacity").Update(summary.Capacity)
		scope.Gauge("upstream_count").Update(float64(summary.Upstreams))
		scope.Gauge("upstream_state_known").Update(float64(summary.Known))
		scope.Gauge("upstream_mean_pace").Update(summary.MeanPace)
		scope.Gauge("upstream_slow").Update(float64(len(summary.Slow)))
		logged := d.slowLogs[pool]
		if isCollector == 0 || slices.Equal(logged.names, summary.Slow) || !logged.at.IsZero() && now.Sub(logged.at) < slowLogInterval {
			continue
		}
		d.slowLogs[pool] = slowLog{at: now, names: summary.Slow}
		d.logger.Info("slow upstreams changed", "pool", pool, "slow", summary.Slow, "of", summary.Upstreams,
			"capacity", summary.Capacity, "meanPace", summary.MeanPace, "known", summary.Known)
	}
}
