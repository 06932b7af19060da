package server

import "github.com/juju/errors"

// The reasons for which a context of the request path is cancelled.
const (
	errMoved     = errors.ConstError("another daemon holds the request")
	errAbandoned = errors.ConstError("the caller is gone")
	errDeadline  = errors.ConstError("the deadline passed")
	errLeaving   = errors.ConstError("the upstream is leaving")
	errSilent    = errors.ConstError("no progress within the deadline")
	errIsolated  = errors.ConstError("the holder cannot be verified")
	errClosed    = errors.ConstError("the daemon ends")
)
