package objectclient

import "github.com/juju/errors"

// The causes of failed calls, to be tested with errors.Is.
const (
	// ErrConflict means that the condition of a Put or Delete was not met.
	ErrConflict = errors.ConstError("object has another version")
	ErrNotFound = errors.ConstError("object not found")
	ErrTooLarge = errors.ConstError("object too large")
	// ErrCompacted means that the events after the requested revision are no longer
	// available, so that a watch cannot start there.
	ErrCompacted = errors.ConstError("revision compacted")
	// ErrUnavailable means that the object API did not respond, or not in a usable
	// way. A Put or Delete may still have taken effect.
	ErrUnavailable = errors.ConstError("object API unavailable")
	// ErrRestored is always combined with ErrConflict or ErrUnavailable: the store was
	// restored from a copy, so that a revision or a response is of an era that has ended.
	ErrRestored = errors.ConstError("object API was restored")
	// ErrRateLimited is always combined with ErrUnavailable. The store refused
	// the call because of its rate limit, so the call had no effect.
	ErrRateLimited = errors.ConstError("object API rate limit")
)
