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
	// maxErrorBody is how much of a failed call's answer is kept.
	maxErrorBody = 4 << 10
	// maxAnswer bounds the answers to control calls.
	maxAnswer = 4 << 20
)

// call sends a request and returns the body of the answer when it is a
// success. The receiver closes it. A failure is an *Error.
func (c *Client) call(ctx context.Context, using *http.Client, method, address, path string, body []byte, header http.Header) (io.ReadCloser, error) {
	// A request whose connection was never opened did not reach the engine.
	// Once it has a connection, bytes may have been sent.
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
	begun := time.Now()
	res, err := using.Do(req)
	if err != nil {
		// The transport may return the cause that the context was given, so the
		// error does not tell that the call was given up.
		if connected.Load() && ctx.Err() != nil {
			c.suspects.gaveUp(address, begun, time.Now())
		}
		return nil, &Error{NotRun: !connected.Load(), Err: errors.Trace(err)}
	}
	if res.StatusCode/100 == 2 {
		return res.Body, nil
	}
	defer res.Body.Close()
	return nil, answered(res)
}

// fetch sends a request and decodes the answer into value unless that is nil.
func (c *Client) fetch(ctx context.Context, method, address, path string, body []byte, value any) error {
	answer, err := c.call(ctx, c.using(address), method, address, path, body, nil)
	if err != nil {
		return err
	}
	defer answer.Close()
	if value == nil {
		_, _ = io.CopyN(io.Discard, answer, maxErrorBody)
		return nil
	}
	content, err := readAll(answer, maxAnswer)
	if err == nil {
		err = json.Unmarshal(content, value)
	}
	if err != nil {
		return &Error{Status: http.StatusOK, Err: errors.Trace(err)}
	}
	return nil
}

// readAll reads at most limit bytes; more is an error.
func readAll(from io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(content)) > limit {
		return nil, errors.Errorf("answer exceeds %d bytes", limit)
	}
	return content, nil
}
