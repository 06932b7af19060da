package server

import (
	"time"

	"rattantide/internal/problem"
)

// endReason is the reason why an attempt at an engine ended.
type endReason int

const (
	endDone endReason = iota
	// endRefused: the engine did not accept the request.
	endRefused
	// endBusy: the engine did not accept the request because its queue is full.
	endBusy
	// endUnreachable: no connection to the engine could be opened to resume, or the
	// engine restarted after the stream broke and lost the generation.
	endUnreachable
	// endStreamBroken: the connection broke, or events are missing.
	endStreamBroken
	// endStalled: no event arrived within the progress timeout.
	endStalled
	// endUnknownRequest: the engine does not have the generation to resume.
	endUnknownRequest
	// endPrefixRefused: the engine does not accept a request with a prefix of the
	// answer.
	endPrefixRefused
	// endMismatch: a regenerated answer differs from the events already recorded,
	// or could only be completed by mixing two versions.
	endMismatch
	// endUpstreamLeaving: the attempt was interrupted because its engine is leaving.
	endUpstreamLeaving
	// endError: the engine answered with an error status or an invalid head.
	endError
	// endUnrecoverable: no engine can complete the request; attemptResult.problem
	// has the reason.
	endUnrecoverable
	// endCanceled: the request's context ended, or the record accepts no more
	// attempts.
	endCanceled
)

// attemptResult describes the end of an attempt.
type attemptResult struct {
	reason   endReason
	draining bool
	// backoff is how long the engine wants no further request.
	backoff time.Duration
	// problem is set with endUnrecoverable.
	problem *problem.Problem
	err     error
}
