package upstreamstate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

var epoch = time.Unix(1000, 0)

func testProcess(i int) Process {
	return Process{Pool: "p", Name: fmt.Sprintf("runner-%03d", i), Address: "127.0.0.1:1", Version: "v1", Generation: 5}
}

func testProcesses(count int) []Process {
	processes := make([]Process, count)
	for i := range processes {
		processes[i] = testProcess(i)
	}
	return processes
}

func newTestStore(count int) *Store {
	s := NewStore()
	s.SetUpstreams(testProcesses(count))
	return s
}

func testLoad(running int, pace float64) membership.Load {
	return membership.Load{Running: running, Waiting: 1, Slots: 16, Pace: pace}
}

func mustMerge(t *testing.T, s *Store, payload []byte, now time.Time) []Update {
	t.Helper()
	updates, invalid, err := s.Merge(payload, now, nil)
	assert.NilError(t, err)
	assert.Equal(t, invalid, 0)
	return updates
}

// Guards against an old report that replaces a newer one because it arrives later, twice or in
// another order.
func TestMergeByAge(t *testing.T) {
	a, b := newTestStore(1), newTestStore(1)
	a.Observe(testProcess(0), testLoad(3, 1), epoch)
	first := a.encodeUnsent(toCollectors, maxMessageBytes, epoch)
	a.Observe(testProcess(0), testLoad(9, 2), epoch.Add(100*time.Millisecond))
	// Slots are sent with the speed, or once a second.
	a.ObserveSlowness(testProcess(0), 1, epoch)
	second := a.encodeUnsent(toCollectors, maxMessageBytes, epoch.Add(100*time.Millisecond))
	updates := mustMerge(t, b, second, epoch.Add(100*time.Millisecond))
	assert.Equal(t, len(updates), 1)
	assert.Equal(t, updates[0].Load.Running, 9)
	assert.Equal(t, updates[0].Load.Pace, 2.0)
	assert.Equal(t, len(mustMerge(t, b, second, epoch.Add(100*time.Millisecond))), 0, "the same message again")
	// The earlier message is delayed by less than the time between both.
	assert.Equal(t, len(mustMerge(t, b, first, epoch.Add(90*time.Millisecond))), 0)
	assert.Assert(t, a.encodeUnsent(toCollectors, maxMessageBytes, epoch.Add(time.Second)) == nil, "nothing is new")
}

// Guards against state that passes to another process with the name, the address or both, and
// against state of processes that share a key.
func TestStateBelongsToOneProcess(t *testing.T) {
	s := newTestStore(2)
	s.Observe(testProcess(0), testLoad(3, 2), epoch)
	s.ObserveSlowness(testProcess(0), 4, epoch)
	assert.Equal(t, len(s.Updates(epoch, nil)), 1)
	next := testProcesses(2)
	next[0].Generation++
	s.SetUpstreams(next)
	assert.Equal(t, len(s.Updates(epoch, nil)), 0)
	s.Observe(testProcess(0), testLoad(3, 2), epoch)
	assert.Equal(t, len(s.Updates(epoch, nil)), 0, "a late answer of the previous process")
	s.Observe(next[0], testLoad(3, 2), epoch)
	next[0].Version = "v2"
	s.SetUpstreams(next)
	assert.Equal(t, len(s.Updates(epoch, nil)), 0, "a new version")
	s.SetUpstreams([]Process{testProcess(0), testProcess(0)})
	s.Observe(testProcess(0), testLoad(3, 2), epoch)
	assert.Assert(t, s.encodeUnsent(toFirst, maxMessageBytes, epoch) == nil, "two processes have the same key")
}

// Guards against state that is kept although nothing confirms it, and against a speed of one
// answer.
func TestSlownessDecays(t *testing.T) {
	s := newTestStore(1)
	s.Observe(testProcess(0), testLoad(3, 1), epoch)
	s.ObserveSlowness(testProcess(0), 8, epoch)
	speed := func(now time.Time) float64 { return s.Updates(now, nil)[0].Load.Speed }
	assert.Assert(t, speed(epoch) > 0.8, "one answer")
	for range 200 {
		s.ObserveSlowness(testProcess(0), 2, epoch)
	}
	assert.Assert(t, speed(epoch) < 0.55)
	assert.Assert(t, speed(epoch.Add(slownessHalfLife)) > 0.6)
	assert.Assert(t, speed(epoch.Add(10*slownessHalfLife)) > 0.99)
	assert.Equal(t, s.Updates(epoch.Add(time.Minute), nil)[0].Load.AgeMs, int64(60_000))
	assert.Assert(t, s.encodeUnsent(toFirst, maxMessageBytes, epoch.Add(time.Minute)) == nil, "old state is not sent")
}

// Guards against a clock that jumps back: ages must not become negative, and new reports must
// not be ignored for long.
func TestClockThatJumpsBack(t *testing.T) {
	s := newTestStore(1)
	s.Observe(testProcess(0), testLoad(3, 1), epoch)
	s.ObserveSlowness(testProcess(0), 2, epoch)
	before := epoch.Add(-time.Second)
	for _, u := range s.Updates(before, nil) {
		assert.Equal(t, u.Load.AgeMs, int64(0))
		assert.Assert(t, u.Load.Speed > 0.9 && u.Load.Speed < 1)
	}
	s.encodeUnsent(toFirst, maxMessageBytes, before)
}

// Guards against the loss of what matters most when a message is too short for all: an
// upstream that has become slow must come before those that are as they were.
func TestMostInformativeFirst(t *testing.T) {
	const count = 50
	a, b := newTestStore(count), newTestStore(count)
	for i := range count {
		a.Observe(testProcess(i), testLoad(4, 1), epoch)
	}
	a.encodeUnsent(toFirst, maxMessageBytes, epoch)
	now := epoch.Add(200 * time.Millisecond)
	for i := range count {
		pace := 1.0
		if i == 41 {
			pace = 2.5
		}
		a.Observe(testProcess(i), testLoad(4, pace), now)
	}
	const budget = 1 + 4*maxEntryBytes
	updates := mustMerge(t, b, a.encodeUnsent(toFirst, budget, now), now)
	assert.Assert(t, len(updates) == 0 || updates[0].Process.Name == testProcess(41).Name)
	_, invalid, err := b.Merge(a.encodeUnsent(toFirst, budget, now), now, nil)
	assert.NilError(t, err)
	assert.Equal(t, invalid, 0)
	sent := 0
	for range 2 * count {
		payload := a.encodeUnsent(toFirst, budget, now)
		assert.Assert(t, len(payload) <= budget)
		if payload == nil {
			break
		}
		sent++
	}
	assert.Assert(t, sent < count, "the others follow")
	assert.Assert(t, a.encodeUnsent(toFirst, budget, now) == nil)
}
