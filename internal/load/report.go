package load

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedMicros is the longest time that a histogram records, in
	// microseconds. Longer times are recorded as this one.
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report is the result of a run.
type Report struct {
	// Sent counts the requests that were sent, Completed those with a complete response.
	Sent      int
	Completed int
	// Tokens counts the stream events of all responses, including incomplete ones. The
	// final chunk of a response counts as a token.
	Tokens int64
	// Elapsed is the time from the start of the run to the end of its last response.
	Elapsed time.Duration
	// Failures counts the requests without a complete response, by cause.
	Failures map[string]int
	// FirstToken and BetweenTokens are the times to the first token and between
	// tokens, in microseconds.
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{
		Failures:      map[string]int{},
		FirstToken:    hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		BetweenTokens: hdrhistogram.New(1, maxRecordedMicros, significantDigits),
	}
}

// FirstTokenQuantile returns the time to the first token at quantile q, from 0 to 1.
func (r *Report) FirstTokenQuantile(q float64) time.Duration {
	return time.Duration(r.FirstToken.ValueAtQuantile(q*100)) * time.Microsecond
}

// BetweenTokensQuantile returns the time between tokens at quantile q, from 0 to 1.
func (r *Report) BetweenTokensQuantile(q float64) time.Duration {
	return time.Duration(r.BetweenTokens.ValueAtQuantile(q*100)) * time.Microsecond
}

// String returns the report as a few lines of text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d, complete %d, tokens %d, elapsed %s\n", r.Sent, r.Completed, r.Tokens, r.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(&b, "first token    p50 %s  p95 %s  p99 %s\n",
		r.FirstTokenQuantile(0.5), r.FirstTokenQuantile(0.95), r.FirstTokenQuantile(0.99))
	fmt.Fprintf(&b, "between tokens p50 %s  p95 %s  p99 %s\n",
		r.BetweenTokensQuantile(0.5), r.BetweenTokensQuantile(0.95), r.BetweenTokensQuantile(0.99))
	for cause, n := range r.Failures {
		fmt.Fprintf(&b, "failed %d: %s\n", n, cause)
	}
	return b.String()
}
