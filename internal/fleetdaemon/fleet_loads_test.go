package fleetdaemon

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// metric returns the value of a metric of a daemon, or "" if it does not report it.
func (s *deployment) metric(i int, name string) string {
	response, err := http.Get("http://" + s.daemons[i].metricsListener.Addr().String() + "/metrics")
	assert.NilError(s.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	match := regexp.MustCompile(`(?m)^rattantide_` + name + `(?:{[^}]*})? (\S+)$`).FindSubmatch(text)
	if match == nil {
		return ""
	}
	return string(match[1])
}

// Guards against daemons that do not learn of the demand at the others, over real sockets,
// also after the loss of a collector.
func TestFleetLoadsReachAllDaemons(t *testing.T) {
	const daemons = 3
	s := startDeploymentWith(t, daemons, Features{AdmitByPriority: true})
	for i := range s.daemons {
		s.waitFor("readiness", func() bool { return s.isReady(i) && len(s.resolve(i)) == daemons })
	}
	hasSums := func(skipped int) func() bool {
		before := make([]string, daemons)
		for i := range before {
			if i != skipped {
				before[i] = s.metric(i, "fleetload_sums_applied")
			}
		}
		return func() bool {
			hasAll := true
			for i := range s.daemons {
				if i == skipped {
					continue
				}
				s.requestStatus(s.daemons[i].settings.CallerAddress, fmt.Sprint("/x/", i), "key-a")
				after := s.metric(i, "fleetload_sums_applied")
				hasAll = hasAll && after != "" && after != before[i]
			}
			time.Sleep(20 * time.Millisecond)
			return hasAll
		}
	}
	s.waitFor("sums at all daemons", hasSums(-1))
	collector := 0
	for i, d := range s.daemons {
		if d.settings.Name == s.daemons[0].collectors()[0] {
			collector = i
		}
	}
	s.stopDaemon(collector)
	s.waitFor("sums without the first collector", hasSums(collector))
}
