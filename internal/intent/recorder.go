package intent

import (
	"context"

	"github.com/juju/errors"
)

// ErrKeyReused means that the key was already used with a different request.
const ErrKeyReused = errors.ConstError("idempotency key was used with another request")

// Recorder records non-idempotent calls for the request path.
type Recorder interface {
	// Begin commits the intent to run the call identified by key. nonce is
	// unique to this dispatch; repeating Begin with the same nonce before the
	// dispatch is safe. While another dispatch with the key is in progress,
	// Begin waits for its outcome until ctx ends or the dispatching daemon is
	// gone; then the returned outcome is unknown. After any error the call must
	// not be dispatched; the error wraps ErrKeyReused or
	// objectclient.ErrUnavailable.
	Begin(ctx context.Context, key Key, digest, nonce string) (Grant, error)
	// Finish records the outcome of a granted call. It returns once the
	// outcome is queued for the next group commit.
	Finish(key Key, nonce string, outcome Outcome)
}
