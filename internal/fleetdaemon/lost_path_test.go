package fleetdaemon

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/tcplink"
)

// Guards against callers of daemons that have lost their path to all upstreams, and only to
// them, being served far worse than those of the other daemons.
func TestCallersOfDaemonsWithoutUpstreamsAreServed(t *testing.T) {
	for name, fault := range map[string]tcplink.PathFault{"hang": tcplink.PathHangs, "reset": tcplink.PathResets, "refuse new": tcplink.PathRefusesNew} {
		t.Run(name, func(t *testing.T) { testLostPath(t, fault) })
	}
}

func testLostPath(t *testing.T, fault tcplink.PathFault) {
	const (
		daemons  = 5
		cutCount = 3
		// contactTime is how long a disturbance may excuse failures, cutTime how long the
		// path is lost, and healTime the time after it in which it must be used again.
		contactTime = 3 * time.Second
		cutTime     = 7 * time.Second
		healTime    = time.Second
	)
	paths := newUpstreamPaths(t)
	s := startPathDeployment(t, paths, daemons)
	c := s.newCallers()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx, 40*time.Millisecond)
	}()
	isCut := func(i int) bool { return i < cutCount }
	isOther := func(i int) bool { return i >= cutCount }
	<-time.After(2 * time.Second)
	cutAt := time.Now()
	for i := range cutCount {
		paths.Set(i, fault)
	}
	<-time.After(cutTime)
	listed := make([][]string, daemons)
	for i := range daemons {
		listed[i] = s.resolve(i)
	}
	healedAt := time.Now()
	for i := range cutCount {
		paths.Set(i, tcplink.PathSound)
	}
	<-time.After(healTime + time.Second)
	stop()
	<-done

	check := func(what string, from, to time.Time, match func(int) bool) {
		t.Helper()
		served, total := c.Served(from, to, match)
		t.Logf("%s: %d of %d first tries served", what, served, total)
		assert.Check(t, total > 0 && (total-served)*50 <= total+50, "%s: %d of %d first tries served", what, served, total)
	}
	served, total := c.Served(cutAt, cutAt.Add(contactTime), isCut)
	t.Logf("cut daemons, while the cut may excuse them: %d of %d served", served, total)
	check("cut daemons", cutAt.Add(contactTime), healedAt, isCut)
	check("others", cutAt, healedAt, isOther)
	check("after the cut", healedAt.Add(healTime), time.Now(), func(int) bool { return true })
	checkExecutions(t, c, paths)
	if fault == tcplink.PathRefusesNew {
		return
	}
	for i, addresses := range listed {
		for cut := range cutCount {
			assert.Check(t, !slices.Contains(addresses, s.daemons[cut].settings.CallerAddress), "daemon %d lists daemon %d, which reaches no upstream", i, cut)
		}
		assert.Check(t, len(addresses) == daemons-cutCount, "daemon %d lists %v", i, addresses)
	}
}
