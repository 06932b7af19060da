package engineclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"rattantide/internal/relay"
)

// doneData is the payload of the event that ends a stream.
var doneData = []byte("[DONE]")

// Stream is an open generation. It is used by one goroutine at a time.
type Stream struct {
	client  *Client
	address string
	body    io.ReadCloser
	reader  *relay.Reader
	// progress is when the last event arrived.
	progress time.Time
	// givenUp is not nil once the receiver has ended the stream's context.
	givenUp func() error
	done    bool
}

// Stream starts or resumes a generation. A failure is an *Error. The stream
// ends with ctx.
func (c *Client) Stream(ctx context.Context, r StreamRequest) (*Stream, error) {
	header := http.Header{
		"Accept":       {"text/event-stream"},
		"X-Request-Id": {r.RequestID},
		"X-Attempt":    {strconv.Itoa(r.Attempt)},
		"X-Priority":   {strconv.Itoa(r.Priority)},
	}
	if r.AfterEvent > 0 {
		header.Set("Last-Event-Id", strconv.FormatInt(r.AfterEvent, 10))
	}
	using := c.using(r.Address)
	if r.FreshConnection {
		using = c.fresh
	}
	answer, err := c.call(ctx, using, http.MethodPost, r.Address, "/v1/chat/completions", r.Body, header)
	if err != nil {
		return nil, err
	}
	return &Stream{
		client: c, address: r.Address, body: answer, reader: relay.NewReader(answer, r.MaxEventBytes), progress: time.Now(),
		givenUp: ctx.Err,
	}, nil
}

// Next returns the next event; its data is valid until the next call. After
// the "[DONE]" event it returns io.EOF. A lost connection is
// io.ErrUnexpectedEOF or the transport's error.
func (s *Stream) Next() (relay.Event, error) {
	if s.done {
		return relay.Event{}, io.EOF
	}
	event, err := s.reader.Next()
	if errors.Is(err, io.EOF) {
		return relay.Event{}, io.ErrUnexpectedEOF
	}
	if err != nil {
		if s.givenUp() != nil {
			s.client.suspects.gaveUp(s.address, s.progress, time.Now())
		}
		return relay.Event{}, err
	}
	s.progress = time.Now()
	s.done = bytes.Equal(event.Data, doneData)
	return event, nil
}

// Close closes the connection. The engine keeps the generation for a grace
// period, so that it can be resumed; use Client.Cancel to end it.
func (s *Stream) Close() error {
	if s.done {
		// What is left is the end of the chunked body; reading it lets the
		// connection be used again.
		_, _ = io.CopyN(io.Discard, s.body, 64)
	}
	return s.body.Close()
}
