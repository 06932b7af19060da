package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/relay"
)

// Stream is a streamed answer. It is not safe for concurrent use and must be
// closed.
type Stream struct {
	client   *Client
	ctx      context.Context
	body     []byte
	attempts attemptState

	response  *http.Response
	reader    *relay.Reader
	lastEvent int64
	// address is the address of the daemon that sends the stream. successor is the
	// address of the daemon that it announced as its successor, or "".
	address, successor string
	done               bool
}

// Stream sends a chat completion, whose body must have "stream": true, and returns
// its answer. When the connection is lost or receives no data for
// Options.IdleTimeout, the stream is resumed after its last event, at another daemon
// if necessary. Every error is an *Error. ctx applies to the whole stream.
func (c *Client) Stream(ctx context.Context, body []byte) (*Stream, error) {
	s := &Stream{client: c, ctx: ctx, body: body, attempts: attemptState{id: uuid.NewString()}}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// RequestID returns the ID of the request in logs and status queries.
func (s *Stream) RequestID() string { return s.attempts.id }

// Next returns the next event, or io.EOF after the last one. Any other error is an
// *Error.
func (s *Stream) Next() (Event, error) {
	for !s.done {
		if s.reader == nil {
			if err := s.connect(); err != nil {
				s.done = true
				return Event{}, err
			}
		}
		e, err := s.reader.Next()
		switch {
		case err != nil:
			s.recordDisconnect(err)
		case string(e.Data) == "[DONE]":
			s.done = true
		case e.ID == 0:
			if failure := decodeStreamError(e.Data, s.attempts.id); failure != nil {
				s.done = true
				return Event{}, failure
			}
		case e.ID == s.lastEvent+1:
			s.lastEvent = e.ID
			s.attempts.count = 0
			return Event{Number: e.ID, Data: bytes.Clone(e.Data)}, nil
		case e.ID > s.lastEvent+1:
			s.recordDisconnect(errors.New("events of the stream are missing"))
		}
	}
	return Event{}, io.EOF
}

// Close closes the stream. The system cancels the request unless its stream is
// resumed.
func (s *Stream) Close() error {
	s.done = true
	return s.closeResponse()
}

// closeResponse closes the response that is being read, if there is one.
func (s *Stream) closeResponse() error {
	if s.response == nil {
		return nil
	}
	err := s.response.Body.Close()
	s.response, s.reader = nil, nil
	return err
}

// recordDisconnect records that the connection ended before the answer was complete,
// with the error err.
func (s *Stream) recordDisconnect(err error) {
	s.attempts.err, s.attempts.callProblem = err, nil
	// A daemon that announced a successor is leaving, so it counts as failed too.
	s.client.directory.recordResult(s.address, false)
	_ = s.closeResponse()
}

// connect opens the stream, or resumes it after the last event. It tries the
// announced successor before the other daemons.
func (s *Stream) connect() error {
	a := &s.attempts
	for round := 0; ; round++ {
		addresses := s.client.Entries(s.ctx)
		if s.successor != "" {
			addresses = append([]string{s.successor}, addresses...)
			s.successor = ""
		}
		for _, address := range addresses {
			if a.count >= s.client.options.Attempts || s.ctx.Err() != nil {
				return a.newContextError(s.ctx)
			}
			a.count++
			isOpen, canRetry := s.openAt(address)
			if isOpen {
				return nil
			}
			if !canRetry {
				return a.newError()
			}
		}
		if a.callProblem != nil && s.client.wait(s.ctx, round, a.callProblem.RetryAfter) != nil ||
			a.callProblem == nil && s.client.wait(s.ctx, round, 0) != nil {
			return a.newContextError(s.ctx)
		}
	}
}

// openAt makes one call to the daemon at address. It sends the request if no daemon can
// have received it, or if the previous call returned status 404 and no event was received
// before. Otherwise it resumes the stream. Unless the stream is open, canRetry reports
// whether another call may be made.
func (s *Stream) openAt(address string) (isOpen, canRetry bool) {
	a := &s.attempts
	isResume := a.maybeReceived && (s.lastEvent > 0 || a.callProblem == nil || a.callProblem.Status != http.StatusNotFound)
	method, path, body := http.MethodPost, chatPath, s.body
	if isResume {
		method, path, body = http.MethodGet, "/v1/requests/"+url.PathEscape(a.id)+"/stream", nil
	}
	request, err := s.client.newRequest(s.ctx, method, address, path, body)
	if err != nil {
		a.err = err
		return false, false
	}
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("Content-Type", "application/json")
	if s.lastEvent > 0 {
		request.Header.Set("Last-Event-ID", strconv.FormatInt(s.lastEvent, 10))
	}
	response, sent, err := s.client.send(request)
	if err != nil {
		s.client.directory.recordResult(address, false)
		a.maybeReceived, a.err, a.callProblem = a.maybeReceived || sent, err, nil
		return false, true
	}
	if response.StatusCode == http.StatusOK {
		s.client.directory.recordResult(address, true)
		a.maybeReceived, a.callProblem = true, nil
		s.setResponse(address, response)
		return true, false
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if e := decodeError(response, content, a.id); e != nil {
		return false, s.client.recordProblem(a, e, strings.TrimSuffix(path, "/stream"))
	}
	a.err = errors.Errorf("the daemon responded with status %s", response.Status)
	return false, false
}

// setResponse makes response, from the daemon at address, the one that Next reads.
func (s *Stream) setResponse(address string, response *http.Response) {
	s.address, s.response = address, response
	s.reader = relay.NewReader(response.Body, 0)
	s.reader.OnComment = func(text []byte) {
		if next, ok := strings.CutPrefix(string(text), "successor "); ok {
			s.successor = next
		}
	}
}

// decodeStreamError decodes an error event of a stream. It returns nil if data is
// not an error.
func decodeStreamError(data []byte, id string) *Error {
	var event struct {
		Error *Error `json:"error"`
	}
	if json.Unmarshal(data, &event) != nil || event.Error == nil {
		return nil
	}
	if event.Error.RequestID == "" {
		event.Error.RequestID = id
	}
	return event.Error
}
