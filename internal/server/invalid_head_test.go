package server

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/intent"
	"rattantide/internal/problem"
	"rattantide/internal/responsetest"
)

// newInvalidPool returns a pool whose first upstream sends a response; sound is the second.
func newInvalidPool(t *testing.T, r responsetest.Response, sound string) *fakePool {
	pool := &fakePool{}
	pool.add("invalid", "v1", responsetest.ServeText(t, r.Text("")))
	pool.add("sound", "v1", sound)
	return pool
}

// Guards against a service's response with an invalid head that reaches a caller or ends the
// daemon's handler, although another upstream could answer.
func TestInvalidHeadOfServiceIsNoAnswer(t *testing.T) {
	for name, r := range responsetest.Invalid("false") {
		t.Run(name, func(t *testing.T) {
			service, _ := newFakeService(t, nil)
			pool := newInvalidPool(t, r, service.URL)
			h := newHarness(t, pool, nil)
			response := h.do(t, "POST", "/jobs/7", "body", "Authorization", "Bearer "+otherToken)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "POST /jobs/7 body")
			pool.mu.Lock()
			defer pool.mu.Unlock()
			assert.Equal(t, pool.results[0].Status, dispatch.StatusError)
		})
	}
}

// Guards against an order that ran and is repeated, or is reported as answered or not run,
// after a response with an invalid head.
func TestInvalidHeadOfOrderIsUnknown(t *testing.T) {
	for name, r := range responsetest.Invalid("false") {
		t.Run(name, func(t *testing.T) {
			service, calls := newFakeService(t, nil)
			h := newHarness(t, newInvalidPool(t, r, service.URL), nil)
			for _, status := range []int{http.StatusBadGateway, http.StatusConflict} {
				response := h.do(t, "POST", "/orders/dies", "two", "Idempotency-Key", "k")
				assert.Equal(t, response.StatusCode, status)
				assert.Equal(t, problemOf(t, response).Execution, problem.ExecutionUnknown)
			}
			assert.Equal(t, h.intents.outcomes["k"].Execution, intent.ExecutionUnknown)
			assert.Equal(t, calls.Load(), int64(0))
		})
	}
}

// troubleEvents returns the events of an engine's answer to streamBody.
func troubleEvents() string {
	var events strings.Builder
	for i := 1; i <= answerSize; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Trouble \"},\"finish_reason\":null}]}\n\n", i)
	}
	fmt.Fprintf(&events, "id: %d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", answerSize+1)
	return events.String() + "data: [DONE]\n\n"
}

// Guards against an engine's events after an invalid head that reach a caller.
func TestInvalidHeadOfEngineIsNoAnswer(t *testing.T) {
	for name, r := range responsetest.Invalid(troubleEvents()) {
		t.Run(name, func(t *testing.T) {
			pool := newInvalidPool(t, r, newFakeEngine(t, "v1", nil).URL)
			h := newHarness(t, pool, nil)
			response := h.do(t, "POST", "/v1/chat/completions", streamBody)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Assert(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), string(body))
			assert.Assert(t, !strings.Contains(string(body), "Trouble"), string(body))
			pool.mu.Lock()
			defer pool.mu.Unlock()
			assert.Equal(t, pool.results[0].Status, dispatch.StatusError)
		})
	}
}

// Guards against a response of another daemon with an invalid head that reaches a caller.
func TestInvalidHeadOfHelperIsUnknown(t *testing.T) {
	for name, r := range responsetest.Invalid("false") {
		t.Run(name, func(t *testing.T) {
			h := newLostHarnessAt(t, responsetest.ServeText(t, r.Text("")))
			response := h.do(t, "POST", "/orders/dies", "two")
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			assert.Equal(t, problemOf(t, response).Execution, problem.ExecutionUnknown)
		})
	}
}

// Guards against an unusual head that is taken for an invalid one.
func TestUnusualHeadIsAccepted(t *testing.T) {
	service, _ := newFakeService(t, nil)
	for name, r := range responsetest.Sound("whole") {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newInvalidPool(t, r, service.URL), nil)
			response := h.do(t, "GET", "/orders/dies", "")
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "whole")
		})
	}
	engine := newFakeEngine(t, "v1", func(_ int, c *engineCall) { c.refuse(http.StatusInternalServerError) })
	for name, r := range responsetest.Sound(troubleEvents()) {
		t.Run("engine, "+name, func(t *testing.T) {
			h := newHarness(t, newInvalidPool(t, r, engine.URL), nil)
			response := h.do(t, "POST", "/v1/chat/completions", streamBody)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(body), "Trouble"), answerSize)
		})
	}
}
