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

	"rattantide/internal/responsehead"
)

const (
	// maxProblemBytes is the maximum size of the body of a problem or of a list
	// of entries.
	maxProblemBytes = 64 << 10
	// discoverTimeout is the timeout of a query for entries.
	discoverTimeout = 2 * time.Second
)

// errIdleTimeout is the cause of a call that is canceled because no data was
// received within Options.IdleTimeout.
const errIdleTimeout = errors.ConstError("no data received from the daemon within the idle timeout")

// Client calls the daemons of a system. It is safe for concurrent use.
type Client struct {
	options   Options
	http      *http.Client
	directory *directory
}

// New returns a Client. It returns an error if options.Entries is empty.
func New(options Options) (*Client, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	// The client follows redirects itself: they lead to another daemon, and
	// http.Client would omit the token.
	httpClient := *options.HTTP
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{options: options, http: &httpClient, directory: newDirectory(options.Entries)}, nil
}

// Close closes idle connections. It does not interrupt calls or streams.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entries returns the addresses of daemons in the order in which they are tried.
// It queries the daemons when the last list of entries has expired; if none
// responds, it returns the addresses known so far.
func (c *Client) Entries(ctx context.Context) []string {
	known, valid := c.directory.list(time.Now())
	if valid {
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

// discover queries the daemon at address for entries and stores them. It reports
// whether the daemon returned a list.
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
	var list struct {
		Entries []Entry `json:"entries"`
		TTLMs   int64   `json:"ttlMs"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&list) != nil {
		return false
	}
	c.directory.setEntries(list.Entries, time.Now().Add(time.Duration(list.TTLMs)*time.Millisecond))
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

// send makes one call. sent reports whether data may have reached the daemon. The
// call is canceled when no data is received for Options.IdleTimeout, also while the
// response's body is read; closing the body releases its resources.
func (c *Client) send(request *http.Request) (response *http.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	timer := time.AfterFunc(c.options.IdleTimeout, func() { cancel(errIdleTimeout) })
	response, err = c.http.Do(request.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, connected.Load(), errors.Trace(err)
	}
	if !responsehead.IsFinalStatus(response.StatusCode) {
		_ = response.Body.Close()
		timer.Stop()
		cancel(nil)
		return nil, true, errors.Annotatef(responsehead.ErrInvalid, "status %d", response.StatusCode)
	}
	response.Body = &idleTimeoutBody{ReadCloser: response.Body, timer: timer, idleTimeout: c.options.IdleTimeout, cancel: cancel}
	return response, true, nil
}

// idleTimeoutBody is a response body whose call is canceled when no data is
// received for idleTimeout. Each Read restarts the timer.
type idleTimeoutBody struct {
	io.ReadCloser
	timer       *time.Timer
	idleTimeout time.Duration
	cancel      context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.idleTimeout)
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer.
func (b *idleTimeoutBody) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// wait waits before the next round over the entries: the backoff for round, at
// most 5 s, or retryAfter if that is longer. It returns an error if ctx ends first.
func (c *Client) wait(ctx context.Context, round int, retryAfter time.Duration) error {
	delay := min(c.options.Backoff<<min(round, 6), 5*time.Second)
	timer := time.NewTimer(max(delay, retryAfter))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
