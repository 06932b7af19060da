package objectclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
)

// request is one request to the object API.
type request struct {
	method, path string
	// conditional makes the request conditional on version, which may be
	// AnyVersion or MustNotExist.
	conditional bool
	version     Revision
	body        []byte
}

func (r request) newHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	switch {
	case !r.conditional || r.version == AnyVersion:
	case r.version == MustNotExist:
		httpRequest.Header.Set("If-None-Match", "*")
	default:
		httpRequest.Header.Set("If-Match", etag(r.version))
	}
	return httpRequest, nil
}

// statusError returns the error for the status of a response, or nil for a 2xx
// status.
func statusError(response *http.Response) error {
	switch status := response.StatusCode; {
	case status/100 == 2:
		return nil
	case status == http.StatusPreconditionFailed:
		return errors.Annotate(ErrConflict, response.Status)
	case status == http.StatusNotFound:
		return errors.Annotate(ErrNotFound, response.Status)
	case status == http.StatusRequestEntityTooLarge:
		return errors.Annotate(ErrTooLarge, response.Status)
	case status == http.StatusGone:
		return errors.Annotate(ErrCompacted, response.Status)
	case status == http.StatusTooManyRequests:
		return rateLimitError(response)
	default:
		return errors.Annotate(ErrUnavailable, response.Status)
	}
}

// rateLimitError returns the error for a 429 response: the call had no effect,
// and a read may be retried after the delay in the Retry-After header.
func rateLimitError(response *http.Response) error {
	causes := causeList{ErrUnavailable, ErrRateLimited}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		causes = append(causes, backoff.RetryAfter(seconds))
	}
	return errors.Annotate(causes, response.Status)
}
