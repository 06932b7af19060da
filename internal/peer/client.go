package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"rattantide/internal/problem"
)

// maxResponseBytes bounds the response body of a peer.
const maxResponseBytes = 64 << 20

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	// Token is the bearer token shared by all daemons. If empty, none is sent.
	Token string
	// Scheme is "http" or "https". Default "http".
	Scheme string
	// HTTP is the HTTP client. Default http.DefaultClient.
	HTTP *http.Client
}

// Call sends in as JSON with the method to path at address and decodes the
// response into out; in and out may be nil. A response other than 2xx is
// returned as a *problem.Problem. After any other error it is not known whether
// the peer executed the call.
func (c *Client) Call(ctx context.Context, method, address, path string, in, out any) error {
	response, err := c.send(ctx, method, address, path, in)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Annotatef(err, "%s %s", method, path)
	}
	if response.StatusCode/100 != 2 {
		return decodeProblem(response, body)
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(body, out), "%s %s", method, path)
}

func (c *Client) send(ctx context.Context, method, address, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+address+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(request)
}

func decodeProblem(response *http.Response, body []byte) error {
	p := &problem.Problem{}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problem.ContentType) {
		if err := json.Unmarshal(body, p); err == nil {
			return p
		}
	}
	return problem.New(response.StatusCode, problem.CodeInternal, response.Status)
}
