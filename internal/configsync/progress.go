package configsync

import (
	"sync"

	"rattantide/internal/objectclient"
)

// progress is the state of a daemon's synchronization of the configuration. It is
// safe for concurrent use.
type progress struct {
	mu sync.Mutex
	// complete is the revision up to which all changes have been applied.
	complete objectclient.Revision
	// deletionFloor is the revision above which every deletion is known as a
	// tombstone. A peer with an older revision needs a full feed.
	deletionFloor objectclient.Revision
	// synced is set if a first configuration is in effect; ready is then closed.
	synced bool
	ready  chan struct{}
}

func (p *progress) get() (complete, deletionFloor objectclient.Revision, synced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete, p.deletionFloor, p.synced
}

func (p *progress) raiseDeletionFloor(revision objectclient.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deletionFloor = max(p.deletionFloor, revision)
}

func (p *progress) raiseComplete(revision objectclient.Revision) {
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
