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
	// settleTime lets a cluster finish its start before it is measured.
	settleTime = 5 * time.Second
	// controlWindow is how long an idle cluster is measured.
	controlWindow = 15 * time.Second
)

// BenchmarkControlByDaemons measures what daemons without traffic use, as the
// number of daemons grows.
func BenchmarkControlByDaemons(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := startCluster(b, 12, n, engineArgs...)
			for b.Loop() {
				measureControl(b, c)
			}
		})
	}
}

// BenchmarkControlByUpstreams is the same as the number of upstreams grows.
func BenchmarkControlByUpstreams(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := startCluster(b, 10, 3, engineArgs...)
			assert.NilError(b, c.listPhantoms(b.Context(), n-len(c.engines)))
			for b.Loop() {
				measureControl(b, c)
			}
		})
	}
}

// measureControl reports the processor time, memory and calls of an idle window.
func measureControl(b *testing.B, c *cluster) {
	b.Helper()
	waitFor(b, settleTime)
	before := usages(b, c.daemons)
	callsBefore := objectCalls(b, c)
	waitFor(b, controlWindow)
	after := usages(b, c.daemons)
	calls := objectCalls(b, c) - callsBefore
	var total, most time.Duration
	var resident int64
	for i := range after {
		used := after[i].CPU - before[i].CPU
		total += used
		most = max(most, used)
		resident = max(resident, after[i].Resident)
	}
	seconds := controlWindow.Seconds()
	b.ReportMetric(100*total.Seconds()/seconds/float64(len(after)), "mean-%core")
	b.ReportMetric(100*most.Seconds()/seconds, "most-%core")
	b.ReportMetric(float64(resident)/(1<<20), "most-MB")
	b.ReportMetric(calls/seconds, "objectapi-calls/s")
}

func usages(b *testing.B, processes []*proc.Process) []proc.Usage {
	b.Helper()
	out := make([]proc.Usage, len(processes))
	for i, p := range processes {
		out[i] = usage(b, p)
	}
	return out
}

// objectCalls sums up all counters of calls that the object API keeps.
func objectCalls(b *testing.B, c *cluster) float64 {
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

func waitFor(b *testing.B, d time.Duration) {
	b.Helper()
	select {
	case <-time.After(d):
	case <-b.Context().Done():
	}
}
