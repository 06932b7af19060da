package configsync

import (
	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// Move is a stored version move: its specification and its progress.
type Move struct {
	Name    string
	Version objectclient.Revision
	Spec    *api.VersionMove
	// Status is nil until a controller has written it for the first time.
	Status *api.MoveStatus
	// RouteShares holds the shares of routes that differ from the share in Status while the
	// move is running, by the name of the route.
	RouteShares map[string]float64
}

// Ended reports whether the move is done or undone.
func (m *Move) Ended() bool { return m.Status != nil && m.Status.Phase.HasEnded() }
