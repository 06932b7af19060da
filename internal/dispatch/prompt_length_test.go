package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/routing"
)

// slotsPolicy sets the slots of the candidates, and records whether the view of prompts is on.
type slotsPolicy struct {
	on, off int
}

func (p *slotsPolicy) Pick(req *routing.Request, candidates []routing.Candidate) int {
	for i := range candidates {
		candidates[i].Slots = 16
	}
	if req.Prompts.IsOn() {
		p.on++
	} else {
		p.off++
	}
	return int(req.Rand % uint64(len(candidates)))
}

// Guards against a dispatcher that does not pass the classes and prompts to the mix, or that
// does so for a pool whose prompts do not differ or without Options.Prompts.
func TestPromptLengthsReachThePolicy(t *testing.T) {
	for name, c := range map[string]struct {
		prompts    *routing.PromptMixes
		longTokens int
		isOn       bool
	}{
		"differ":  {prompts: &routing.PromptMixes{}, longTokens: 20_000, isOn: true},
		"alike":   {prompts: &routing.PromptMixes{}, longTokens: 600},
		"not set": {longTokens: 20_000},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, -1)
			f.apply(t, 4, api.KindClass, "long", api.Class{Target: api.Target{FirstToken: api.Duration(2 * time.Second)}}, nil)
			policy, now := &slotsPolicy{}, time.Now()
			f.Dispatcher = New(Options{
				Config: f.config, Table: f.table, Policy: policy, Prompts: c.prompts,
				PauseTarget: func(string) time.Duration { return 400 * time.Millisecond },
				Now:         func() time.Time { now = now.Add(20 * time.Millisecond); return now },
			})
			for i := range 200 {
				r := f.request(fmt.Sprint(i), 1)
				r.PromptTokens, r.Deadline, r.Fingerprint = 500, time.Time{}, 0
				if i%5 == 0 {
					r.Class, r.PromptTokens = "long", c.longTokens
				}
				choice, err := f.Choose(context.Background(), r)
				assert.NilError(t, err)
				choice.Done(Result{Status: StatusOK})
			}
			if c.isOn {
				assert.Assert(t, policy.on > 100, "%d of 200", policy.on)
				return
			}
			assert.Equal(t, policy.on, 0)
		})
	}
}
