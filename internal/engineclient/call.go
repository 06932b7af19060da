package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// maxErrorBodyBytes bounds how much of a failed call's response is read into
	// Error.Body.
	maxErrorBodyBytes = 4 << 10
	// maxJSONResponseBytes bounds the JSON responses to calls other than streams.
	maxJSONResponseBytes = 4 << 20
)

// call sends a request and returns the body of a 2xx response, which the caller
// must close. The error is an *Error.
func (c *Client) call(ctx context.Context, client *http.Client, method, address, path string, body []byte, header http.Header) (io.ReadCloser, error) {
	// A request that never got a connection did not reach the engine. After it got
	// one, bytes may have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{NotRun: true, Err: errors.Trace(err)}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	startedAt := time.Now()
	res, err := client.Do(req)
	if err != nil {
		// The transport may return the context's cause instead of ctx.Err, so err
		// does not reliably show that the call was cancelled.
		if connected.Load() && ctx.Err() != nil {
			c.suspectEngines.recordCanceledCall(address, startedAt, time.Now())
		}
		return nil, &Error{NotRun: !connected.Load(), Err: errors.Trace(err)}
	}
	if res.StatusCode/100 == 2 {
		return res.Body, nil
	}
	defer res.Body.Close()
	return nil, errorFromResponse(res)
}

// callJSON sends a request and decodes the JSON response into value, or discards it if
// value is nil. The error is an *Error.
func (c *Client) callJSON(ctx context.Context, method, address, path string, body []byte, value any) error {
	response, err := c.call(ctx, c.httpClientFor(address), method, address, path, body, nil)
	if err != nil {
		return err
	}
	defer response.Close()
	if value == nil {
		_, _ = io.CopyN(io.Discard, response, maxErrorBodyBytes)
		return nil
	}
	content, err := readAll(response, maxJSONResponseBytes)
	if err == nil {
		err = json.Unmarshal(content, value)
	}
	if err != nil {
		return &Error{Status: http.StatusOK, Err: errors.Trace(err)}
	}
	return nil
}

// readAll reads r to its end. It fails if r has more than limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(content)) > limit {
		return nil, errors.Errorf("response exceeds %d bytes", limit)
	}
	return content, nil
}
