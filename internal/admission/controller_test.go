package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/problem"
)

// Guards against concurrency slots that leak when callers give up or deadlines
// pass, and against an explanation that does not name the rule in effect.
func TestControllerAdmitAndExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{})
		c.pool("p").limit.value = 1
		request := func(id, workspace, class string, priority int) Request {
			return Request{ID: id, Workspace: workspace, Class: class, Pool: "p", Priority: priority, Deadline: time.Now().Add(time.Minute)}
		}
		release, err := c.Admit(context.Background(), request("first", "a", "c", 5))
		assert.NilError(t, err)
		results := make(chan error, 10)
		wait := func(ctx context.Context, r Request) {
			go func() {
				release, err := c.Admit(ctx, r)
				if err == nil {
					release(Outcome{})
				}
				results <- err
			}()
			synctest.Wait()
		}
		rule := func(id string) Rule {
			e, ok := c.Explain(id)
			assert.Assert(t, ok)
			assert.Assert(t, e.Detail != "")
			return e.Rule
		}
		canceledCtx, cancel := context.WithCancel(context.Background())
		wait(canceledCtx, request("a1", "a", "c", 5))
		wait(context.Background(), request("a2", "a", "c", 5))
		wait(context.Background(), request("b1", "b", "c", 5))
		assert.Equal(t, rule("first"), RuleAdmitted)
		assert.Equal(t, rule("a1"), RulePoolLimit)
		assert.Equal(t, rule("a2"), RuleWorkspaceQueue)
		assert.Equal(t, rule("b1"), RuleFairness)
		wait(context.Background(), request("h1", "b", "high", 9))
		assert.Equal(t, rule("a1"), RulePriority)
		cancel()
		var p *problem.Problem
		assert.Assert(t, errors.As(<-results, &p))
		assert.Equal(t, p.Execution, problem.ExecutionNotRun)
		assert.Equal(t, rule("a1"), RuleCallerGaveUp)
		release(Outcome{})
		release(Outcome{})
		for range 3 {
			assert.NilError(t, <-results)
		}
		inFlight, _, waiting := c.Limit("p")
		assert.Equal(t, inFlight, 0)
		assert.Equal(t, waiting, 0)

		// No slot is released: the waiting request is shed at its deadline.
		_, err = c.Admit(context.Background(), request("hold", "a", "c", 5))
		assert.NilError(t, err)
		_, err = c.Admit(context.Background(), request("late", "a", "c", 5))
		assert.Assert(t, errors.As(err, &p))
		assert.Equal(t, p.Code, problem.CodeOverloaded)
		assert.Assert(t, p.RetryAfterMs >= 1000)
		assert.Equal(t, rule("late"), RuleShed)
	})
}
