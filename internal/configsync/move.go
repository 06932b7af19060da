package configsync

import "rattantide/internal/api"

// Move is a version move as stored: what was declared and how far it is.
type Move struct {
	Name    string
	Version int64
	Spec    *api.VersionMove
	// Status is nil until a controller first writes it.
	Status *api.MoveStatus
}

// Ended reports whether the move is done or undone.
func (m *Move) Ended() bool { return m.Status != nil && m.Status.Phase.Ended() }
