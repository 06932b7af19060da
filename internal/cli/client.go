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

// maxAnswer bounds the answer of a daemon, in bytes.
const maxAnswer = 64 << 20

// Client calls the administration API of the first daemon that answers.
type Client struct {
	Addresses []string
	Token     string
	Operator  string
	HTTP      *http.Client
}

// Do sends in as JSON to path below admin.Prefix and decodes the answer into
// out; both may be nil. It goes on to the next address when an address does
// not answer or a daemon reports that it is leaving or cannot reach the object
// API, but never after a change that may have taken effect.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) (http.Header, error) {
	var last error
	for _, address := range c.Addresses {
		header, err := c.DoAt(ctx, address, method, path, in, out)
		if err == nil {
			return header, nil
		}
		last = worseError(last, err)
		if ctx.Err() != nil || !tryNext(method, err) {
			return nil, err
		}
	}
	return nil, last
}

// worseError keeps the answer of a daemon rather than a missing answer.
func worseError(held, err error) error {
	if held != nil && errors.Is(err, ErrNoAnswer) {
		return held
	}
	return err
}

// DoAt is Do with one address.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
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
		return nil, errors.Annotatef(err, "answer of %s", address)
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
		return nil, usagef("address %q", address)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set(admin.OperatorHeader, c.Operator)
	return request, nil
}

// transportError tells a change that never reached a daemon from one that may
// have been made although its answer is missing.
func (c *Client) transportError(address, method string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || notSent {
		return errors.WithType(errors.Annotatef(err, "%s", address), ErrNoAnswer)
	}
	p := problem.Unknown(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable,
		"the answer of "+address+" was lost, so the change may or may not have taken effect: "+err.Error())
	return p
}

// tryNext reports whether another daemon may be asked after err.
func tryNext(method string, err error) bool {
	if errors.Is(err, ErrNoAnswer) {
		return true
	}
	var p *problem.Problem
	return errors.As(err, &p) && unavailable(p) && (method == http.MethodGet || p.Ran == problem.RanNotRun)
}

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
