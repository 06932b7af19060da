package engineclient

import (
	"context"
	"io"
	"net/http"

	"rattantide/internal/relay"
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a Client that uses httpClient, or one of its own when nil.
func New(httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{}
	}
	return &Client{http: httpClient}
}

// Stream starts or resumes a generation. A failure is an *Error.
func (c *Client) Stream(_ context.Context, _ StreamRequest) (*Stream, error) {
	return nil, &Error{NotRun: true}
}

// Cancel ends a generation and frees its place in the engine.
func (c *Client) Cancel(_ context.Context, _, _ string) error { return nil }

// Stream is an open generation. It is used by one goroutine at a time.
type Stream struct{}

// Next returns the next event; its data is valid until the next call. After
// the "[DONE]" event it returns io.EOF. A lost connection is
// io.ErrUnexpectedEOF or the transport's error.
func (s *Stream) Next() (relay.Event, error) { return relay.Event{}, io.EOF }

// Close closes the connection. The engine keeps the generation for a grace
// period, so that it can be resumed; use Client.Cancel to end it.
func (s *Stream) Close() error { return nil }
