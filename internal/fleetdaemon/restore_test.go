package fleetdaemon

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/platformstore"
)

// configBound is the time in which a configuration must be in effect, with allowance for a
// busy machine.
const configBound = 6 * time.Second

// accepts reports whether all daemons accept a key.
func (s *deployment) accepts(key string) bool {
	for _, d := range s.daemons {
		if s.requestStatus(d.settings.CallerAddress, "/x/1", key) != http.StatusOK {
			return false
		}
	}
	return true
}

// Guards against daemons that refuse all requests, miss a change or go back to an older
// configuration after the store came back from a copy and gave revisions out again.
func TestConfigurationAfterRestore(t *testing.T) {
	for _, revisions := range []string{"lower", "equal"} {
		t.Run(revisions, func(t *testing.T) {
			s := startDeployment(t, 3)
			for i := range s.daemons {
				s.waitFor("readiness", func() bool { return s.isReady(i) && len(s.resolve(i)) == len(s.daemons) })
			}
			backup := s.store.Backup()
			for range 20 {
				s.store.Set("other", "filler", time.Now().UnixNano())
			}
			s.setConfig(3, "key-a", "key-3")
			lost := s.store.Object("config", "main").Metadata.Revision
			s.waitFor("version 3", func() bool { return s.accepts("key-3") })
			s.store.SetFaults(platformstore.Faults{Status: http.StatusServiceUnavailable})
			s.waitFor("failing reads", func() bool {
				return slices.ContainsFunc(s.daemons, func(d *Daemon) bool { return d.config.IsStoreFailing() })
			})
			s.store.Restore(backup)
			s.store.SetFaults(platformstore.Faults{})
			// The operator writes the newest version again.
			s.setConfig(3, "key-a", "key-3")
			for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				assert.Assert(t, s.accepts("key-a"), "a request is refused %s before the end", time.Until(until))
				assert.Assert(t, s.accepts("key-3"), "an older configuration is in effect")
			}
			for revisions == "equal" && s.store.Revision() < lost-1 {
				s.store.Set("other", "filler", time.Now().UnixNano())
			}
			s.setConfig(5, "key-a", "key-5")
			changedAt := time.Now()
			s.waitFor("version 5", func() bool {
				return s.accepts("key-5") || time.Since(changedAt) > configBound
			})
			assert.Assert(t, s.accepts("key-5"), "version 5 is not in effect after %s", configBound)
			assert.Assert(t, !s.accepts("key-3"), "a key that was removed is accepted")
		})
	}
}
