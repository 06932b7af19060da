package upstreamconn

import "github.com/juju/errors"

// ErrPathLost means that a request was given up because this daemon reaches no upstream of
// the pool. It may have run.
const ErrPathLost = errors.ConstError("the path to the upstreams was lost")

// PathObserver learns from connections which upstreams are reached. Implementations are safe
// for concurrent use.
type PathObserver interface {
	// RecordConnect records whether connecting to an address succeeded.
	RecordConnect(address string, err error)
	// Start records the beginning of a call. abandon is called if the path to the upstream is
	// lost during the call; nil means that the call goes on.
	Start(address string, abandon func()) PathCall
}

// PathCall is a call of which a PathObserver was told. Its methods are safe for concurrent use.
type PathCall interface {
	// Heard records that anything was received from the upstream.
	Heard()
	// End ends the call.
	End()
}

// noPathCall is the call if there is no observer.
type noPathCall struct{}

func (noPathCall) Heard() {}
func (noPathCall) End()   {}
