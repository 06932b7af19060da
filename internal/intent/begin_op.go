package intent

import (
	"sync"
	"time"
)

// beginOp asks for an intent. Its caller may stop waiting at any time.
type beginOp struct {
	key    Key
	digest string
	nonce  string
	by     requester
	// deadline is when the intent must be committed.
	deadline time.Time
	done     chan struct{}
	// forwarded says that another daemon asked. That daemon alone may withdraw
	// the intent, as it may have had it granted elsewhere.
	forwarded bool
	// end tells the asking Log that no outcome will come; nil for one that was
	// forwarded.
	end func()

	mu        sync.Mutex
	settled   bool
	abandoned bool
	result    result
	// attempted says that a write with the intent was sent, so that it may take
	// effect although the operation failed.
	attempted bool
	// elsewhere says that the operation was forwarded to a daemon that did not
	// answer, so that the intent may be committed there.
	elsewhere bool
	// waits says that another dispatch with the key is in progress.
	waits bool
}

// settle gives the operation its result. It returns false when the caller has
// stopped waiting.
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

// abandon ends the caller's interest. It returns the result when there is one
// already.
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

func (o *beginOp) setWaits(waits bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waits = waits
}

func (o *beginOp) isWaiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waits
}

// release tells the asking Log that no outcome will come.
func (o *beginOp) release() {
	if o.end != nil {
		o.end()
	}
}

// withdrawal returns the operation that records the intent as not run.
func (o *beginOp) withdrawal() *finishOp {
	return &finishOp{
		key: o.key, nonce: o.nonce, outcome: Outcome{Ran: RanNotRun}, done: o.release,
		elsewhere: o.elsewhere,
	}
}
