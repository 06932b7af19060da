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

// Stream is a streamed answer. It is used by one goroutine and must be closed.
type Stream struct {
	client *Client
	ctx    context.Context
	body   []byte
	tries  attempts

	response *http.Response
	reader   *relay.Reader
	last     int64
	// address is the daemon that is being read from, next is the one that it
	// named as its successor.
	address, next string
	done          bool
}

// Stream sends a chat completion with "stream": true and returns its events.
// The answer is not bound to a connection: when one is lost or falls silent,
// the stream resumes after its last event, at another daemon if need be.
func (c *Client) Stream(ctx context.Context, body []byte) (*Stream, error) {
	s := &Stream{client: c, ctx: ctx, body: body, tries: attempts{id: uuid.NewString()}}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// RequestID identifies the request in logs and status queries.
func (s *Stream) RequestID() string { return s.tries.id }

// Next returns the next event, or io.EOF after the whole answer. Any other
// failure is an *Error.
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
			s.lost(err)
		case string(e.Data) == "[DONE]":
			s.done = true
		case e.ID == 0:
			if failure := streamedError(e.Data, s.tries.id); failure != nil {
				s.done = true
				return Event{}, failure
			}
		case e.ID == s.last+1:
			s.last = e.ID
			s.tries.count = 0
			return Event{Number: e.ID, Data: bytes.Clone(e.Data)}, nil
		case e.ID > s.last+1:
			s.lost(errors.New("events are missing"))
		}
	}
	return Event{}, io.EOF
}

// Close ends the stream. The system cancels the request when its caller does
// not come back.
func (s *Stream) Close() error {
	s.done = true
	return s.drop()
}

func (s *Stream) drop() error {
	if s.response == nil {
		return nil
	}
	err := s.response.Body.Close()
	s.response, s.reader = nil, nil
	return err
}

// lost notes that the connection ended before the answer did.
func (s *Stream) lost(err error) {
	s.tries.err, s.tries.last = err, nil
	// A daemon that named a successor is leaving.
	s.client.directory.report(s.address, false)
	_ = s.drop()
}

// connect opens the stream, or resumes it after the last event.
func (s *Stream) connect() error {
	a := &s.tries
	for round := 0; ; round++ {
		addresses := s.client.Entries(s.ctx)
		if s.next != "" {
			addresses = append([]string{s.next}, addresses...)
			s.next = ""
		}
		for _, address := range addresses {
			if a.count >= s.client.options.Attempts || s.ctx.Err() != nil {
				return a.ended(s.ctx)
			}
			a.count++
			opened, retry := s.open(address)
			if opened {
				return nil
			}
			if !retry {
				return a.failure()
			}
		}
		if a.last != nil && s.client.wait(s.ctx, round, a.last.RetryAfter) != nil ||
			a.last == nil && s.client.wait(s.ctx, round, 0) != nil {
			return a.ended(s.ctx)
		}
	}
}

// open makes one call. A request that may be held somewhere is asked for, one
// that is not is sent.
func (s *Stream) open(address string) (opened, retry bool) {
	a := &s.tries
	query := a.sent && (s.last > 0 || a.last == nil || a.last.Status != http.StatusNotFound)
	method, path, body := http.MethodPost, chatPath, s.body
	if query {
		method, path, body = http.MethodGet, "/v1/requests/"+url.PathEscape(a.id)+"/stream", nil
	}
	request, err := s.client.newRequest(s.ctx, method, address, path, body)
	if err != nil {
		a.err = err
		return false, false
	}
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("Content-Type", "application/json")
	if s.last > 0 {
		request.Header.Set("Last-Event-ID", strconv.FormatInt(s.last, 10))
	}
	response, sent, err := s.client.send(request)
	if err != nil {
		s.client.directory.report(address, false)
		a.sent, a.err, a.last = a.sent || sent, err, nil
		return false, true
	}
	if response.StatusCode == http.StatusOK {
		s.client.directory.report(address, true)
		a.sent, a.last = true, nil
		s.attach(address, response)
		return true, false
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, maxProblem))
	if e := decodeError(response, answer, a.id); e != nil {
		return false, s.client.refused(a, e, strings.TrimSuffix(path, "/stream"))
	}
	a.err = errors.Errorf("the daemon answered %s", response.Status)
	return false, false
}

func (s *Stream) attach(address string, response *http.Response) {
	s.address, s.response = address, response
	s.reader = relay.NewReader(response.Body, 0)
	s.reader.OnComment = func(text []byte) {
		if next, ok := strings.CutPrefix(string(text), "successor "); ok {
			s.next = next
		}
	}
}

// streamedError decodes a failure that is reported within a stream.
func streamedError(data []byte, id string) *Error {
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
