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
	"rattantide/internal/framing"
	"rattantide/internal/intent"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
	"rattantide/internal/responsehead"
)

// serveAtMostOnce runs a call that must not run twice. It commits the intent
// before it sends anything, so that a call with the same key is never reported as
// not run after the first one was executed.
func (s *Server) serveAtMostOnce(w http.ResponseWriter, c *serviceCall) {
	if s.options.Intents == nil {
		s.failService(w, c, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable, "calls that must run at most once are not available"))
		return
	}
	// The call continues when its caller disconnects, because the outcome must be
	// recorded for the key.
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
		s.replayOutcome(w, c, grant.Outcome)
		return
	}
	answer, err := s.dispatchAtMostOnce(ctx, c)
	switch {
	case err != nil:
		// The call did not run, so a later call with the key may run.
		s.options.Intents.Finish(key, nonce, intent.Outcome{Execution: intent.ExecutionNotRun})
		s.failService(w, c, serviceProblem(ctx, err, false))
	case answer.response == nil:
		answer.close(dispatch.Result{})
		s.options.Intents.Finish(key, nonce, intent.Outcome{Execution: intent.ExecutionUnknown})
		s.failService(w, c, problem.NewExecutionUnknown(http.StatusBadGateway, problem.CodeOutcomeUnknown,
			"the upstream got the call and its answer was lost"))
	default:
		s.finishAtMostOnce(w, c, key, nonce, answer)
	}
}

// dispatchAtMostOnce sends the call to one upstream. It tries another upstream
// only after an attempt that did not run: no byte was sent, or the upstream
// reported that it did not run the call. An error means that the call did not
// run; it is the error of the last attempt or of the choice of an upstream.
func (s *Server) dispatchAtMostOnce(ctx context.Context, c *serviceCall) (*serviceAnswer, error) {
	for {
		choice, err := s.chooseService(ctx, c)
		if err != nil {
			return nil, err
		}
		answer := s.callService(ctx, s.singleUseClient, c, choice)
		if !answer.notRun {
			return answer, nil
		}
		answer.close(dispatch.Result{})
		c.excluded = append(c.excluded, choice.Upstream.Name)
		if c.attempt >= s.options.MaxAttempts || ctx.Err() != nil {
			return nil, answer.err
		}
	}
}

// finishAtMostOnce records the answer and forwards it to the caller. It reads the
// recorded prefix of the body before it writes to the caller, so that an answer
// whose connection breaks within that prefix is reported as an unknown outcome.
func (s *Server) finishAtMostOnce(w http.ResponseWriter, c *serviceCall, key intent.Key, nonce string, answer *serviceAnswer) {
	response, limit := answer.response, s.options.MaxRecordedBytes
	head, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		answer.close(dispatch.Result{Status: dispatch.StatusCrash})
		s.options.Intents.Finish(key, nonce, intent.Outcome{Execution: intent.ExecutionUnknown})
		s.failService(w, c, problem.NewExecutionUnknown(http.StatusBadGateway, problem.CodeOutcomeUnknown,
			"the upstream's answer broke off"))
		return
	}
	s.options.Intents.Finish(key, nonce, intent.Outcome{
		Execution: intent.ExecutionDone, Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Body: head[:min(len(head), limit)], Truncated: len(head) > limit,
		MaybeIncomplete: framing.Of(response, c.request.Method) == framing.Conn,
	})
	s.forwardAnswer(w, c, answer, head)
}

// replayOutcome answers with the recorded outcome of an earlier call with the same
// key.
func (s *Server) replayOutcome(w http.ResponseWriter, c *serviceCall, outcome intent.Outcome) {
	if outcome.Execution == intent.ExecutionDone && !responsehead.IsFinalStatus(outcome.Status) {
		// Earlier versions recorded responses with an invalid status.
		outcome.Execution = intent.ExecutionUnknown
	}
	switch {
	case outcome.Execution == intent.ExecutionDone && !outcome.Truncated:
		if outcome.ContentType != "" {
			w.Header().Set("Content-Type", outcome.ContentType)
		}
		w.Header().Set("Idempotency-Replayed", "true")
		if outcome.MaybeIncomplete {
			framing.Begin(w, c.request, framing.Conn)
		} else {
			framing.SetLength(w.Header(), len(outcome.Body))
		}
		w.WriteHeader(outcome.Status)
		_, _ = w.Write(outcome.Body)
	case outcome.Execution == intent.ExecutionDone:
		p := problem.New(http.StatusConflict, problem.CodeTooLarge, "the call was executed before; its answer was too large to be kept")
		p.Execution = problem.ExecutionDone
		s.failService(w, c, p)
	case outcome.Execution == intent.ExecutionNotRun:
		s.failService(w, c, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeUpstreamFailed, "the call was not run"))
	default:
		s.failService(w, c, problem.NewExecutionUnknown(http.StatusConflict, problem.CodeOutcomeUnknown,
			"an earlier call with this key may have been executed"))
	}
}

// digest returns a hash over the method, URL, content type and body of the call,
// by which the reuse of a key for a different call is detected.
func (c *serviceCall) digest() string {
	h := sha256.New()
	for _, field := range []string{c.request.Method, c.request.URL.RequestURI(), c.request.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

func beginProblem(ctx context.Context, err error) *problem.Problem {
	switch {
	case errors.Is(err, intent.ErrKeyReused):
		return problem.NewNotRun(http.StatusUnprocessableEntity, problem.CodeKeyReused, "the idempotency key was used for another call")
	case errors.Is(err, objectclient.ErrUnavailable):
		return problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
			"the intent could not be recorded").WithRetryAfter(transientRetryAfter)
	case ctx.Err() != nil:
		// Another call with the key may be running.
		return problem.NewExecutionUnknown(http.StatusGatewayTimeout, problem.CodeDeadline, "the deadline of the class passed")
	}
	return problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable, "the intent could not be recorded")
}
