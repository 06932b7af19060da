package fleetdaemon

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"rattantide/platform"
)

// warmStoreConns makes each daemon keep several idle connections to the store.
func (s *deployment) warmStoreConns() {
	const calls = 8
	var group errgroup.Group
	for _, d := range s.daemons {
		for range calls {
			group.Go(func() error {
				_, err := d.store.Get(s.t.Context(), platform.ConfigKind, platform.ConfigName)
				return err
			})
		}
	}
	assert.NilError(s.t, group.Wait())
}

// hasVersion reports whether a version of the configuration is in effect on all daemons.
func (s *deployment) hasVersion(version int64) bool {
	for _, d := range s.daemons {
		if config, _ := d.holder.Current(); config == nil || config.Version != version {
			return false
		}
	}
	return true
}

// Guards against a change of the configuration that comes into effect late because reads of
// the store wait for one kept connection after the other, after all of them fell silent.
func TestConfigurationIsAppliedInTimeOverSilentStoreConnections(t *testing.T) {
	// A change must be in effect applyWithin after its acknowledgement. A disturbance of the
	// connections excuses a daemon for contactTime.
	const applyWithin, contactTime = 2 * time.Second, 3 * time.Second
	s := startDeployment(t, 7)
	for i := range s.daemons {
		s.waitFor("readiness", func() bool { return s.isReady(i) && len(s.resolve(i)) == len(s.daemons) })
	}
	version := 1
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		s.warmStoreConns()
		silentAt := time.Now()
		for _, l := range s.storeLinks {
			l.SilenceOpen()
		}
		<-time.After(delay)
		version++
		s.setConfig(version, "key-a")
		changedAt := time.Now()
		due := max(applyWithin, contactTime-changedAt.Sub(silentAt))
		s.waitFor("the configuration on all daemons", func() bool { return s.hasVersion(int64(version)) })
		took := time.Since(changedAt)
		t.Logf("changed %s after the silence: in effect on all daemons after %s, due after %s", delay, took, due)
		assert.Check(t, took <= due, "changed %s after the silence: in effect after %s, due after %s", delay, took, due)
	}
}
