package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// Guards against a retry that goes to an upstream that has just failed another request in the
// same way, and against a retry that finds no upstream because all of them have.
func TestRetryAvoidsUpstreamsThatFailedAlike(t *testing.T) {
	now := time.Unix(1000, 0)
	var f failureTracker
	upstreams := []membership.Upstream{{Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}}
	names := func(failed ...string) string {
		text := ""
		for _, u := range f.withoutSimilarFailures(upstreams, failed, now) {
			text += u.Name
		}
		return text
	}
	f.record("a", StatusError, now)
	f.record("b", StatusError, now)
	f.record("c", StatusCrash, now)
	f.record("d", StatusError, now)
	f.record("d", StatusBusy, now)
	assert.Equal(t, names("a"), "ce")
	assert.Equal(t, names(), "bcde", "a first attempt excludes nothing")
	assert.Equal(t, names("c"), "bde")
	f.record("d", StatusOK, now)
	assert.Equal(t, names("a"), "cde")
	for _, u := range upstreams {
		f.record(u.Name, StatusError, now)
	}
	assert.Equal(t, names("a"), "bcde")
	now = now.Add(failureRetention + 1)
	f.record("b", StatusError, now)
	f.record("a", StatusError, now)
	assert.Equal(t, names("a"), "cde")
}

// Guards against memory that grows with the names of failed upstreams.
func TestFailureTrackerIsBounded(t *testing.T) {
	var f failureTracker
	for i := range 3 * maxTrackedFailures {
		f.record(time.Duration(i).String(), StatusError, time.Unix(int64(i), 0))
	}
	assert.Assert(t, len(f.latest) <= maxTrackedFailures)
}
