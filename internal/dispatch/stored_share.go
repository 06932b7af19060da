package dispatch

import "rattantide/internal/configsync"

// storedShare enforces the share as stored and collects no evidence.
type storedShare struct{}

func (storedShare) Share(m *configsync.Move) float64 {
	if m.Status == nil {
		return 0
	}
	return m.Status.Share
}

func (storedShare) Observe(MoveSample) {}
