package engineclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// Causes that an engine states with a code. Test with errors.Is.
const (
	// ErrUnknownRequest means that the engine does not have the generation that
	// was to be resumed, cancelled or exported.
	ErrUnknownRequest = errors.ConstError("engine does not know the request")
	// ErrStaleFence means that the engine has seen a newer fencing token.
	ErrStaleFence = errors.ConstError("stale fencing token")
)

// Error is a failed call to an engine.
type Error struct {
	// Status is the HTTP status, or 0 when there was no answer.
	Status int
	// Code is the code that the engine gave in its answer, or empty.
	Code string
	// NotRun says that the call did not run: the connection could not be
	// opened, so that no byte was sent, or the engine itself said so. It is
	// about this call alone; an earlier attempt of a request that could not be
	// resumed has run.
	NotRun bool
	// Rejected says that the engine found the request itself wrong, for example
	// with 400. It did not run either, and another engine would reject it too.
	// NotRun is not set then, so that it always invites another attempt.
	Rejected bool
	// Draining says that the engine announced that it is leaving.
	Draining bool
	// Body is the start of the engine's answer, at most 4 KB.
	Body []byte
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return "engine: " + e.Err.Error()
	}
	if e.Code != "" {
		return fmt.Sprintf("engine answered %d (%s)", e.Status, e.Code)
	}
	return fmt.Sprintf("engine answered %d", e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether the engine stated target as the cause.
func (e *Error) Is(target error) bool {
	switch target {
	case ErrUnknownRequest:
		return e.Code == "unknown_request"
	case ErrStaleFence:
		return e.Code == "stale_fence"
	}
	return false
}

// answered returns the error for an answer that is not a success.
func answered(res *http.Response) *Error {
	e := &Error{Status: res.StatusCode, Draining: res.Header.Get("X-Draining") == "true"}
	// A body that breaks off does not change what the status says.
	e.Body, _ = io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	var stated struct {
		Error struct {
			Code any `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(e.Body, &stated) == nil {
		e.Code, _ = stated.Error.Code.(string)
	}
	// A plain 503 says nothing: it may come from a generation that failed later.
	e.NotRun = e.Draining || e.Status == http.StatusTooManyRequests ||
		errors.Is(e, ErrUnknownRequest) || errors.Is(e, ErrStaleFence)
	e.Rejected = !e.NotRun && e.Status/100 == 4 && e.Status != http.StatusRequestTimeout
	return e
}
