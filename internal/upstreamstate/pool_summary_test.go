package upstreamstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// Guards against upstreams that count as whole ones although they are slow, or as none although
// nothing is known of them, and against a wrong report that counts as a whole pool.
func TestCapacity(t *testing.T) {
	s := newTestStore(4)
	assert.Equal(t, s.Capacity("p", epoch), 4.0)
	assert.Equal(t, s.Capacity("other", epoch), 0.0)
	s.Observe(testProcess(0), testLoad(3, 2), epoch)
	s.Observe(testProcess(1), testLoad(3, 1), epoch)
	assert.Equal(t, s.Capacity("p", epoch), 3.5)
	summary := s.Summaries(epoch)["p"]
	assert.Equal(t, summary.Known, 2)
	assert.Equal(t, summary.MeanPace, 1.25)
	assert.Assert(t, s.Capacity("p", epoch.Add(time.Minute)) > 3.999, "the report is old")
	for range 200 {
		s.ObserveSlowness(testProcess(2), 2, epoch)
	}
	summary = s.Summaries(epoch)["p"]
	assert.DeepEqual(t, summary.Slow, []string{testProcess(2).Name})
	assert.Assert(t, summary.Capacity > 2.99 && summary.Capacity < 3.02, "%g", summary.Capacity)
	s.Observe(testProcess(3), membership.Load{Slots: maxCount, Pace: 0.01}, epoch)
	assert.Assert(t, s.Capacity("p", epoch) < 4+maxCapacityShare)
}

// Guards against a version's capacity that includes the upstreams of another version.
func TestVersionCapacity(t *testing.T) {
	s := NewStore()
	processes := testProcesses(3)
	processes[2].Version = "v2"
	s.SetUpstreams(processes)
	s.Observe(processes[2], testLoad(3, 2), epoch)
	assert.Equal(t, s.VersionCapacity("p", "v1", epoch), 2.0)
	assert.Equal(t, s.VersionCapacity("p", "v2", epoch), 0.5)
}
