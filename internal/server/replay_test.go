package server

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/intent"
	"rattantide/internal/problem"
)

// Guards against a recorded outcome with an invalid status, as earlier versions have recorded it,
// that ends the daemon's handler or reaches a caller.
func TestOutcomeWithInvalidStatusIsUnknown(t *testing.T) {
	for _, status := range []int{0, 99, 101, 103, 600, 1000} {
		h := newHarness(t, &fakePool{}, nil)
		h.intents.outcomes["k"] = intent.Outcome{Execution: intent.ExecutionDone, Status: status, Body: []byte("false")}
		response := h.do(t, "POST", "/orders/dies", "two", "Idempotency-Key", "k")
		assert.Equal(t, response.StatusCode, http.StatusConflict, "status %d", status)
		assert.Equal(t, problemOf(t, response).Execution, problem.ExecutionUnknown)
	}
}
