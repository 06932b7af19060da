package engine

import (
	"net/http"
	"sync"
)

// maxTrackedConns is the number of tracked connections above which the set of
// tracked connections is cleared.
const maxTrackedConns = 65536

// connTracker records connections by their remote address, and which of them are
// silent: the engine sends nothing more on a silent connection. It is safe for
// concurrent use.
type connTracker struct {
	mu      sync.Mutex
	tracked map[string]bool
	silent  map[string]bool
}

// track records the connection of r and reports whether it is silent.
func (t *connTracker) track(r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tracked == nil || len(t.tracked) > maxTrackedConns {
		t.tracked = map[string]bool{}
	}
	t.tracked[r.RemoteAddr] = true
	return t.silent[r.RemoteAddr]
}

// isSilent reports whether the connection of r is silent.
func (t *connTracker) isSilent(r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent[r.RemoteAddr]
}

// silenceAll makes all tracked connections silent.
func (t *connTracker) silenceAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent, t.tracked = t.tracked, nil
}

// clearSilent clears the set of silent connections. Calls that already hang do
// not continue, because a silent connection does not recover.
func (t *connTracker) clearSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = nil
}
