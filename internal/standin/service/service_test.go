package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/service"
)

// Guards against a log that does not match what was executed: each fault must
// take effect before or after the execution, as its name states.
func TestFaultsApplyBeforeOrAfterExecution(t *testing.T) {
	for _, c := range []struct {
		faults   string
		status   int
		executed int
	}{
		{`{}`, 200, 1},
		{`{"failBefore":1}`, 500, 0},
		{`{"failAfter":1}`, 500, 1},
		{`{"closeBefore":1}`, 0, 0},
		{`{"closeAfter":1}`, 0, 1},
		{`{"draining":true}`, 503, 0},
		{`{"failBefore":-1,"onlyPath":"/pots"}`, 200, 1},
		{`{"failBefore":-1,"aboveLoad":1}`, 200, 1},
	} {
		s := service.New(service.Config{Version: "v1"})
		server := httptest.NewServer(s)
		res, err := http.Post(server.URL+"/control/faults", "application/json", strings.NewReader(c.faults))
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, 200)
		req, err := http.NewRequest(http.MethodPost, server.URL+"/dies/orders", strings.NewReader(`{"die":1}`))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k1")
		status := 0
		if res, err = http.DefaultClient.Do(req); err == nil {
			status = res.StatusCode
			res.Body.Close()
		}
		assert.Equal(t, status, c.status, c.faults)
		executed := 0
		for _, entry := range s.Log().Entries(0) {
			if entry.Event == "executed" {
				executed++
				assert.Equal(t, entry.Key, "k1")
			}
		}
		assert.Equal(t, executed, c.executed, c.faults)
		server.Close()
	}
}
