package configsync

import "sync"

// progress is how far a daemon's configuration reaches. It is safe for
// concurrent use.
type progress struct {
	mu sync.Mutex
	// complete is the revision up to which every change is applied.
	complete int64
	// floor is the revision from which on every deletion is known as a
	// tombstone. A peer that is further behind needs everything.
	floor int64
	// synced says that a first configuration is in effect.
	synced bool
	ready  chan struct{}
}

func (p *progress) get() (complete, floor int64, synced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete, p.floor, p.synced
}

func (p *progress) raiseFloor(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.floor = max(p.floor, revision)
}

func (p *progress) raiseComplete(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.complete = max(p.complete, revision)
}

func (p *progress) setSynced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.synced {
		p.synced = true
		close(p.ready)
	}
}
