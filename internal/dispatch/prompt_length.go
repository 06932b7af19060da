package dispatch

import (
	"rattantide/internal/api"
	"rattantide/internal/routing"
)

// promptClass returns the class of an attempt as routing.PromptDelay needs it. The caller of a
// resumed answer waits for its next part, to which the pause target applies.
func (d *Dispatcher) promptClass(class *api.Class, r *Request) routing.PromptClass {
	c := routing.PromptClass{Name: r.Class, FirstTarget: admissionRequest(class, r).FirstTarget}
	if d.opts.PauseTarget != nil {
		c.PauseTarget = d.opts.PauseTarget(r.Class)
	}
	if r.ResumedTokens > 0 && c.PauseTarget > 0 {
		c.FirstTarget = c.PauseTarget
	}
	return c
}

// pick returns the index of the candidate that the policy chooses for an attempt, and records
// the length of the prompt.
func (d *Dispatcher) pick(class *api.Class, r *Request, req *routing.Request, candidates []routing.Candidate) int {
	if d.opts.Prompts == nil || req.PromptTokens <= 0 {
		return d.opts.Policy.Pick(req, candidates)
	}
	promptClass, mix := d.promptClass(class, r), d.opts.Prompts.Pool(r.Pool)
	req.Prompts = mix.View(&promptClass, req, candidates)
	index := d.opts.Policy.Pick(req, candidates)
	mix.Observe(&promptClass, req, candidates, index)
	return index
}
