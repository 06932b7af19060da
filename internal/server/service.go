package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/api"
	"rattantide/internal/dispatch"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// serviceCall is a call to a plain service.
type serviceCall struct {
	id        string
	workspace string
	routeName string
	route     *api.Route
	class     *api.Class
	request   *http.Request
	body      []byte
	// key identifies the call if it must run at most once.
	key string
	// once says that the call must run at most once.
	once     bool
	accepted time.Time
	deadline time.Time
	attempt  int
	exclude  []string
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.idle.add(1)
	defer s.idle.add(-1)
	c, workspace, p := s.newServiceCall(r)
	if p != nil {
		s.refuse(w, p)
		return
	}
	if s.isDraining() {
		s.writeLeaving(w, r, workspace, c.id)
		return
	}
	body, release, p := s.readBody(w, r)
	if p != nil {
		s.refuse(w, p.WithRequestID(c.id))
		return
	}
	defer release()
	c.body = body
	s.metrics.accepted.Inc(1)
	w.Header().Set("X-Request-Id", c.id)
	if c.once {
		s.atMostOnce(w, c)
	} else {
		s.repeatable(w, c)
	}
}

// runsOnce reports whether a call must run at most once: the class is not
// idempotent, or the caller sent an idempotency key. Safe methods change
// nothing by definition, so look-ups work without the object API.
func runsOnce(class *api.Class, r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return !class.IsIdempotent() || r.Header.Get("Idempotency-Key") != ""
}

func (s *Server) newServiceCall(r *http.Request) (*serviceCall, string, *problem.Problem) {
	id, p := requestID(r)
	if p != nil {
		return nil, "", p
	}
	name, workspace, p := s.workspace(r)
	if p != nil {
		return nil, "", p.WithRequestID(id)
	}
	prefix, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	view := s.options.Config.Snapshot()
	routeName, route := view.RouteForPrefix(prefix)
	class, p := checkRoute(view, route, workspace, api.PoolService)
	if p != nil {
		return nil, "", p.WithRequestID(id)
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > maxKeyBytes {
		return nil, "", problem.NotRun(http.StatusBadRequest, problem.CodeBadRequest, "Idempotency-Key is too long").WithRequestID(id)
	}
	if key == "" {
		key = id
	}
	now := time.Now()
	return &serviceCall{
		id: id, workspace: name, routeName: routeName, route: route, class: class, request: r, key: key,
		once:     runsOnce(class, r),
		accepted: now, deadline: now.Add(class.Deadline.D()),
	}, name, nil
}

// choose returns the upstream for the call's next attempt.
func (s *Server) chooseService(ctx context.Context, c *serviceCall) (*dispatch.Choice, error) {
	c.attempt++
	return s.options.Chooser.Choose(ctx, &dispatch.Request{
		ID: c.id, Workspace: c.workspace, Class: c.route.Class, Route: c.routeName, Pool: c.route.Pool,
		Idempotent: !c.once, AcceptedAt: c.accepted, Deadline: c.deadline,
		Attempt: c.attempt, Exclude: c.exclude,
	})
}

// repeatable runs a call that may run more than once: while nothing was
// answered, it is tried on other upstreams.
func (s *Server) repeatable(w http.ResponseWriter, c *serviceCall) {
	ctx, cancel := context.WithDeadlineCause(c.request.Context(), c.deadline, errDeadline)
	defer cancel()
	ran := false
	for {
		choice, err := s.chooseService(ctx, c)
		if err != nil {
			s.failService(w, c, serviceProblem(ctx, err, ran))
			return
		}
		answer := s.callService(ctx, s.repeated, c, choice)
		if answer.response != nil {
			s.passOn(w, c, answer, nil)
			return
		}
		answer.close(dispatch.Result{Draining: answer.draining})
		ran = ran || !answer.notRun
		c.exclude = append(c.exclude, choice.Upstream.Name)
		if c.attempt >= s.options.MaxAttempts || ctx.Err() != nil {
			s.failService(w, c, serviceProblem(ctx, answer.err, ran))
			return
		}
	}
}

// passOn answers with the upstream's response. head is what was already read of
// its body.
func (s *Server) passOn(w http.ResponseWriter, c *serviceCall, answer *serviceAnswer, head []byte) {
	copyHeader(w.Header(), answer.response.Header)
	w.Header().Set("X-Request-Id", c.id)
	w.WriteHeader(answer.response.StatusCode)
	rest := &answerBody{source: answer.response.Body}
	err := copyFlushing(w, io.MultiReader(bytes.NewReader(head), rest), s.options.CallerWrite)
	status := dispatch.StatusOK
	switch {
	case rest.failed != nil:
		status = dispatch.StatusCrash
	case err != nil:
		status = dispatch.StatusCanceled
	case answer.response.StatusCode >= 500:
		status = dispatch.StatusError
	}
	s.endedService(c, &answer.choice.Upstream, status == dispatch.StatusOK, nil)
	answer.close(dispatch.Result{Status: status})
	if err != nil {
		// Ending the response normally would make a part look like the whole.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) failService(w http.ResponseWriter, c *serviceCall, p *problem.Problem) {
	s.metrics.refused(p.Code)
	s.options.Logger.Warn("call failed", "request", c.id, "attempt", c.attempt, "workspace", c.workspace,
		"class", c.route.Class, "route", c.routeName, "code", p.Code, "ran", p.Ran)
	if !isCallersFault(p) {
		s.endedService(c, nil, false, p)
	}
	problem.Write(w, p.WithRequestID(c.id))
}

// isCallersFault reports whether a call was refused for what the caller sent. Such
// a refusal spends no service-level budget.
func isCallersFault(p *problem.Problem) bool {
	switch p.Code {
	case problem.CodeBadRequest, problem.CodeTooLarge, problem.CodeKeyReused, problem.CodeQuarantined:
		return true
	}
	return false
}

// endedService reports the end of a call; upstream is nil when none answered.
func (s *Server) endedService(c *serviceCall, upstream *membership.Upstream, ok bool, p *problem.Problem) {
	e := Ended{
		RequestID: c.id, Workspace: c.workspace, Class: c.route.Class, Route: c.routeName,
		OK: ok, Shed: isShed(p), Total: time.Since(c.accepted),
	}
	if upstream != nil {
		e.Version, e.Domain, e.Upstream = upstream.Version, upstream.Domain, upstream.Name
	}
	s.ended(e)
}

// serviceProblem describes the end of a call without an answer.
func serviceProblem(ctx context.Context, err error, ran bool) *problem.Problem {
	var p *problem.Problem
	switch {
	case errors.As(err, &p):
		copied := *p
		p = &copied
	case errors.Is(context.Cause(ctx), errDeadline):
		p = problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, "the deadline of the class passed")
	default:
		p = problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "no upstream answered")
	}
	p.Ran = problem.RanNotRun
	if ran {
		p.Ran = problem.RanUnknown
	}
	return p
}
