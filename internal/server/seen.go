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
	tokens      int
	recomputed  int
	draining    bool
}

func (m *seen) event(now time.Time) {
	if m.tokens == 0 {
		m.first = now.Sub(m.begun)
	} else {
		m.gap = max(m.gap, now.Sub(m.last))
	}
	m.tokens++
	m.last = now
}

// result returns what the chooser learns. final is the last event of a
// complete answer, which carries the usage, or nil.
func (m *seen) result(status dispatch.Status, final []byte) dispatch.Result {
	r := dispatch.Result{
		Status: status, Draining: m.draining, FirstToken: m.first, Total: time.Since(m.begun),
		Tokens: m.tokens, MaxGap: m.gap, RecomputedTokens: m.recomputed,
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
	}
	return r
}
