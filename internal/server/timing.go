package server

import "time"

// timing sums up the tokens of all attempts of a request.
type timing struct {
	// first is the time from acceptance to the first token.
	first time.Duration
	gaps  time.Duration
	count int
}

// add takes over what one use of an upstream measured. The pause between two
// uses is not counted as a gap here; it is part of the total.
func (t *timing) add(accepted time.Time, m *seen) {
	if m.tokens == 0 {
		return
	}
	if t.first == 0 {
		t.first = m.begun.Add(m.first).Sub(accepted)
	}
	t.gaps += m.gaps
	t.count += m.tokens - 1
}

func (t *timing) meanGap() time.Duration {
	if t.count == 0 {
		return 0
	}
	return t.gaps / time.Duration(t.count)
}
