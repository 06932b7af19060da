package handoff

import (
	"sync/atomic"
	"time"
)

// freezeDetector detects freezes: periods in which this process was suspended. It
// expects frequent beats and recognizes a freeze by a long gap between two of
// them. It is safe for concurrent use.
type freezeDetector struct {
	now       func() time.Time
	threshold time.Duration
	start     time.Time
	// lastBeat is the time of the last beat, as a duration since start.
	lastBeat atomic.Int64
}

func newFreezeDetector(now func() time.Time, threshold time.Duration) *freezeDetector {
	return &freezeDetector{now: now, threshold: threshold, start: now()}
}

// beat records a beat and reports whether the time since the previous one
// exceeds the threshold.
func (d *freezeDetector) beat() bool {
	now := int64(d.now().Sub(d.start))
	return time.Duration(now-d.lastBeat.Swap(now)) > d.threshold
}

// isOverdue reports whether the time since the last beat exceeds the threshold.
func (d *freezeDetector) isOverdue() bool {
	return d.now().Sub(d.start)-time.Duration(d.lastBeat.Load()) > d.threshold
}
