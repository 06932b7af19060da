package admission

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a preview that differs from what Admit then does, or that takes a slot.
func TestPreviewMatchesAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Now: func() time.Time { return now }, MaxWaiting: 1})
	c.SetUpstreams("p", 1, 0, 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	admitted := 0
	for i := range 1000 {
		r := Request{ID: string(rune('a' + i)), Workspace: "w", Class: "c", Pool: "p", Cost: 100}
		first, second := c.Preview(r), c.Preview(r)
		assert.Equal(t, first, second)
		inFlight, _, _ := c.Limit("p")
		assert.Equal(t, first.InFlight, inFlight)
		// The context has ended, so a request that must wait gives up at once.
		_, err := c.Admit(ctx, r)
		if err != nil {
			assert.Equal(t, first.Rule, RulePoolLimit)
			break
		}
		assert.Equal(t, first.Rule, RuleAdmitted)
		admitted++
	}
	assert.Assert(t, admitted > 0 && admitted < 1000, "%d", admitted)
}
