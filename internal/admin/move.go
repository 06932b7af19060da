package admin

import (
	"sort"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
)

// Move is the state of a version move, as reported in a Status.
type Move struct {
	Name    string                `json:"name"`
	Version objectclient.Revision `json:"version"`
	Pool    string                `json:"pool"`
	From    string                `json:"from"`
	To      string                `json:"to"`
	Phase   api.MovePhase         `json:"phase"`
	// Share is the largest share of traffic that the new version may receive,
	// 0 to 1.
	Share   float64 `json:"share"`
	Verdict string  `json:"verdict,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	// DeadlineMs is the deadline of the move in Unix milliseconds of the object
	// API's clock.
	DeadlineMs int64 `json:"byMs"`
}

// sortedMoves returns the moves of a view, sorted by name.
func sortedMoves(view *configsync.View) []Move {
	moves := make([]Move, 0, len(view.Moves))
	for _, m := range view.Moves {
		move := Move{
			Name: m.Name, Version: m.Version, Pool: m.Spec.Pool,
			From: m.Spec.From, To: m.Spec.To, Phase: api.MoveRunning,
		}
		if s := m.Status; s != nil {
			move.Phase, move.Share, move.Verdict, move.Reason, move.DeadlineMs = s.Phase, s.Share, s.Verdict, s.Reason, s.DeadlineMs
		}
		moves = append(moves, move)
	}
	sort.Slice(moves, func(i, j int) bool { return moves[i].Name < moves[j].Name })
	return moves
}
