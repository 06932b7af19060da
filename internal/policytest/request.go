package policytest

import (
	"time"

	"rattantide/internal/routing"
)

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
	// lastEventAt is when the latest event of the answer was complete, worstPause the
	// longest time between two events, and pauses the number of those above the target.
	lastEventAt time.Duration
	worstPause  time.Duration
	pauses      int
}

// class is a request class with its priority and latency targets.
type class struct {
	name             string
	priority         int
	firstTokenTarget time.Duration
	gapTarget        time.Duration
	deadline         time.Duration
	// pauseTarget is the longest time between two events of an answer, each of which
	// consists of eventTokens tokens; 0 means that there is no such target. A gapTarget of
	// 0 means the same for the mean time between tokens.
	pauseTarget time.Duration
	eventTokens int
	// length is one of promptLengths, or empty.
	length string
}

// promptClass returns the class as the choice sees it.
func (c *class) promptClass() routing.PromptClass {
	return routing.PromptClass{Name: c.name, FirstTarget: c.firstTokenTarget, PauseTarget: c.pauseTarget}
}

// metTargets reports whether the request was completed within all targets.
func (r *request) metTargets() bool {
	return r.endedAt > 0 && !r.isRefused && r.firstTokenAt-r.arrivedAt <= r.class.firstTokenTarget &&
		(r.class.gapTarget == 0 || r.meanGap() <= r.class.gapTarget) && r.pauses == 0
}

// recordToken records the time of a generated token, which completes an event if it is the
// first one or its event has eventTokens tokens.
func (r *request) recordToken(now time.Duration) {
	if r.class.pauseTarget == 0 || (r.generatedTokens > 1 && (r.generatedTokens-1)%r.class.eventTokens != 0) {
		return
	}
	if r.generatedTokens > 1 {
		pause := now - r.lastEventAt
		r.worstPause = max(r.worstPause, pause)
		if pause > r.class.pauseTarget {
			r.pauses++
		}
	}
	r.lastEventAt = now
}

// meanGap returns the mean time between two tokens of a completed answer, or 0.
func (r *request) meanGap() time.Duration {
	if r.answerTokens < 2 || r.endedAt == 0 {
		return 0
	}
	return (r.endedAt - r.firstTokenAt) / time.Duration(r.answerTokens-1)
}
