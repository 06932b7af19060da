package intent

import "sync"

// openDispatches holds this daemon's dispatches without a committed outcome, by
// the caller's nonce and by the entry's nonce. It is safe for concurrent use.
type openDispatches struct {
	mu       sync.Mutex
	byCaller map[string]*grantedDispatch
	entries  map[string]bool
}

func newOpenDispatches() *openDispatches {
	return &openDispatches{byCaller: map[string]*grantedDispatch{}, entries: map[string]bool{}}
}

// addEntry adds the nonce of an entry that is about to be written.
func (o *openDispatches) addEntry(entryNonce string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries[entryNonce] = true
}

// removeEntry removes the nonce of an entry whose outcome is committed or that
// was not granted.
func (o *openDispatches) removeEntry(entryNonce string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.entries, entryNonce)
}

// hasEntry reports whether the outcome of an entry may still be recorded.
func (o *openDispatches) hasEntry(entryNonce string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entries[entryNonce]
}

// addGrant records that a caller may dispatch.
func (o *openDispatches) addGrant(callerNonce string, d *grantedDispatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byCaller[callerNonce] = d
}

// grantFor returns the dispatch that was granted to a caller, or nil.
func (o *openDispatches) grantFor(callerNonce string) *grantedDispatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byCaller[callerNonce]
}

// removeGrant removes and returns the dispatch of a caller, or nil.
func (o *openDispatches) removeGrant(callerNonce string) *grantedDispatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.byCaller[callerNonce]
	delete(o.byCaller, callerNonce)
	return d
}
