package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/admission"
	"rattantide/internal/api"
	"rattantide/internal/membership"
	"rattantide/internal/routing"
)

// Guards against an explanation that changes what later requests get: the same requests are sent
// to two dispatchers, one of which explains each request before and after it.
func TestExplanationsChangeNothing(t *testing.T) {
	run := func(explains bool) (upstreams []string, inFlight int) {
		f := newFixture(t, 0.3)
		f.apply(t, 4, api.KindClass, "long", api.Class{Target: api.Target{FirstToken: api.Duration(2 * time.Second)}}, nil)
		now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
		clock := func() time.Time { return now }
		policy := routing.NewCost()
		policy.Terms = append(policy.Terms, routing.PromptDelay)
		control := admission.New(admission.Options{Now: clock, LimitWork: true})
		f.Dispatcher = New(Options{
			Config: f.config, Table: f.table, Policy: policy, Prompts: &routing.PromptMixes{}, Admission: control,
			EnforceFirstTarget: true, Now: clock, Rand: random.Uint64,
		})
		var open []*Choice
		for i := range 300 {
			now = now.Add(15 * time.Millisecond)
			f.table.upstreams[i%6].Load = &membership.Load{Running: i % 5, Waiting: i % 2, ReceivedAt: now}
			r := f.request(fmt.Sprint(i), 1)
			r.AcceptedAt, r.Deadline, r.Fingerprint, r.PromptTokens = now, now.Add(time.Minute), 0, 300
			r.Blocks = []uint64{4, 8, uint64(i%7) * 12}
			if i%4 == 0 {
				r.Class, r.PromptTokens = "long", 20_000
			}
			if explains {
				f.ExplainRoute(r)
				unknown := *r
				unknown.Pool, unknown.Class, unknown.Workspace = "other", "other", "other"
				assert.Assert(t, f.ExplainRoute(&unknown).Chosen >= 0)
			}
			choice, err := f.Choose(context.Background(), r)
			if err != nil {
				upstreams = append(upstreams, err.Error())
				continue
			}
			upstreams, open = append(upstreams, choice.Upstream.Name), append(open, choice)
			if explains {
				f.ExplainRoute(r)
			}
			if len(open) > 8 {
				open[0].Done(Result{Status: StatusOK, FirstToken: time.Duration(50+i) * time.Millisecond, Total: time.Second})
				open = open[1:]
			}
		}
		inFlight, _, _ = control.Limit("p")
		assert.Assert(t, f.opts.Prompts.Lookup("other") == nil)
		return upstreams, inFlight
	}
	upstreams, inFlight := run(false)
	explained, inFlightExplained := run(true)
	assert.DeepEqual(t, explained, upstreams)
	assert.Equal(t, inFlightExplained, inFlight)
}

// Guards against scores in an explanation that are not those by which the policy chooses.
func TestExplainedScoresAreThoseOfThePolicy(t *testing.T) {
	f := newFixture(t, -1)
	for i := range f.table.upstreams {
		f.table.upstreams[i].Load = &membership.Load{Running: i, ReceivedAt: time.Now()}
	}
	e := f.ExplainRoute(f.request("a", 1))
	// The fixture's pool is of version v1.
	assert.Equal(t, len(e.Candidates), 3)
	assert.DeepEqual(t, e.Versions, []string{"v1"})
	assert.Equal(t, e.Admission.Rule, admission.RuleAdmitted)
	assert.Assert(t, e.Chosen >= 0)
	req := &routing.Request{PromptTokens: 100, MaxTokens: 50, Now: time.Now()}
	for i := range e.Candidates {
		c := &e.Candidates[i]
		sum := 0.0
		for _, part := range c.Parts {
			sum += part.Seconds
		}
		score := routing.NewCost().Score(req, &c.Candidate)
		assert.Assert(t, sum > score-1e-9 && sum < score+1e-9, "%v, %v", sum, score)
		assert.Assert(t, c.LoadAge >= 0)
		assert.Equal(t, c.Candidate.Running, float64(2*i))
	}
}
