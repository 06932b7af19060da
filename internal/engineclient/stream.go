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
	// lastEventAt is when the last event arrived, or when the stream was opened.
	lastEventAt time.Time
	// contextErr returns the error of the stream's context, which is not nil once
	// the context has ended.
	contextErr func() error
	done       bool
}

// Stream starts or resumes a generation. The error is an *Error. The stream fails
// when ctx ends. The caller must close the returned Stream.
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
	client := c.httpClientFor(r.Address)
	if r.FreshConnection {
		client = c.noKeepAlive
	}
	response, err := c.call(ctx, client, http.MethodPost, r.Address, "/v1/chat/completions", r.Body, header)
	if err != nil {
		return nil, err
	}
	return &Stream{
		client: c, address: r.Address, body: response, reader: relay.NewReader(response, r.MaxEventBytes), lastEventAt: time.Now(),
		contextErr: ctx.Err,
	}, nil
}

// Next returns the next event, including the "[DONE]" event that ends the stream.
// Its data is valid until the next call. After the "[DONE]" event Next returns
// io.EOF. If the connection breaks before that event, Next returns
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
		if s.contextErr() != nil {
			s.client.suspectEngines.recordCanceledCall(s.address, s.lastEventAt, time.Now())
		}
		return relay.Event{}, err
	}
	s.lastEventAt = time.Now()
	s.done = bytes.Equal(event.Data, doneData)
	return event, nil
}

// Close closes the stream, but does not end the generation: the engine retains it
// for a grace period, so that it can be resumed. Use Client.Cancel to end it.
func (s *Stream) Close() error {
	if s.done {
		// Only the end of the chunked body is left. Reading it allows the
		// connection to be reused.
		_, _ = io.CopyN(io.Discard, s.body, 64)
	}
	return s.body.Close()
}
