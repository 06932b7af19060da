package rollout

import (
	"time"

	"rattantide/internal/configsync"
)

// State is the progress of a move. Times are the store's.
type State struct {
	From, To string
	Declared time.Time
	// Deadline is when the move must have ended.
	Deadline time.Time
	// Share is the new version's share of traffic, and ShareSince is when it
	// took effect.
	Share      float64
	ShareSince time.Time
}

// StateOf returns the state of a move that has a status.
func StateOf(m *configsync.Move) State {
	s := State{
		From: m.Spec.From, To: m.Spec.To, Share: m.Status.Share,
		Declared: time.UnixMilli(m.Status.DeclaredMs), Deadline: time.UnixMilli(m.Status.DeadlineMs),
		ShareSince: time.UnixMilli(m.Status.ShareSinceMs),
	}
	if m.Status.ShareSinceMs == 0 {
		s.ShareSince = s.Declared
	}
	return s
}

// duration returns the time from the declaration to the deadline.
func (s *State) duration() time.Duration { return s.Deadline.Sub(s.Declared) }

// slot returns the number of the time slot that contains t.
func (s *State) slot(t time.Time) int64 {
	return int64(max(0, t.Sub(s.Declared)) / slotLength(s.duration()))
}
