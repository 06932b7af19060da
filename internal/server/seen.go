package server

import (
	"encoding/json"
	"time"

	"rattantide/internal/dispatch"
)

// seen measures one use of an upstream.
type seen struct {
	begun, last time.Time
	first       time.Duration
	gap         time.Duration
	gaps        time.Duration
	tokens      int
	// recomputed are the prompt and the events held at the start of an attempt
	// that cannot continue a generation.
	recomputed int
	draining   bool
	// onFirst, if set, is called with the time to the first token.
	onFirst func(time.Duration)
}

func (m *seen) event(now time.Time) {
	if m.tokens == 0 {
		m.first = now.Sub(m.begun)
		if m.onFirst != nil {
			m.onFirst(m.first)
		}
	} else {
		m.gap = max(m.gap, now.Sub(m.last))
		m.gaps += now.Sub(m.last)
	}
	m.tokens++
	m.last = now
}

// meanGap returns the mean time between two tokens, 0 for fewer than two.
func (m *seen) meanGap() time.Duration {
	if m.tokens < 2 {
		return 0
	}
	return m.gaps / time.Duration(m.tokens-1)
}

// result returns what the chooser learns. final is the last event of a
// complete answer, which carries the usage, or nil.
func (m *seen) result(status dispatch.Status, final []byte) dispatch.Result {
	r := dispatch.Result{
		Status: status, Draining: m.draining, FirstToken: m.first, Total: time.Since(m.begun),
		Tokens: m.tokens, MaxGap: m.gap, MeanGap: m.meanGap(), RecomputedTokens: m.recomputed,
	}
	var c struct {
		Usage struct {
			PromptTokens int `json:"prompt_tokens"`
			Details      struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if final != nil && json.Unmarshal(final, &c) == nil {
		r.PromptTokens, r.CachedTokens = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
		// What the engine had in its prefix cache was not computed again.
		r.RecomputedTokens = max(0, r.RecomputedTokens-r.CachedTokens)
	}
	return r
}
