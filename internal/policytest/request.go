package policytest

import "time"

// request is one generated request and its progress. Times are relative to the start
// of the simulation.
type request struct {
	id        int
	workspace string
	class     *class
	arrivedAt time.Duration
	// blocks are the cumulative hashes of the blocks of the prompt, see blockHashes.
	blocks       []uint64
	promptTokens int
	answerTokens int

	// The progress of the simulated execution.
	isRefused       bool
	startedAt       time.Duration
	firstTokenAt    time.Duration
	endedAt         time.Duration
	generatedTokens int
}

// class is a request class with its priority and latency targets.
type class struct {
	name             string
	priority         int
	firstTokenTarget time.Duration
	gapTarget        time.Duration
	deadline         time.Duration
}

// metTargets reports whether the request was completed within both latency targets.
func (r *request) metTargets() bool {
	return r.endedAt > 0 && !r.isRefused && r.firstTokenAt-r.arrivedAt <= r.class.firstTokenTarget && r.meanGap() <= r.class.gapTarget
}

// meanGap returns the mean time between two tokens of a completed answer, or 0.
func (r *request) meanGap() time.Duration {
	if r.answerTokens < 2 || r.endedAt == 0 {
		return 0
	}
	return (r.endedAt - r.firstTokenAt) / time.Duration(r.answerTokens-1)
}
