package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
)

const (
	// settleTime is the wait before a measurement, so that the start of the cluster
	// does not affect it.
	settleTime = 5 * time.Second
	// idleWindow is the duration of a measurement of an idle cluster.
	idleWindow = 15 * time.Second
)

// BenchmarkControlByDaemons measures the resource use of daemons without traffic by the
// number of daemons.
func BenchmarkControlByDaemons(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := startCluster(b, 12, n, engineArgs...)
			for b.Loop() {
				measureIdle(b, c)
			}
		})
	}
}

// BenchmarkControlByUpstreams measures the resource use of daemons without traffic by
// the number of upstreams.
func BenchmarkControlByUpstreams(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := startCluster(b, 10, 3, engineArgs...)
			assert.NilError(b, c.addListedUpstreams(b.Context(), n-len(c.engines)))
			for b.Loop() {
				measureIdle(b, c)
			}
		})
	}
}

// measureIdle reports the CPU time and memory of the daemons and the calls of the object
// API during idleWindow.
func measureIdle(b *testing.B, c *cluster) {
	b.Helper()
	waitFor(b, settleTime)
	before := processUsages(b, c.daemons)
	callsBefore := objectAPICalls(b, c)
	waitFor(b, idleWindow)
	after := processUsages(b, c.daemons)
	calls := objectAPICalls(b, c) - callsBefore
	var total, highest time.Duration
	var resident int64
	for i := range after {
		cpu := after[i].CPU - before[i].CPU
		total += cpu
		highest = max(highest, cpu)
		resident = max(resident, after[i].ResidentBytes)
	}
	seconds := idleWindow.Seconds()
	b.ReportMetric(100*total.Seconds()/seconds/float64(len(after)), "mean-%core")
	b.ReportMetric(100*highest.Seconds()/seconds, "most-%core")
	b.ReportMetric(float64(resident)/(1<<20), "most-MB")
	b.ReportMetric(calls/seconds, "objectapi-calls/s")
}

func processUsages(b *testing.B, processes []*proc.Process) []proc.Usage {
	b.Helper()
	out := make([]proc.Usage, len(processes))
	for i, p := range processes {
		out[i] = processUsage(b, p)
	}
	return out
}

// objectAPICalls returns the total number of reads, writes and watches that the object
// API has counted.
func objectAPICalls(b *testing.B, c *cluster) float64 {
	b.Helper()
	response, err := http.Get("http://" + c.objectAPI.Address + "/control/stats")
	assert.NilError(b, err)
	defer response.Body.Close()
	var stats struct {
		Reads   float64 `json:"reads"`
		Writes  float64 `json:"writes"`
		Watches float64 `json:"watches"`
	}
	assert.NilError(b, json.NewDecoder(response.Body).Decode(&stats))
	return stats.Reads + stats.Writes + stats.Watches
}

// waitFor waits for d, or until the benchmark's context is done.
func waitFor(b *testing.B, d time.Duration) {
	b.Helper()
	select {
	case <-time.After(d):
	case <-b.Context().Done():
	}
}
