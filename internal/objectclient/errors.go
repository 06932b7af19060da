package objectclient

import "github.com/juju/errors"

// The causes of failed calls, to be tested with errors.Is.
const (
	ErrConflict    = errors.ConstError("object has another version")
	ErrNotFound    = errors.ConstError("object not found")
	ErrTooLarge    = errors.ConstError("object too large")
	ErrCompacted   = errors.ConstError("revision compacted")
	ErrUnavailable = errors.ConstError("object API unavailable")
	// ErrRateLimited is always combined with ErrUnavailable. The store refused
	// the call because of its rate limit, so the call had no effect.
	ErrRateLimited = errors.ConstError("object API rate limit")
)
