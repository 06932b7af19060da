package combinations

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"rattantide/client"
	"rattantide/internal/engineclient"
	"rattantide/internal/standin/engine"
)

// stream is a streamed chat completion and the answer that its caller received.
type stream struct {
	messages []engineclient.Message
	seed     int64

	id         string
	text       string
	lastEvent  int64
	isComplete bool
	err        error
}

// run sends the request and reads the answer to its end. The client resumes the
// stream after a connection loss.
func (s *stream) run(ctx context.Context, c *client.Client, p *progress) {
	body, err := json.Marshal(map[string]any{
		"model": model, "messages": s.messages, "stream": true, "seed": s.seed, "max_tokens": tokensPerStream,
	})
	if err != nil {
		s.err = err
		return
	}
	response, err := c.Stream(ctx, body)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = response.Close() }()
	s.id = response.RequestID()
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			s.isComplete = true
			return
		}
		if err != nil {
			s.err = err
			return
		}
		if s.err = s.addEvent(event); s.err != nil {
			return
		}
		p.tokens.Add(1)
	}
}

// addEvent appends the content of an event to the received text.
func (s *stream) addEvent(event client.Event) error {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) != 1 {
		return fmt.Errorf("event %d is not a chat completion chunk: %.200s", event.Number, event.Data)
	}
	s.lastEvent = event.Number
	s.text += chunk.Choices[0].Delta.Content
	return nil
}

// violation describes what is wrong with the answer, or returns "". starts counts the
// starts and imports at the engines by request ID. A stream that failed is accepted if
// it was reported as not run, or if the plan can cause the loss.
func (s *stream) violation(p *plan, starts map[string]int) string {
	want := engine.Answer(engine.AnswerKey(s.messages, s.seed, version), tokensPerStream)
	switch {
	case s.isComplete && s.text != want:
		return fmt.Sprintf("stream %s differs from the engine's text: got %d bytes in %d events, want %d bytes", s.id, len(s.text), s.lastEvent, len(want))
	case s.isComplete && s.lastEvent != tokensPerStream+1:
		return fmt.Sprintf("stream %s ended after an unexpected number of events: %d", s.id, s.lastEvent)
	case s.isComplete:
		return ""
	case len(s.text) > len(want) || s.text != want[:len(s.text)]:
		return fmt.Sprintf("stream %s failed and its text differs from the engine's: %v", s.id, s.err)
	}
	var e *client.Error
	if !errors.As(s.err, &e) {
		return fmt.Sprintf("stream %s failed after event %d with an unexpected error: %v", s.id, s.lastEvent, s.err)
	}
	switch {
	case e.Execution == client.ExecutionNotRun && (s.lastEvent > 0 || starts[e.RequestID] > 0):
		return fmt.Sprintf("stream %s was reported as not run after event %d and %d starts: %v", e.RequestID, s.lastEvent, starts[e.RequestID], e)
	case e.Execution == client.ExecutionNotRun, p.canLoseRecords(), p.canQuarantine() && e.Code == "quarantined":
		return ""
	}
	return fmt.Sprintf("stream %s was lost after event %d: %v", e.RequestID, s.lastEvent, e)
}
