package policytest

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a policy on a workload.
type Result struct {
	Requests int
	// Refused counts the requests that were refused or not completed.
	Refused int
	// FirstToken and TokenGap are the quantiles 0.5, 0.95 and 0.99 of the time from
	// arrival to the first token and of the mean time between tokens.
	FirstToken [3]time.Duration
	TokenGap   [3]time.Duration
	// WithinTarget is the fraction of all requests that met both targets.
	WithinTarget float64
	// WorstWorkspaceWithin is the lowest WithinTarget of any workspace.
	WorstWorkspaceWithin float64
	// Recomputed counts the prompt tokens that were processed although some engine had
	// them cached, and the generated tokens that were processed again after the loss
	// of an engine.
	Recomputed int
	// BusyCostPer1000 is the price of the engines' busy time per 1,000 requests
	// within target.
	BusyCostPer1000 float64
	// Imbalance is the coefficient of variation of the busy time over the engines
	// that were not killed.
	Imbalance float64
	// Lengths holds the measurements by prompt length, in the order of promptLengths.
	Lengths [len(promptLengths)]LengthResult
}

// result evaluates the requests and engines after the end of the run.
func (s *simulation) result() *Result {
	firstToken, tokenGap := newHistogram(), newHistogram()
	r := &Result{Requests: len(s.requests), Recomputed: s.recomputedPromptTokens + s.regeneratedTokens}
	withinTarget := 0
	totalByWorkspace, withinByWorkspace := map[string]int{}, map[string]int{}
	for _, q := range s.requests {
		totalByWorkspace[q.workspace]++
		if q.isRefused || q.endedAt == 0 {
			r.Refused++
			continue
		}
		_ = firstToken.RecordValue((q.firstTokenAt - q.arrivedAt).Microseconds())
		_ = tokenGap.RecordValue(q.meanGap().Microseconds())
		if q.metTargets() {
			withinTarget++
			withinByWorkspace[q.workspace]++
		}
	}
	s.addLengths(r)
	r.WorstWorkspaceWithin = 1
	for name, n := range totalByWorkspace {
		r.WorstWorkspaceWithin = min(r.WorstWorkspaceWithin, float64(withinByWorkspace[name])/float64(n))
	}
	for i, quantile := range []float64{50, 95, 99} {
		r.FirstToken[i] = time.Duration(firstToken.ValueAtQuantile(quantile)) * time.Microsecond
		r.TokenGap[i] = time.Duration(tokenGap.ValueAtQuantile(quantile)) * time.Microsecond
	}
	r.WithinTarget = float64(withinTarget) / float64(max(1, len(s.requests)))
	cost, n, sum, squares := 0.0, 0.0, 0.0, 0.0
	for _, e := range s.engineList {
		busy := e.busyTime.Hours()
		cost += busy * e.upstream.PricePerHour
		if !e.isDead {
			n, sum, squares = n+1, sum+busy, squares+busy*busy
		}
	}
	r.BusyCostPer1000 = cost / float64(max(1, withinTarget)) * 1000
	mean := sum / n
	r.Imbalance = math.Sqrt(max(0, squares/n-mean*mean)) / mean
	return r
}

// newHistogram returns a histogram of microseconds up to one hour.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
}
