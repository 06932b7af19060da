package upstreamconn

import "github.com/juju/errors"

// ErrNoConnection means that the bound on connections to an upstream is reached.
const ErrNoConnection = errors.ConstError("all connections to the upstream are in use")

// Error is a call without an answer.
type Error struct {
	// Sent says that bytes of the request may have reached the upstream, so that
	// it may have run.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return "after sending: " + e.Err.Error()
	}
	return "before sending: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
