package instances_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/instances"
)

// Guards against a lagging or frozen list that contains changes too early.
func TestLagAndFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := instances.New()
		names := func() (out []string) {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest("GET", "/v1/instances", nil))
			var list instances.List
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &list))
			for _, i := range list.Instances {
				out = append(out, i.Name+" "+i.State)
			}
			return out
		}
		s.Faults().Update(func(f *instances.Faults) { f.LagMs = 1000 })
		s.Set(instances.Instance{Name: "b"})
		assert.DeepEqual(t, names(), []string(nil))
		time.Sleep(time.Second)
		s.Set(instances.Instance{Name: "a", State: "leaving"})
		assert.DeepEqual(t, names(), []string{"b live"})
		s.Faults().Update(func(f *instances.Faults) { f.Frozen, f.LagMs = true, 0 })
		time.Sleep(time.Second)
		assert.DeepEqual(t, names(), []string{"b live"})
		s.Faults().Update(func(f *instances.Faults) { f.Frozen = false })
		assert.DeepEqual(t, names(), []string{"a leaving", "b live"})
		s.Remove("b")
		assert.DeepEqual(t, names(), []string{"a leaving"})
	})
}
