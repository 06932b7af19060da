package fleetdaemon

import (
	"time"

	"rattantide/internal/autoscale"
	"rattantide/internal/versionmove"
)

// maxUnknownTime is how long a new holder of the duties orders nothing because it has not
// read the declared moves yet. A holder that gets the duties back may await a change of them
// for longer.
const maxUnknownTime = 2 * time.Second

// maxQueryGap is the longest time between two calls of isUnknown while this daemon holds the
// duties, several times the interval of the orders.
const maxQueryGap = 3 * time.Second

// declaredMoves reports which moves are declared. It is implemented by versionmove.Controller.
type declaredMoves interface {
	IsKnown() bool
	IsRunning(service string) bool
}

// moveRoles determines for the holder of the duties which versions of a service count as
// capacity. It is not safe for concurrent use.
type moveRoles struct {
	moves    declaredMoves
	follower *versionmove.Follower
	now      func() time.Time
	// unknownSince is since when the declared moves are not known; zero if they are.
	unknownSince time.Time
	// queriedAt is when isUnknown was called last.
	queriedAt time.Time
}

// isUnknown reports whether a service may have a move whose versions are not known yet. An
// order would then remove the upstreams that start for the move.
func (r *moveRoles) isUnknown(service string) bool {
	now := r.now()
	isNewHolder := now.Sub(r.queriedAt) > maxQueryGap
	r.queriedAt = now
	if !r.moves.IsKnown() {
		if r.unknownSince.IsZero() || isNewHolder {
			r.unknownSince = now
		}
		return now.Sub(r.unknownSince) < maxUnknownTime
	}
	r.unknownSince = time.Time{}
	isDeclared := r.moves.IsRunning(service)
	_, hasRoles := r.follower.Roles(service, isDeclared)
	return isDeclared && !hasRoles
}

// move returns the version move of a service, the zero value if there is none.
func (r *moveRoles) move(service string) autoscale.VersionMove {
	roles, ok := r.follower.Roles(service, r.moves.IsRunning(service))
	if !ok {
		return autoscale.VersionMove{}
	}
	return autoscale.VersionMove{Serving: roles.Serving, Next: roles.Next, IsSwitched: roles.IsSwitched, EndedAt: roles.EndedAt}
}
