package policytest

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what was measured of a policy on a workload.
type Result struct {
	Requests int
	Refused  int
	// First and Between are quantiles 0.5, 0.95 and 0.99 of the time from
	// arrival to the first token, and of the mean time between tokens.
	First   [3]time.Duration
	Between [3]time.Duration
	// Within is the share of all requests that met both targets.
	Within float64
	// WorstWorkspace is the lowest Within of a workspace.
	WorstWorkspace float64
	// Recomputed counts prompt tokens that were processed although an engine
	// held them, and generated tokens that were processed again after a move.
	Recomputed int
	// BusyCostPer1000 is the price of the time in which engines were busy, for
	// 1,000 requests within target.
	BusyCostPer1000 float64
	// Imbalance is the coefficient of variation of the busy time of engines
	// that lived to the end.
	Imbalance float64
}

func (s *simulation) result() *Result {
	first, between := newHistogram(), newHistogram()
	r := &Result{Requests: len(s.requests), Recomputed: s.missed + s.moved}
	met := 0
	all, good := map[string]int{}, map[string]int{}
	for _, q := range s.requests {
		all[q.workspace]++
		if q.refused || q.ended == 0 {
			r.Refused++
			continue
		}
		_ = first.RecordValue((q.first - q.at).Microseconds())
		_ = between.RecordValue(q.gap().Microseconds())
		if q.within() {
			met++
			good[q.workspace]++
		}
	}
	r.WorstWorkspace = 1
	for name, n := range all {
		r.WorstWorkspace = min(r.WorstWorkspace, float64(good[name])/float64(n))
	}
	for i, quantile := range []float64{50, 95, 99} {
		r.First[i] = time.Duration(first.ValueAtQuantile(quantile)) * time.Microsecond
		r.Between[i] = time.Duration(between.ValueAtQuantile(quantile)) * time.Microsecond
	}
	r.Within = float64(met) / float64(max(1, len(s.requests)))
	cost, n, sum, squares := 0.0, 0.0, 0.0, 0.0
	for _, e := range s.order {
		busy := e.busy.Hours()
		cost += busy * e.upstream.PricePerHour
		if !e.dead {
			n, sum, squares = n+1, sum+busy, squares+busy*busy
		}
	}
	r.BusyCostPer1000 = cost / float64(max(1, met)) * 1000
	mean := sum / n
	r.Imbalance = math.Sqrt(max(0, squares/n-mean*mean)) / mean
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
}
