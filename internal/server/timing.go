package server

import "time"

// requestTiming accumulates the token times of all attempts of a request.
type requestTiming struct {
	// firstToken is the time from acceptance to the first token, or 0.
	firstToken time.Duration
	gapSum     time.Duration
	gapCount   int
}

// add adds the measurement of one use of an upstream. The time between two uses is
// not counted as a gap; it is included in the request's total time only.
func (t *requestTiming) add(accepted time.Time, m *upstreamMeasurement) {
	if m.tokens == 0 {
		return
	}
	if t.firstToken == 0 {
		t.firstToken = m.startedAt.Add(m.firstToken).Sub(accepted)
	}
	t.gapSum += m.gapSum
	t.gapCount += m.tokens - 1
}

func (t *requestTiming) meanGap() time.Duration {
	if t.gapCount == 0 {
		return 0
	}
	return t.gapSum / time.Duration(t.gapCount)
}
