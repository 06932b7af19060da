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

// request is one call of the object API.
type request struct {
	method, path string
	// conditional adds the condition for version.
	conditional bool
	version     int64
	body        []byte
}

func (r request) build(ctx context.Context, address string) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	built, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		built.Header.Set("Content-Type", "application/json")
	}
	switch {
	case !r.conditional || r.version == AnyVersion:
	case r.version == MustNotExist:
		built.Header.Set("If-None-Match", "*")
	default:
		built.Header.Set("If-Match", quote(r.version))
	}
	return built, nil
}

// statusError turns a status into an error; nil for success.
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
		return limitedError(response)
	default:
		return errors.Annotate(ErrUnavailable, response.Status)
	}
}

// limitedError is the error of a 429: the call had no effect, and a read may be
// repeated after the announced delay.
func limitedError(response *http.Response) error {
	causes := causes{ErrUnavailable, ErrRateLimited}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		causes = append(causes, backoff.RetryAfter(seconds))
	}
	return errors.Annotate(causes, response.Status)
}
