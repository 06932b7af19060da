package intent

import (
	"sync"
	"time"
)

// beginOp is a request to commit an intent. Its caller may stop waiting at any
// time.
type beginOp struct {
	key       Key
	digest    string
	nonce     string
	requester requester
	// deadline is the time by which the intent must be committed.
	deadline time.Time
	done     chan struct{}
	// forwarded reports that the operation was received from another daemon.
	// Only that daemon may withdraw the intent, because it may have obtained
	// the grant from another writer.
	forwarded bool
	// onRelease notifies the requesting Log that no outcome will follow. It is
	// nil for a forwarded operation.
	onRelease func()

	mu        sync.Mutex
	settled   bool
	abandoned bool
	result    result
	// mayBeCommitted reports that a write with the intent was sent, or that the
	// operation was forwarded without an answer. The intent may then take
	// effect although the operation failed.
	mayBeCommitted bool
	// mayBeCommittedRemotely reports that the operation was forwarded to a
	// daemon that did not answer, so that daemon may commit the intent.
	mayBeCommittedRemotely bool
	// waiting reports that another dispatch with the key is in progress.
	waiting bool
}

// settle sets the result and closes done; only the first result counts. It
// returns false when the caller has stopped waiting.
func (o *beginOp) settle(r result) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned {
		return false
	}
	if !o.settled {
		o.settled, o.result = true, r
		close(o.done)
	}
	return true
}

// abandon marks the operation as no longer awaited by its caller, unless it is
// already settled; then it returns the result.
func (o *beginOp) abandon() (r result, settled bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.settled {
		return o.result, true
	}
	o.abandoned = true
	return result{}, false
}

func (o *beginOp) isAbandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

func (o *beginOp) setWaiting(waiting bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting = waiting
}

func (o *beginOp) isWaiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waiting
}

// release notifies the requesting Log that no outcome will follow.
func (o *beginOp) release() {
	if o.onRelease != nil {
		o.onRelease()
	}
}

// withdrawal returns the operation that records the intent as not run.
func (o *beginOp) withdrawal() *finishOp {
	return &finishOp{
		key: o.key, nonce: o.nonce, outcome: Outcome{Execution: ExecutionNotRun}, onCommit: o.release,
		mayBeCommittedRemotely: o.mayBeCommittedRemotely,
	}
}
