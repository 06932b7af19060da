package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/findings"
	"rattantide/internal/problem"
)

// Handle registers a handler for method and path on party. The body is decoded
// into In, which keeps its zero value if the body is empty or method is GET. The
// value returned by fn is written as JSON, and an error by WriteError. maxBody bounds
// the request body in bytes.
func Handle[In, Out any](party iris.Party, method, path string, maxBody int64, fn func(context.Context, In) (Out, error)) {
	party.Handle(method, path, func(c iris.Context) {
		var in In
		if err := readJSON(c.Request(), maxBody, &in); err != nil {
			WriteError(c.ResponseWriter(), err)
			return
		}
		out, err := fn(c.Request().Context(), in)
		if err != nil {
			WriteError(c.ResponseWriter(), err)
			return
		}
		if err := c.JSON(out); err != nil {
			c.Application().Logger().Debugf("failed to write response to peer: %v", err)
		}
	})
}

// WriteError writes err as problem details. A *problem.Problem is written as it
// is, a *findings.Error becomes status 422 with its findings, and any other
// error becomes an internal problem with status 500.
func WriteError(w http.ResponseWriter, err error) {
	var p *problem.Problem
	if errors.As(err, &p) {
		problem.Write(w, p)
		return
	}
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		p = problem.New(http.StatusUnprocessableEntity, problem.CodeInvalid, "the object is not valid")
		p.Findings = invalid.Findings
		problem.Write(w, p)
		return
	}
	problem.Write(w, problem.New(http.StatusInternalServerError, problem.CodeInternal, err.Error()))
}

func readJSON(r *http.Request, maxBody int64, into any) error {
	if r.Body == nil || r.Method == http.MethodGet {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
	}
	if int64(len(body)) > maxBody {
		return problem.New(http.StatusRequestEntityTooLarge, problem.CodeTooLarge, "the body is too large")
	}
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, err.Error())
	}
	return nil
}
