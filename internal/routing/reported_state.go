package routing

import (
	"time"

	"rattantide/internal/membership"
)

// minReportedPace and maxReportedPace bound the pace that an upstream may report, so that a wrong
// report does not draw all requests of a pool, nor outlast the answers that contradict it.
const (
	minReportedPace = 0.25
	maxReportedPace = 16.0
)

// reportedState is what an upstream reported of its slots and its pace. It is the zero value,
// except for sentSince, if the upstream reports no pace.
type reportedState struct {
	slots float64
	// slotTime is the mean time between two requests that leave the full upstream, as a share
	// of the time for which a request holds a slot.
	slotTime float64
	// occupancy is the number of running and waiting requests.
	occupancy float64
	pace      float64
	takenAt   time.Duration
	// sentSince is the number of this daemon's open attempts that were sent after takenAt.
	sentSince int
}

// newReportedState returns the state in a report that was taken at a time.
func newReportedState(report *membership.Load, takenAt time.Duration, sentSince int) reportedState {
	if report.Pace <= 0 || report.Slots <= 0 {
		return reportedState{sentSince: sentSince}
	}
	return reportedState{
		slots: float64(report.Slots), slotTime: 1 / float64(report.Slots), occupancy: float64(report.Running + report.Waiting),
		pace:    min(max(report.Pace, minReportedPace), maxReportedPace),
		takenAt: takenAt, sentSince: sentSince,
	}
}
