package server

import "github.com/juju/errors"

// Causes of cancelled contexts, as returned by context.Cause.
const (
	errMoved            = errors.ConstError("another daemon holds the request")
	errAbandoned        = errors.ConstError("the caller left and did not resume within the grace period")
	errDeadline         = errors.ConstError("the request deadline passed")
	errLeaving          = errors.ConstError("the upstream is leaving")
	errStalled          = errors.ConstError("the upstream made no progress within the timeout")
	errHolderUnverified = errors.ConstError("the backup does not confirm this daemon as the holder")
	errClosed           = errors.ConstError("the server is closed")
)
