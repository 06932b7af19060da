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

// unavailableRetry is the advised delay while the object API is unavailable.
const unavailableRetry = 2 * time.Second

func (a *API) answer(c iris.Context, status int, body any) {
	c.StatusCode(status)
	if err := c.JSON(body); err != nil {
		a.log.Debug("answer not written", "err", err)
	}
}

// fail answers err as problem details and counts it.
func (a *API) fail(c iris.Context, err error) {
	a.scope.Counter("refused").Inc(1)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		conflict.write(c.ResponseWriter())
		return
	}
	peer.WriteError(c.ResponseWriter(), err)
}

// readError translates a failed read of the object API. Nothing was changed.
func readError(err error) error {
	switch {
	case errors.Is(err, objectclient.ErrNotFound):
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "the object does not exist")
	case errors.Is(err, objectclient.ErrUnavailable):
		return problem.NotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
			"the object API is unavailable; nothing was changed").WithRetryAfter(unavailableRetry)
	}
	return errors.Trace(err)
}

// writeError translates a failed write, other than a conflict.
func writeError(err error) error {
	switch {
	case errors.Is(err, objectclient.ErrNotFound):
		return problem.New(http.StatusNotFound, problem.CodeNotFound, "the object does not exist")
	case errors.Is(err, objectclient.ErrTooLarge):
		return problem.NotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge,
			"the object API does not take an object of this size")
	case errors.Is(err, objectclient.ErrUnavailable):
		return problem.Unknown(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
			"the object API did not confirm the change; it may or may not have taken effect, so read the object before repeating it").
			WithRetryAfter(unavailableRetry)
	}
	return errors.Trace(err)
}
