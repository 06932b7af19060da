package objectclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"rattantide/internal/lenientjson"
)

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 256 << 20

// Client implements Store over the HTTP protocol of the object API. It is safe
// for concurrent use.
type Client struct {
	options Options
	clock   storeClock
	eras    Eras
}

var _ Store = (*Client)(nil)

// New returns a Client. It does not connect to the object API.
func New(options Options) *Client {
	options.setDefaults()
	return &Client{options: options}
}

// Now implements Store.
func (c *Client) Now() (time.Time, bool) { return c.clock.now() }

// Eras implements Store.
func (c *Client) Eras() *Eras { return &c.eras }

// Get implements Store. It retries within MaxTries and MaxElapsed.
func (c *Client) Get(ctx context.Context, kind, name string) (*Object, error) {
	return retryRead(ctx, c, func() (*Object, error) { return c.getOnce(ctx, kind, name) })
}

// List implements Store. It retries within MaxTries and MaxElapsed.
func (c *Client) List(ctx context.Context, kind string) (*ObjectList, error) {
	return retryRead(ctx, c, func() (*ObjectList, error) {
		list := &ObjectList{}
		era, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, "")}, list)
		if err != nil {
			return nil, err
		}
		return list, list.setEra(era)
	})
}

// Put implements Store. It sends the write once. If the response is lost, it
// reads the object back to determine the outcome; a write with AnyVersion is not
// read back.
func (c *Client) Put(ctx context.Context, kind, name string, version Revision, value json.RawMessage) (*Object, error) {
	if len(value) > c.options.MaxValueBytes {
		return nil, errors.Annotatef(ErrTooLarge, "%s/%s: %d bytes", kind, name, len(value))
	}
	if err := c.eras.CheckCondition(version); err != nil {
		return nil, err
	}
	stored := &Object{}
	era, err := c.call(ctx, request{method: http.MethodPut, path: objectPath(kind, name), version: version, conditional: true, body: value}, stored)
	if setErr := stored.setEra(era); setErr != nil {
		return nil, setErr
	}
	switch {
	case err == nil:
		return stored, CheckWrite(version, era)
	case errors.Is(err, ErrConflict):
		if stored.Version.Number() == 0 {
			// The response contains no current object: the object does not exist.
			return nil, errors.Trace(err)
		}
		return stored, errors.Trace(err)
	case errors.Is(err, ErrRateLimited), !errors.Is(err, ErrUnavailable), version == AnyVersion:
		return nil, errors.Trace(err)
	}
	c.options.Scope.Counter("object_api_read_back").Inc(1)
	return c.readBack(ctx, kind, name, version, value, err)
}

// readBack determines the outcome of a write whose response was lost. If the
// expected version is still stored, the outcome is unknown, because the write may
// still take effect.
func (c *Client) readBack(ctx context.Context, kind, name string, version Revision, value json.RawMessage, cause error) (*Object, error) {
	current, err := c.Get(ctx, kind, name)
	switch {
	case err != nil, current.Version <= version:
		return nil, errors.Annotatef(cause, "%s/%s: outcome of the write is unknown", kind, name)
	case equalJSON(current.Value, value):
		return current, nil
	}
	return current, errors.Annotatef(ErrConflict, "%s/%s: expected version %d, stored version %d", kind, name, version, current.Version)
}

// Delete implements Store. It never retries. If the response is lost, it reads
// the object back, and returns ErrUnavailable if the object is unchanged.
func (c *Client) Delete(ctx context.Context, kind, name string, version Revision) error {
	if err := c.eras.CheckCondition(version); err != nil {
		return err
	}
	era, err := c.call(ctx, request{method: http.MethodDelete, path: objectPath(kind, name), version: version, conditional: true}, nil)
	if err == nil {
		return CheckWrite(version, era)
	}
	if errors.Is(err, ErrRateLimited) || !errors.Is(err, ErrUnavailable) {
		return errors.Trace(err)
	}
	current, readErr := c.Get(ctx, kind, name)
	switch {
	case errors.Is(readErr, ErrNotFound):
		return nil
	case readErr == nil && version != AnyVersion && current.Version > version:
		return errors.Annotatef(ErrConflict, "%s/%s: expected version %d, stored version %d", kind, name, version, current.Version)
	}
	return errors.Trace(err)
}

func (c *Client) getOnce(ctx context.Context, kind, name string) (*Object, error) {
	o := &Object{}
	era, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name)}, o)
	if err != nil {
		return nil, err
	}
	return o, o.setEra(era)
}

// call sends one request, decodes the response into result, and returns its era. Revisions
// in result lack the era. On ErrConflict, result is the current object if the response
// contains one.
func (c *Client) call(ctx context.Context, r request, result any) (era int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, era, err := c.do(ctx, r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, errors.Annotate(ErrUnavailable, err.Error())
	}
	statusErr := statusError(response)
	if (statusErr == nil || errors.Is(statusErr, ErrConflict)) && result != nil && len(body) > 0 {
		isPruned, err := lenientjson.Unmarshal(body, result)
		if isPruned {
			c.options.Scope.Counter("object_api_pruned_answers").Inc(1)
		}
		if err != nil && statusErr == nil {
			return 0, errors.Annotatef(ErrUnavailable, "invalid response body: %v", err)
		}
	}
	return era, statusErr
}

// do sends one request and returns the response, whose body has not been read, and its era.
func (c *Client) do(ctx context.Context, r request) (*http.Response, int64, error) {
	httpRequest, err := r.newHTTPRequest(ctx, c.options.Address)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	c.options.Scope.Tagged(map[string]string{"method": r.method}).Counter("object_api_calls").Inc(1)
	response, err := c.options.HTTP.Do(httpRequest)
	if err != nil {
		c.options.Scope.Counter("object_api_errors").Inc(1)
		return nil, 0, errors.Annotate(ErrUnavailable, err.Error())
	}
	c.clock.observe(response.Header, time.Now())
	era, err := c.eras.ReadAnswer(response.Header.Get(EraHeader))
	if err != nil {
		response.Body.Close()
		return nil, 0, err
	}
	return response, era, nil
}

// retryRead calls read until it succeeds, fails with an error other than
// ErrUnavailable, or reaches Options.MaxTries or Options.MaxElapsed.
func retryRead[T any](ctx context.Context, c *Client, read func() (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = time.Second
	result, err := backoff.Retry(ctx, func() (T, error) {
		value, err := read()
		if err != nil && !errors.Is(err, ErrUnavailable) {
			return value, backoff.Permanent(err)
		}
		var retryAfter *backoff.RetryAfterError
		if errors.As(err, &retryAfter) {
			return value, retryAfter
		}
		return value, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(c.options.MaxTries), backoff.WithMaxElapsedTime(c.options.MaxElapsed))
	if err == nil {
		return result, nil
	}
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	if !isStoreError(err) {
		err = errors.Annotate(ErrUnavailable, err.Error())
	}
	if c.options.Logger != nil && errors.Is(err, ErrUnavailable) {
		c.options.Logger.Warn("object API read failed", "error", err)
	}
	return result, err
}

func isStoreError(err error) bool {
	for _, storeErr := range []error{ErrConflict, ErrNotFound, ErrTooLarge, ErrCompacted, ErrUnavailable} {
		if errors.Is(err, storeErr) {
			return true
		}
	}
	return false
}

// equalJSON reports whether a and b are equal apart from insignificant white
// space.
func equalJSON(a, b json.RawMessage) bool {
	var left, right bytes.Buffer
	if json.Compact(&left, a) != nil || json.Compact(&right, b) != nil {
		return false
	}
	return bytes.Equal(left.Bytes(), right.Bytes())
}

func objectPath(kind, name string) string {
	path := "/v1/objects/" + url.PathEscape(kind)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// etag returns the number of version as a quoted entity tag.
func etag(version Revision) string { return strconv.Quote(strconv.FormatInt(version.Number(), 10)) }
