package versionmove

// isSettled reports whether the move of a service that this daemon knows has settled. counts
// is the number of its upstreams by version.
func (f *Follower) isSettled(service string, counts map[string]int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return isSettled(f.states[service].State, counts)
}

// isSettled reports whether the traffic of a service needs no state of a move: it has
// upstreams of a single version, and that is the serving one if a move is known.
func isSettled(s State, counts map[string]int) bool {
	return len(counts) == 0 || len(counts) == 1 && (s.To == "" || counts[s.serving()] > 0)
}

// forget stops following the move of a service, whose state it remembers, and reports whether
// there was one.
func (f *Follower) forget(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	move, known := f.states[service]
	if !known {
		return false
	}
	f.rememberLocked(service, move.State)
	delete(f.states, service)
	return true
}

// remember keeps the state of a settled move for the next one.
func (f *Follower) remember(service string, s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rememberLocked(service, s)
}

// rememberLocked is remember for callers that hold f.mu.
func (f *Follower) rememberLocked(service string, s State) {
	if f.settled == nil {
		f.settled = map[string]State{}
	}
	if previous, known := f.settled[service]; !known || s.isAfter(previous) {
		f.settled[service] = s
	}
}
