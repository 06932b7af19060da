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
	"rattantide/internal/callerbody"
	"rattantide/internal/dispatch"
	"rattantide/internal/framing"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// serviceCall is a call to a plain service, with its attempts so far.
type serviceCall struct {
	id        string
	workspace string
	routeName string
	route     *api.Route
	class     *api.Class
	request   *http.Request
	body      []byte
	// key is the idempotency key, or the request identifier if the caller sent
	// no key.
	key string
	// atMostOnce is true if the call must run at most once.
	atMostOnce bool
	accepted   time.Time
	deadline   time.Time
	attempt    int
	excluded   []string
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.idle.add(1)
	defer s.idle.add(-1)
	c, workspace, p := s.newServiceCall(r)
	if p != nil {
		callerbody.LeaveUnread(w, r)
		s.refuse(w, p)
		return
	}
	if s.isDraining() {
		s.writeLeaving(w, r, workspace, c.id)
		return
	}
	body, release, p := s.readBody(w, r, workspace, c.deadline)
	if p != nil {
		s.refuse(w, p.WithRequestID(c.id))
		return
	}
	defer release()
	if s.isPathLost(c.route.Pool) {
		s.forward(w, r, outgoingRequest{id: c.id, body: body})
		return
	}
	c.body = body
	s.metrics.accepted.Inc(1)
	w.Header().Set("X-Request-Id", c.id)
	if c.atMostOnce {
		s.serveAtMostOnce(w, c)
	} else {
		s.serveRepeatable(w, c)
	}
}

// mustRunAtMostOnce reports whether a call must run at most once: its class is not
// idempotent, or the caller sent an idempotency key. Safe methods have no effects
// by definition and are exempt, so that look-ups work while the object API is
// unavailable.
func mustRunAtMostOnce(class *api.Class, r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return !class.IsIdempotent() || r.Header.Get("Idempotency-Key") != ""
}

// newServiceCall authenticates the caller and returns its call, without the body, and
// the name of its workspace.
func (s *Server) newServiceCall(r *http.Request) (*serviceCall, string, *problem.Problem) {
	id, p := requestID(r)
	if p != nil {
		return nil, "", p
	}
	name, workspace, p := s.authenticateWorkspace(r)
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
		return nil, "", problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest, "Idempotency-Key is too long").WithRequestID(id)
	}
	if key == "" {
		key = id
	}
	now := time.Now()
	return &serviceCall{
		id: id, workspace: name, routeName: routeName, route: route, class: class, request: r, key: key,
		atMostOnce: mustRunAtMostOnce(class, r),
		accepted:   now, deadline: now.Add(class.Deadline.AsDuration()),
	}, name, nil
}

// chooseService counts an attempt and returns the upstream for it.
func (s *Server) chooseService(ctx context.Context, c *serviceCall) (*dispatch.Choice, error) {
	c.attempt++
	return s.options.Chooser.Choose(ctx, &dispatch.Request{
		ID: c.id, Workspace: c.workspace, Class: c.route.Class, Route: c.routeName, Pool: c.route.Pool,
		Idempotent: !c.atMostOnce, AcceptedAt: c.accepted, Deadline: c.deadline,
		Attempt: c.attempt, Exclude: c.excluded,
	})
}

// serveRepeatable runs a call that may run more than once. It tries up to
// Options.MaxAttempts upstreams until one answers.
func (s *Server) serveRepeatable(w http.ResponseWriter, c *serviceCall) {
	ctx, cancel := context.WithDeadlineCause(c.request.Context(), c.deadline, errDeadline)
	defer cancel()
	ran := false
	for {
		choice, err := s.chooseService(ctx, c)
		if err != nil {
			s.failService(w, c, serviceProblem(ctx, err, ran))
			return
		}
		attemptCtx, end := s.untilLost(ctx, c.request, c.route.Pool)
		answer := s.callService(attemptCtx, s.keepAliveClient, c, choice)
		if answer.response != nil {
			defer end()
			s.forwardAnswer(w, c, answer, nil)
			return
		}
		end()
		answer.close(dispatch.Result{Draining: answer.draining})
		ran = ran || !answer.notRun
		if s.isPathLost(c.route.Pool) && ctx.Err() == nil {
			s.forward(w, c.request, outgoingRequest{id: c.id, body: c.body, mayHaveRun: ran})
			return
		}
		c.excluded = append(c.excluded, choice.Upstream.Name)
		if c.attempt >= s.options.MaxAttempts || ctx.Err() != nil {
			s.failService(w, c, serviceProblem(ctx, answer.err, ran))
			return
		}
	}
}

// forwardAnswer forwards the upstream's response to the caller. head is the start
// of its body if that was already read.
func (s *Server) forwardAnswer(w http.ResponseWriter, c *serviceCall, answer *serviceAnswer, head []byte) {
	answer.response.Header.Set("X-Request-Id", c.id)
	relayHead(w, c.request, answer.response)
	body := &upstreamBody{source: answer.response.Body}
	err := copyFlushing(w, io.MultiReader(bytes.NewReader(head), body), s.options.CallerWriteTimeout)
	status := dispatch.StatusOK
	switch {
	case body.readErr != nil:
		status = dispatch.StatusCrash
	case err != nil:
		status = dispatch.StatusCanceled
	case answer.response.StatusCode >= 500:
		status = dispatch.StatusError
	}
	s.reportServiceEnd(c, &answer.choice.Upstream, status == dispatch.StatusOK, nil)
	answer.close(dispatch.Result{Status: status})
	if err != nil {
		framing.Abort()
	}
}

func (s *Server) failService(w http.ResponseWriter, c *serviceCall, p *problem.Problem) {
	s.metrics.countRefused(p.Code)
	s.options.Logger.Warn("service call failed", "request", c.id, "attempt", c.attempt, "workspace", c.workspace,
		"class", c.route.Class, "route", c.routeName, "code", p.Code, "ran", p.Execution)
	if !isCallerFault(p) {
		s.reportServiceEnd(c, nil, false, p)
	}
	problem.Write(w, p.WithRequestID(c.id))
}

// isCallerFault reports whether a call failed because of what the caller sent, or
// because its answer was too large to be stored. Such a failure is not reported to the
// observer and so does not consume the error budget.
func isCallerFault(p *problem.Problem) bool {
	switch p.Code {
	case problem.CodeBadRequest, problem.CodeTooLarge, problem.CodeKeyReused, problem.CodeQuarantined:
		return true
	}
	return false
}

// reportServiceEnd reports the end of a call to the observer. upstream is nil if
// none answered, and p is nil if the call was not refused.
func (s *Server) reportServiceEnd(c *serviceCall, upstream *membership.Upstream, ok bool, p *problem.Problem) {
	e := EndedRequest{
		RequestID: c.id, Workspace: c.workspace, Class: c.route.Class, Route: c.routeName,
		OK: ok, Shed: isShed(p), Total: time.Since(c.accepted),
	}
	if upstream != nil {
		e.Version, e.Domain, e.Upstream = upstream.Version, upstream.Domain, upstream.Name
	}
	s.notifyObserver(e)
}

// serviceProblem returns the problem for a call that no upstream answered. ran is
// true if an upstream may have run it.
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
	p.Execution = problem.ExecutionNotRun
	if ran {
		p.Execution = problem.ExecutionUnknown
	}
	return p
}
