package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/problem"
)

// maxResponseBytes is the maximum number of bytes read from a response.
const maxResponseBytes = 64 << 20

// Client calls the administration API of daemons. It is safe for concurrent use
// as long as its fields are not changed.
type Client struct {
	// Addresses are those of the daemons, in the order in which Do tries them.
	// Without a scheme, http is used.
	Addresses []string
	// Token is the operator token.
	Token string
	// Operator is the name recorded in the change log.
	Operator string
	HTTP     *http.Client
}

// Do sends in as JSON to path below admin.Prefix, decodes the response into out
// and returns its header; in and out may be nil. It tries the next address when
// one does not respond, or when a daemon reports that it is leaving or cannot
// reach the object API, but never after a change that may have taken effect.
// The error is a *problem.Problem or *admin.Conflict that a daemon returned, a
// *problem.Problem with ExecutionUnknown when the response to a change was lost, or
// has the type ErrNoResponse when no daemon responded.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) (http.Header, error) {
	var lastErr error
	for _, address := range c.Addresses {
		header, err := c.DoAt(ctx, address, method, path, in, out)
		if err == nil {
			return header, nil
		}
		lastErr = preferredError(lastErr, err)
		if ctx.Err() != nil || !canTryNext(method, err) {
			return nil, err
		}
	}
	return nil, lastErr
}

// preferredError returns the error to report after another address failed: an
// error that a daemon returned takes precedence over a missing response.
func preferredError(current, err error) error {
	if current != nil && errors.Is(err, ErrNoResponse) {
		return current
	}
	return err
}

// DoAt is like Do, but calls only the daemon at address.
func (c *Client) DoAt(ctx context.Context, address, method, path string, in, out any) (http.Header, error) {
	request, err := c.request(ctx, address, method, path, in)
	if err != nil {
		return nil, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, c.transportError(address, method, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, c.transportError(address, method, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, decodeError(response, body)
	}
	if out == nil || len(body) == 0 {
		return response.Header, nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return nil, errors.Annotatef(err, "cannot decode the response of %s", address)
	}
	return response.Header, nil
}

func (c *Client) request(ctx context.Context, address, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(encoded)
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+admin.Prefix+path, body)
	if err != nil {
		return nil, usagef("invalid address %q", address)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set(admin.OperatorHeader, c.Operator)
	return request, nil
}

// transportError converts a transport error. It returns ErrNoResponse if the call
// was a read or could not reach the daemon, and a problem with an unknown outcome
// if a change may have been made although the response was lost.
func (c *Client) transportError(address, method string, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialFailed {
		return errors.WithType(errors.Annotatef(err, "%s", address), ErrNoResponse)
	}
	p := problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
		"the answer of "+address+" was lost, so the change may or may not have taken effect: "+err.Error())
	return p
}

// canTryNext reports whether the call may be sent to another daemon after err.
func canTryNext(method string, err error) bool {
	if errors.Is(err, ErrNoResponse) {
		return true
	}
	var p *problem.Problem
	return errors.As(err, &p) && isUnavailable(p) && (method == http.MethodGet || p.Execution == problem.ExecutionNotRun)
}

// decodeError converts a response without a 2xx status to an error.
func decodeError(response *http.Response, body []byte) error {
	if strings.HasPrefix(response.Header.Get("Content-Type"), problem.ContentType) {
		if response.StatusCode == http.StatusConflict {
			conflict := &admin.Conflict{Problem: &problem.Problem{}}
			if err := json.Unmarshal(body, conflict); err == nil {
				return conflict
			}
		}
		p := &problem.Problem{}
		if err := json.Unmarshal(body, p); err == nil {
			return p
		}
	}
	return problem.New(response.StatusCode, problem.CodeInternal, response.Status)
}
