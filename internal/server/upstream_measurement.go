package server

import (
	"encoding/json"
	"time"

	"rattantide/internal/dispatch"
)

// upstreamMeasurement collects the token times and counts of one use of an
// upstream, which may consist of several attempts.
type upstreamMeasurement struct {
	startedAt, lastTokenAt time.Time
	firstToken             time.Duration
	maxGap                 time.Duration
	gapSum                 time.Duration
	tokens                 int
	// recomputed counts the tokens that the upstream computes again: the prompt
	// and the recorded events at the start of each attempt that cannot continue
	// an existing generation.
	recomputed int
	draining   bool
	backoff    time.Duration
	// onFirstToken, if set, is called with the time to the first token.
	onFirstToken func(time.Duration)
}

func (m *upstreamMeasurement) recordToken(now time.Time) {
	if m.tokens == 0 {
		m.firstToken = now.Sub(m.startedAt)
		if m.onFirstToken != nil {
			m.onFirstToken(m.firstToken)
		}
	} else {
		m.maxGap = max(m.maxGap, now.Sub(m.lastTokenAt))
		m.gapSum += now.Sub(m.lastTokenAt)
	}
	m.tokens++
	m.lastTokenAt = now
}

// meanGap returns the mean time between consecutive tokens, or 0 for fewer than two
// tokens.
func (m *upstreamMeasurement) meanGap() time.Duration {
	if m.tokens < 2 {
		return 0
	}
	return m.gapSum / time.Duration(m.tokens-1)
}

// dispatchResult returns the result to report to the chooser. final is the last
// event of a complete answer, which has the token usage, or nil.
func (m *upstreamMeasurement) dispatchResult(status dispatch.Status, final []byte) dispatch.Result {
	r := dispatch.Result{
		Status: status, Draining: m.draining, Backoff: m.backoff, FirstToken: m.firstToken, Total: time.Since(m.startedAt),
		Tokens: m.tokens, MaxGap: m.maxGap, MeanGap: m.meanGap(), RecomputedTokens: m.recomputed,
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
		// Tokens that the engine had in its prefix cache were not recomputed.
		r.RecomputedTokens = max(0, r.RecomputedTokens-r.CachedTokens)
	}
	return r
}
