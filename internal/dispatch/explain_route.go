package dispatch

import (
	"time"

	"rattantide/internal/admission"
	"rattantide/internal/api"
	"rattantide/internal/routing"
)

// maxExplained bounds the candidates of an explanation, and with them its cost.
const maxExplained = 256

// RouteExplanation is what would happen to the first attempt of a request at this moment.
type RouteExplanation struct {
	// Versions are the versions that may serve the request, the preferred one first; empty
	// means any.
	Versions  []string
	Admission admission.Preview
	// Candidates are the usable upstreams, at most maxExplained, and Chosen is the index of the
	// one that the policy picks, or -1. Among about equal ones, an attempt may pick another.
	Candidates []ExplainedCandidate
	Chosen     int
}

// ExplainedCandidate is a candidate with the parts of its score.
type ExplainedCandidate struct {
	Candidate routing.Candidate
	Version   string
	// Gathers reports whether long prompts gather at the upstream.
	Gathers bool
	Parts   []routing.ScorePart
	// LoadAge is the age of the latest load report of the upstream to this daemon; it is
	// negative if there is none.
	LoadAge time.Duration
}

// ExplainRoute returns what would happen to the first attempt of a request. It sends nothing
// and changes no state.
func (d *Dispatcher) ExplainRoute(r *Request) *RouteExplanation {
	view := d.opts.Config.Snapshot()
	class := view.Classes[r.Class]
	if class == nil {
		class = &api.Class{}
	}
	out := &RouteExplanation{Admission: d.opts.Admission.Preview(d.targetedRequest(class, r)), Chosen: -1}
	preference := versionPreferenceFor(view, d.opts.Moves, r)
	for _, version := range []string{preference.preferred, preference.fallback} {
		if version != "" {
			out.Versions = append(out.Versions, version)
		}
	}
	upstreams := usableUpstreams(view, preference, r, d.opts.Table.Upstreams(r.Pool))
	upstreams = upstreams[:min(len(upstreams), maxExplained)]
	if len(upstreams) == 0 {
		return out
	}
	now := d.opts.Now()
	req := routingRequest(r, r.Fingerprint, now)
	candidates := d.opts.Trackers.Peek(r.Pool, req, upstreams)
	if d.opts.Prompts != nil && req.PromptTokens > 0 {
		if mix := d.opts.Prompts.Lookup(r.Pool); mix != nil {
			promptClass := d.promptClass(class, r)
			req.Prompts = mix.View(&promptClass, req, candidates)
		}
	}
	out.Chosen = d.opts.Policy.Pick(req, candidates)
	cost, _ := d.opts.Policy.(*routing.Cost)
	for i := range candidates {
		e := ExplainedCandidate{Candidate: candidates[i], Version: upstreams[i].Version, Gathers: req.Prompts.Gathers(&candidates[i]), LoadAge: -1}
		if cost != nil {
			e.Parts = cost.ScoreParts(req, &candidates[i])
		}
		if load := upstreams[i].Load; load != nil {
			e.LoadAge = now.Sub(load.ReceivedAt) + time.Duration(load.AgeMs)*time.Millisecond
		}
		out.Candidates = append(out.Candidates, e)
	}
	return out
}
