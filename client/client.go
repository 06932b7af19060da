package client

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
	// maxProblem bounds the body of a refusal.
	maxProblem = 64 << 10
	// discoverTimeout bounds a query for entries.
	discoverTimeout = 2 * time.Second
)

// errSilent is the cause of a call that ended because no byte came in time.
const errSilent = errors.ConstError("the daemon is silent")

// Client calls a system. It is safe for concurrent use.
type Client struct {
	options   Options
	http      *http.Client
	directory *directory
}

// New returns a Client.
func New(options Options) (*Client, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	// A redirect leads to another daemon, and the standard client would leave
	// the token out.
	carrier := *options.HTTP
	carrier.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{options: options, http: &carrier, directory: newDirectory(options.Entries)}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entries returns the addresses in the order in which they are tried. It asks
// a daemon when the last answer is no longer valid; when none answers, the
// addresses known so far are returned.
func (c *Client) Entries(ctx context.Context) []string {
	known, fresh := c.directory.list(time.Now())
	if fresh {
		return known
	}
	for _, address := range known {
		if ctx.Err() != nil {
			break
		}
		if c.discover(ctx, address) {
			known, _ = c.directory.list(time.Now())
			return known
		}
	}
	return known
}

func (c *Client) discover(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	request, err := c.newRequest(ctx, http.MethodGet, address, "/v1/entries", nil)
	if err != nil {
		return false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var answer struct {
		Entries []Entry `json:"entries"`
		TTLMs   int64   `json:"ttlMs"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(response.Body, maxProblem)).Decode(&answer) != nil {
		return false
	}
	c.directory.set(answer.Entries, time.Now().Add(time.Duration(answer.TTLMs)*time.Millisecond))
	return true
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.options.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	return request, nil
}

// send makes one call. sent reports whether any byte may have reached the
// daemon. The response's body ends with cancel, or when no byte came for the
// time of Options.Patience.
func (c *Client) send(request *http.Request) (response *http.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	timer := time.AfterFunc(c.options.Patience, func() { cancel(errSilent) })
	response, err = c.http.Do(request.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, connected.Load(), errors.Trace(err)
	}
	response.Body = &patientBody{ReadCloser: response.Body, timer: timer, patience: c.options.Patience, cancel: cancel}
	return response, true, nil
}

// patientBody is a body whose call ends when it stays silent.
type patientBody struct {
	io.ReadCloser
	timer    *time.Timer
	patience time.Duration
	cancel   context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *patientBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.patience)
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer.
func (b *patientBody) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// wait waits before another round over the entries.
func (c *Client) wait(ctx context.Context, round int, advised time.Duration) error {
	delay := min(c.options.Backoff<<min(round, 6), 5*time.Second)
	timer := time.NewTimer(max(delay, advised))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
