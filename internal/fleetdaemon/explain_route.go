package fleetdaemon

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"rattantide/internal/admin"
	"rattantide/internal/bootclock"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/problem"
	"rattantide/internal/routeexplain"
)

// operatorTokenVariable is the environment variable with the token of operators. The settings file
// belongs to the platform and has no field for it.
const operatorTokenVariable = "RATTANTIDE_OPERATOR_TOKEN"

// maxExplanations is the number of explanations that are computed at the same time; others are
// refused.
const maxExplanations = 1

// routeExplainer serves explanations of routes to operators.
type routeExplainer struct {
	daemon     string
	token      string
	holder     *fleetconfig.Holder
	dispatcher *dispatch.Dispatcher
	open       chan struct{}
}

func newRouteExplainer(daemon string, holder *fleetconfig.Holder, dispatcher *dispatch.Dispatcher) *routeExplainer {
	return &routeExplainer{
		daemon: daemon, token: os.Getenv(operatorTokenVariable), holder: holder, dispatcher: dispatcher,
		open: make(chan struct{}, maxExplanations),
	}
}

// ServeHTTP implements http.Handler.
func (e *routeExplainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !admin.HasToken(r, e.token) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		problem.Write(w, problem.NewNotRun(http.StatusUnauthorized, problem.CodeUnauthorized, "the bearer token is missing or wrong"))
		return
	}
	select {
	case e.open <- struct{}{}:
		defer func() { <-e.open }()
	default:
		problem.Write(w, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeOverloaded,
			"another explanation is being computed").WithRetryAfter(time.Second))
		return
	}
	query, faults := routeexplain.ParseQuery(r.URL.Query())
	if len(faults) > 0 {
		problem.Write(w, problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest, strings.Join(faults, "; ")))
		return
	}
	explanation, p := e.explain(query)
	if p != nil {
		problem.Write(w, p)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(explanation)
}

// explain returns the explanation for a query, or the problem with it.
func (e *routeExplainer) explain(q *routeexplain.Query) (*routeexplain.Explanation, *problem.Problem) {
	config, confirmedAt := e.holder.Current()
	if config == nil {
		return nil, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeNoRoute, "no configuration yet")
	}
	route := config.Route(q.Host, q.Path)
	if route == nil {
		return nil, problem.NewNotRun(http.StatusNotFound, problem.CodeNoRoute, "host, path: no route")
	}
	urgency := route.Urgency
	if q.Workspace != "" {
		workspace := config.Workspace(q.Workspace)
		if workspace == nil {
			return nil, problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest, "workspace: no such workspace")
		}
		if workspace.Urgency != nil {
			urgency = *workspace.Urgency
		}
	}
	request := newExplainedRequest(route, q, urgency)
	found := e.dispatcher.ExplainRoute(request)
	out := &routeexplain.Explanation{
		Daemon: e.daemon, Route: route.Name, Service: request.Pool, Workspace: q.Workspace, ConfigVersion: config.Version,
		ConfigAgeMs: bootclock.Now().Sub(confirmedAt).Milliseconds(), Versions: found.Versions,
		Admission: routeexplain.Admission{
			Rule: string(found.Admission.Rule), WaitMs: found.Admission.Wait.Milliseconds(), InFlight: found.Admission.InFlight,
			Limit: found.Admission.Limit, Waiting: found.Admission.Waiting,
		},
		Candidates: make([]routeexplain.Candidate, 0, len(found.Candidates)),
	}
	for i := range found.Candidates {
		out.Candidates = append(out.Candidates, newCandidate(&found.Candidates[i]))
	}
	if found.Chosen >= 0 {
		out.Choice = found.Candidates[found.Chosen].Candidate.Name
	}
	return out, nil
}

// newExplainedRequest returns the first attempt of the request that a query describes.
func newExplainedRequest(route *fleetconfig.Route, q *routeexplain.Query, urgency int) *dispatch.Request {
	priority, now := dispatch.PriorityFromUrgency(urgency), time.Now()
	request := &dispatch.Request{
		// Of several services, the one at the middle of the shares is explained.
		Class: route.Name, Route: route.Name, Pool: route.ServiceFor(0.5), Workspace: q.Workspace, Chat: route.Kind == fleetconfig.Stream,
		Idempotent: route.Repeatable(), PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens, AcceptedAt: now, Attempt: 1, Priority: &priority,
	}
	if route.Timeout > 0 {
		request.Deadline = now.Add(route.Timeout)
	}
	return request
}

// newCandidate converts a candidate of the dispatcher.
func newCandidate(c *dispatch.ExplainedCandidate) routeexplain.Candidate {
	out := routeexplain.Candidate{
		Upstream: c.Candidate.Name, Version: c.Version, Parts: c.Parts, LoadAgeMs: -1, StateAgeMs: -1, Running: c.Candidate.Running,
		Waiting: c.Candidate.Waiting, Slots: c.Candidate.Slots, BacklogTokens: c.Candidate.BacklogTokens,
		CachedTokens: c.Candidate.CachedTokens, Gathers: c.Gathers,
	}
	if c.LoadAge >= 0 {
		out.LoadAgeMs = c.LoadAge.Milliseconds()
	}
	if c.Candidate.Slots > 0 {
		out.StateAgeMs = c.Candidate.StateAge.Milliseconds()
	}
	for _, part := range c.Parts {
		out.Score += part.Seconds
	}
	return out
}
