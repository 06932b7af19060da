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
	r := recorder("a")
	observations := spread()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Observe(start.Add(time.Duration(i)*time.Millisecond), observations[i%len(observations)])
		i++
	}
}

// BenchmarkMemory measures the memory of a recorder whose windows are all
// full, for four chat classes.
func BenchmarkMemory(b *testing.B) {
	observations := spread()
	for b.Loop() {
		before := heap()
		r := recorder("a")
		for step := time.Duration(0); step < 72*time.Hour; step += 30 * time.Second {
			for i := range 4 {
				o := observations[int(step/(30*time.Second))%len(observations)]
				o.Class = fmt.Sprintf("class-%d", i)
				r.Observe(start.Add(step), o)
			}
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
		runtime.KeepAlive(r)
	}
}

// BenchmarkExport measures an export of one class with all windows.
func BenchmarkExport(b *testing.B) {
	r := recorder("a")
	for _, o := range spread() {
		r.Observe(start, o)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Export(start)
	}
}

func spread() []burn.Observation {
	out := make([]burn.Observation, 3000)
	for i := range out {
		out[i] = answered(time.Duration(100+i%1900) * time.Millisecond)
		out[i].BetweenTokens = time.Duration(20+i%90) * time.Millisecond
		out[i].Workspace = fmt.Sprintf("workspace-%d", i%5)
		out[i].Domain = fmt.Sprintf("domain-%d", i%3)
		out[i].Upstream = fmt.Sprintf("runner-%d", i%100)
	}
	return out
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
