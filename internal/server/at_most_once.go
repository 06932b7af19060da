package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/intent"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
)

// atMostOnce runs a call that must not run twice. The intent is committed
// before anything else, so that a repeated key is never refused as not run
// while its first call was executed.
func (s *Server) atMostOnce(w http.ResponseWriter, c *serviceCall) {
	if s.options.Intents == nil {
		s.failService(w, c, problem.NotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable, "calls that must run at most once are not available"))
		return
	}
	// The call goes on when its caller leaves: the key must get its outcome.
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(c.request.Context()), c.deadline, errDeadline)
	defer cancel()
	key := intent.Key{Workspace: c.workspace, Route: c.routeName, Value: c.key}
	nonce := uuid.NewString()
	grant, err := s.options.Intents.Begin(ctx, key, c.digest(), nonce)
	if err != nil {
		s.failService(w, c, beginProblem(ctx, err))
		return
	}
	if !grant.Granted {
		s.replay(w, c, grant.Outcome)
		return
	}
	answer, err := s.dispatchOnce(ctx, c)
	switch {
	case err != nil:
		// Nothing was sent, so that the key may run again.
		s.options.Intents.Finish(key, nonce, intent.Outcome{Ran: intent.RanNotRun})
		s.failService(w, c, serviceProblem(ctx, err, false))
	case answer.response == nil:
		answer.close(dispatch.Result{})
		s.options.Intents.Finish(key, nonce, intent.Outcome{Ran: intent.RanUnknown})
		s.failService(w, c, problem.Unknown(http.StatusBadGateway, problem.CodeOutcomeUnknown,
			"the upstream got the call and its answer was lost"))
	default:
		s.finishOnce(w, c, key, nonce, answer)
	}
}

// dispatchOnce sends the call to one upstream. Only an attempt of which no byte
// was sent, or which the upstream says it did not run, is followed by another;
// the error is that of the last such attempt.
func (s *Server) dispatchOnce(ctx context.Context, c *serviceCall) (*serviceAnswer, error) {
	for {
		choice, err := s.chooseService(ctx, c)
		if err != nil {
			return nil, err
		}
		answer := s.callService(ctx, s.once, c, choice)
		if !answer.notRun {
			return answer, nil
		}
		answer.close(dispatch.Result{})
		c.exclude = append(c.exclude, choice.Upstream.Name)
		if c.attempt >= s.options.MaxAttempts || ctx.Err() != nil {
			return nil, answer.err
		}
	}
}

// finishOnce records the answer and passes it on. The part that is kept is read
// before the caller gets anything, so that an answer which breaks off early is
// reported as unknown.
func (s *Server) finishOnce(w http.ResponseWriter, c *serviceCall, key intent.Key, nonce string, answer *serviceAnswer) {
	response, limit := answer.response, s.options.MaxRecordedBytes
	head, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		answer.close(dispatch.Result{Status: dispatch.StatusCrash})
		s.options.Intents.Finish(key, nonce, intent.Outcome{Ran: intent.RanUnknown})
		s.failService(w, c, problem.Unknown(http.StatusBadGateway, problem.CodeOutcomeUnknown,
			"the upstream's answer broke off"))
		return
	}
	s.options.Intents.Finish(key, nonce, intent.Outcome{
		Ran: intent.RanDone, Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Body: head[:min(len(head), limit)], Truncated: len(head) > limit,
	})
	s.passOn(w, c, answer, head)
}

// replay answers with what is recorded of an earlier call with the same key.
func (s *Server) replay(w http.ResponseWriter, c *serviceCall, outcome intent.Outcome) {
	switch {
	case outcome.Ran == intent.RanDone && !outcome.Truncated:
		if outcome.ContentType != "" {
			w.Header().Set("Content-Type", outcome.ContentType)
		}
		w.Header().Set("Idempotency-Replayed", "true")
		w.WriteHeader(outcome.Status)
		_, _ = w.Write(outcome.Body)
	case outcome.Ran == intent.RanDone:
		p := problem.New(http.StatusConflict, problem.CodeTooLarge, "the call was executed before; its answer was too large to be kept")
		p.Ran = problem.RanDone
		s.failService(w, c, p)
	case outcome.Ran == intent.RanNotRun:
		s.failService(w, c, problem.NotRun(http.StatusServiceUnavailable, problem.CodeUpstreamFailed, "the call was not run"))
	default:
		s.failService(w, c, problem.Unknown(http.StatusConflict, problem.CodeOutcomeUnknown,
			"an earlier call with this key may have been executed"))
	}
}

// digest identifies the content of the call, so that a key is not used for two
// different calls.
func (c *serviceCall) digest() string {
	h := sha256.New()
	for _, part := range []string{c.request.Method, c.request.URL.RequestURI(), c.request.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

func beginProblem(ctx context.Context, err error) *problem.Problem {
	switch {
	case errors.Is(err, intent.ErrKeyReused):
		return problem.NotRun(http.StatusUnprocessableEntity, problem.CodeKeyReused, "the idempotency key was used for another call")
	case errors.Is(err, objectclient.ErrUnavailable):
		return problem.NotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
			"the intent could not be recorded").WithRetryAfter(retryAfterFull)
	case ctx.Err() != nil:
		// Another call with the key may be in progress.
		return problem.Unknown(http.StatusGatewayTimeout, problem.CodeDeadline, "the deadline of the class passed")
	}
	return problem.NotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable, "the intent could not be recorded")
}
