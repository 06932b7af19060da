package admin

import (
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

// unavailableRetryAfter is the retry delay sent to callers while the object API
// is unavailable.
const unavailableRetryAfter = 2 * time.Second

func (a *API) writeJSON(c iris.Context, status int, body any) {
	c.StatusCode(status)
	if err := c.JSON(body); err != nil {
		a.log.Debug("failed to write response", "err", err)
	}
}

// writeProblem responds to c with err as problem details and counts the refusal.
func (a *API) writeProblem(c iris.Context, err error) {
	a.scope.Counter("refused").Inc(1)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		conflict.write(c.ResponseWriter())
		return
	}
	peer.WriteError(c.ResponseWriter(), err)
}

// translateReadError converts the error of a read from the object API to a
// problem. A failed read means that nothing was changed.
func translateReadError(err error) error {
	switch {
	case errors.Is(err, objectclient.ErrNotFound):
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "the object does not exist")
	case errors.Is(err, objectclient.ErrUnavailable):
		return problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
			"the object API is unavailable; nothing was changed").WithRetryAfter(unavailableRetryAfter)
	}
	return errors.Trace(err)
}

// translateWriteError converts the error of a write to the object API, other
// than a conflict, to a problem.
func translateWriteError(err error) error {
	switch {
	case errors.Is(err, objectclient.ErrNotFound):
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "the object does not exist")
	case errors.Is(err, objectclient.ErrTooLarge):
		return problem.NewNotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge,
			"the object API does not take an object of this size")
	case errors.Is(err, objectclient.ErrUnavailable):
		return problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
			"the object API did not confirm the change; it may or may not have taken effect, so read the object before repeating it").
			WithRetryAfter(unavailableRetryAfter)
	}
	return errors.Trace(err)
}
