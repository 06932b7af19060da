package upstreamconn

import "github.com/juju/errors"

// ErrConnLimit means that the limit of connections to an upstream is reached.
const ErrConnLimit = errors.ConstError("all connections to the upstream are in use")

// Error is the error of a request without a response.
type Error struct {
	// Sent reports whether bytes of the request may have reached the upstream, so that
	// the request may have run.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Sent {
		return "after sending at least part of the request: " + e.Err.Error()
	}
	return "before sending the request: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
