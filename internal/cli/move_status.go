package cli

import (
	"encoding/json"

	"rattantide/internal/api"
)

// moveStatus returns the status of a stored move. A move without a status or with
// one that cannot be decoded is running.
func moveStatus(stored *api.Object) *api.MoveStatus {
	status := &api.MoveStatus{}
	if len(stored.Status) > 0 {
		if err := json.Unmarshal(stored.Status, status); err != nil {
			return &api.MoveStatus{Phase: api.MoveRunning, Reason: "the status cannot be decoded"}
		}
	}
	if status.Phase == "" {
		status.Phase = api.MoveRunning
	}
	return status
}
