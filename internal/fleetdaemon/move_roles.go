package fleetdaemon

import (
	"rattantide/internal/autoscale"
	"rattantide/internal/versionmove"
)

// declaredMoves tells which moves are declared. It is implemented by versionmove.Controller.
type declaredMoves interface {
	IsRunning(service string) bool
}

// moveRoles tells the holder of the duties which versions of a service count as capacity.
type moveRoles struct {
	moves    declaredMoves
	follower *versionmove.Follower
}

// isUnknown reports whether a service may have a move whose versions are not known yet. An
// order would then remove the upstreams that start for the move.
func (r *moveRoles) isUnknown(service string) bool {
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
