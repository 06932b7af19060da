package intent

import "sync"

// openDispatches are the dispatches of this daemon without a committed outcome,
// by the caller's nonce and by the nonce of the entry. It is safe for concurrent
// use.
type openDispatches struct {
	mu      sync.Mutex
	callers map[string]*dispatch
	entries map[string]bool
}

func newOpenDispatches() *openDispatches {
	return &openDispatches{callers: map[string]*dispatch{}, entries: map[string]bool{}}
}

// start notes an entry nonce that is about to be written.
func (o *openDispatches) start(entryNonce string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries[entryNonce] = true
}

// end forgets an entry nonce whose outcome is committed or that was not granted.
func (o *openDispatches) end(entryNonce string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.entries, entryNonce)
}

// known reports whether the outcome of an entry nonce may still come.
func (o *openDispatches) known(entryNonce string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entries[entryNonce]
}

// grant notes that a caller may dispatch.
func (o *openDispatches) grant(callerNonce string, d *dispatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.callers[callerNonce] = d
}

// granted returns the dispatch that a caller was granted before, or nil.
func (o *openDispatches) granted(callerNonce string) *dispatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.callers[callerNonce]
}

// finish removes and returns the dispatch of a caller.
func (o *openDispatches) finish(callerNonce string) *dispatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.callers[callerNonce]
	delete(o.callers, callerNonce)
	return d
}
