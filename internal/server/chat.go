package server

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/api"
	"rattantide/internal/callerbody"
	"rattantide/internal/configsync"
	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// transientRetryAfter is the Retry-After delay after a failure that is expected to be
// short: the memory for requests is exhausted, an intent could not be recorded, or the
// holder of the request is unknown or unreachable.
const transientRetryAfter = time.Second

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.idle.add(1)
	defer s.idle.add(-1)
	id, p := requestID(r)
	if p != nil {
		callerbody.LeaveUnread(w, r)
		s.refuse(w, p)
		return
	}
	workspaceName, workspace, p := s.authenticateWorkspace(r)
	if p != nil {
		callerbody.LeaveUnread(w, r)
		s.refuse(w, p.WithRequestID(id))
		return
	}
	if s.isDraining() {
		s.writeLeaving(w, r, workspaceName, id)
		return
	}
	body, release, p := s.readBody(w, r, workspaceName, time.Time{})
	if p != nil {
		s.refuse(w, p.WithRequestID(id))
		return
	}
	if s.isPathLost(s.chatPool(body)) {
		defer release()
		s.forward(w, r, outgoingRequest{id: id, body: body})
		return
	}
	rec, p := s.accept(id, workspaceName, workspace, body)
	release()
	if p != nil {
		s.refuse(w, p.WithRequestID(id))
		return
	}
	s.metrics.accepted.Inc(1)
	rec.Attach()
	s.Start(rec)
	if s.options.Handoff != nil {
		s.options.Handoff.OnAccepted(rec)
	}
	defer s.detach(rec)
	s.writeAnswer(s.newCallerStream(w, r), r, rec, rec.Stream, 0)
}

// chatPool returns the pool of a chat completion, or "" if the body or the model is invalid.
func (s *Server) chatPool(body []byte) string {
	if !s.isAnyPathLost() {
		return ""
	}
	q, p := parseChat(body)
	if p != nil {
		return ""
	}
	_, route := s.options.Config.Snapshot().RouteForModel(q.Model)
	if route == nil {
		return ""
	}
	return route.Pool
}

// accept validates a chat completion and creates its record in the journal.
func (s *Server) accept(id, workspaceName string, workspace *api.Workspace, body []byte) (*journal.Record, *problem.Problem) {
	q, p := parseChat(body)
	if p != nil {
		return nil, p
	}
	view := s.options.Config.Snapshot()
	routeName, route := view.RouteForModel(q.Model)
	class, p := checkRoute(view, route, workspace, api.PoolChat)
	if p != nil {
		return nil, p
	}
	engineBody, seed, err := q.engineBody(body)
	if err != nil {
		return nil, problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest, "the body cannot be encoded again")
	}
	prompt := analyzePrompt(q)
	now := time.Now()
	rec, err := s.options.Journal.Create(journal.Request{
		ID: id, Workspace: workspaceName, Class: route.Class, Route: routeName, Pool: route.Pool, Model: q.Model,
		Body: engineBody, Seed: seed, PromptTokens: prompt.tokens, MaxTokens: q.maxTokens(), Blocks: prompt.blocks,
		Fingerprint: prompt.fingerprint, Stream: q.wantsStream(),
		AcceptedAt: now, Deadline: now.Add(class.Deadline.AsDuration()),
	})
	switch {
	case errors.Is(err, journal.ErrExists):
		// The caller may have sent the same request before, and it may have run.
		return nil, problem.NewExecutionUnknown(http.StatusConflict, problem.CodeDuplicateRequest,
			"a request with this identifier is held; ask for it under /v1/requests/")
	case err != nil:
		return nil, memoryExhaustedProblem()
	}
	return rec, nil
}

// checkRoute returns the class of a route, or a problem if the route does not
// lead to a pool of type poolType or the workspace may not use its class.
func checkRoute(view *configsync.View, route *api.Route, workspace *api.Workspace, poolType api.PoolType) (*api.Class, *problem.Problem) {
	if route == nil {
		return nil, problem.NewNotRun(http.StatusNotFound, problem.CodeNoRoute, "no route takes this model or path")
	}
	class, pool := view.Classes[route.Class], view.Pools[route.Pool]
	if class == nil || pool == nil || pool.Type != poolType {
		return nil, problem.NewNotRun(http.StatusNotFound, problem.CodeNoRoute, "the route has no class or no pool of this type")
	}
	if !workspace.Allows(route.Class) {
		return nil, problem.NewNotRun(http.StatusForbidden, problem.CodeForbidden, "the workspace may not use this class")
	}
	return class, nil
}
