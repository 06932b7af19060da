package versionmove

import "time"

// Roles names the roles of a service's versions from the order of a move until it has
// settled.
type Roles struct {
	// Serving is the version that gets most requests now.
	Serving string
	// Next is the version that gets all requests if the move succeeds; "" after the end of
	// the move.
	Next string
	// IsSwitched reports whether the move ended with the new version.
	IsSwitched bool
	// EndedAt is when this daemon learned of the end of the move, by the clock of the
	// Follower; zero while the move is running.
	EndedAt time.Time
}

// Roles returns the roles of a service's versions. isDeclared reports whether a move of the
// service is declared and has not ended: its state is then valid before upstreams of the new
// version are listed, and that of an ended move is of the one before. ok is false if the
// service has no move, one that has settled, or one whose state is not known.
func (f *Follower) Roles(service string, isDeclared bool) (r Roles, ok bool) {
	f.mu.Lock()
	move, followed := f.states[service]
	settled := f.settled[service]
	f.mu.Unlock()
	switch {
	case !followed && isDeclared && settled.Phase == PhaseRunning:
		return Roles{Serving: settled.From, Next: settled.To}, true
	case !f.IsUnsettled(service):
		return Roles{}, false
	case move.State.Phase != PhaseRunning:
		return Roles{Serving: move.State.serving(), IsSwitched: move.State.Phase == PhaseDone, EndedAt: move.changedAt}, !isDeclared
	}
	routed := f.RoutedStates()[service]
	if routed.Share == 1 {
		return Roles{Serving: routed.To}, true
	}
	return Roles{Serving: routed.From, Next: routed.To}, true
}
