package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/runner"
)

// Guards against requests that reach upstreams, use up quota or invite a repeat although a
// part of their prompts crashes upstreams, and against others that are refused with them.
func TestQuarantinedPart(t *testing.T) {
	f := newFixture(t)
	f.runners[0].Events, f.runners[1].Events = 3, 3
	sound := func() {
		status, _, _, err := f.call("/resume/1", "body", "X-Prompt-Prefix", "5:10,900d:10,9:1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	sound()
	f.advance(2500 * time.Millisecond)
	f.runners[0].SetFault(runner.FaultReset, -1)
	f.runners[1].SetFault(runner.FaultReset, -1)
	for i := range 4 {
		f.holder.Confirm(7, f.bootNow())
		status, _, _, err := f.call("/resume/1", "body", "X-Prompt-Prefix", fmt.Sprintf("5:10,bad:10,%x:1", i))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway, "request %d", i)
		f.advance(2500 * time.Millisecond)
	}
	f.runners[0].SetFault(runner.FaultNone, 0)
	f.runners[1].SetFault(runner.FaultNone, 0)
	f.holder.Confirm(7, f.bootNow())
	sound()
	ran, charged := f.runCount(), f.quota.charged
	for _, path := range []string{"/resume/1", "/stream/1"} {
		status, _, header, err := f.call(path, "body", "X-Prompt-Prefix", "6:10,bad:10,8:1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusUnprocessableEntity)
		assert.Equal(t, header.Get("Retry-After"), "")
	}
	assert.Equal(t, f.runCount(), ran)
	assert.Equal(t, f.quota.charged, charged)
	// The last part of a prompt belongs to its request.
	status, _, _, err := f.call("/resume/1", "body", "X-Prompt-Prefix", "6:10,bad:10")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}
