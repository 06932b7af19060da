package burn_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"rattantide/internal/burn"
)

// BenchmarkObserve measures the cost of one observation with 100 upstreams, 5
// workspaces and 3 failure domains.
func BenchmarkObserve(b *testing.B) {
	r := newRecorder("a")
	observations := variedObservations()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Observe(startTime.Add(time.Duration(i)*time.Millisecond), observations[i%len(observations)])
		i++
	}
}

// BenchmarkMemory measures the memory of a recorder with four chat classes whose
// windows are all full.
func BenchmarkMemory(b *testing.B) {
	observations := variedObservations()
	for b.Loop() {
		before := heapBytes()
		r := newRecorder("a")
		for step := time.Duration(0); step < 72*time.Hour; step += 30 * time.Second {
			for i := range 4 {
				o := observations[int(step/(30*time.Second))%len(observations)]
				o.Class = fmt.Sprintf("class-%d", i)
				r.Observe(startTime.Add(step), o)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
		runtime.KeepAlive(r)
	}
}

// BenchmarkExport measures the export of one class with all windows.
func BenchmarkExport(b *testing.B) {
	r := newRecorder("a")
	for _, o := range variedObservations() {
		r.Observe(startTime, o)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Export(startTime)
	}
}

// variedObservations returns observations that vary in their latencies,
// workspaces, failure domains and upstreams.
func variedObservations() []burn.Observation {
	observations := make([]burn.Observation, 3000)
	for i := range observations {
		observations[i] = okObservation(time.Duration(100+i%1900) * time.Millisecond)
		observations[i].BetweenTokens = time.Duration(20+i%90) * time.Millisecond
		observations[i].Workspace = fmt.Sprintf("workspace-%d", i%5)
		observations[i].Domain = fmt.Sprintf("domain-%d", i%3)
		observations[i].Upstream = fmt.Sprintf("runner-%d", i%100)
	}
	return observations
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
