package server

import "rattantide/internal/problem"

// ending is how a stream from an engine ended.
type ending int

const (
	endDone ending = iota
	// endRefused: the engine did not take the request.
	endRefused
	// endBusy: the engine's queue is full and it did not take the request.
	endBusy
	// endGone: the engine cannot be reached for a resumption.
	endGone
	// endLost: the connection broke or skipped events.
	endLost
	// endSilent: nothing came within the progress deadline.
	endSilent
	// endForgotten: the engine no longer has the generation.
	endForgotten
	// endPrefixRefused: the engine does not take the prefix form.
	endPrefixRefused
	// endDiffers: a regenerated answer is not the one that was begun.
	endDiffers
	// endLeaving: the attempt was interrupted because its engine is leaving.
	endLeaving
	// endError: the engine answered with an error of its own.
	endError
	// endFinal: the request cannot succeed; the problem says why.
	endFinal
	// endStopped: the request's context ended.
	endStopped
)

// result is an ending with what else is known about it.
type result struct {
	ending   ending
	draining bool
	// problem is set with endFinal.
	problem *problem.Problem
	err     error
}
