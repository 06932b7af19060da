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

// stream is a chat completion and what its caller got of it.
type stream struct {
	messages []engineclient.Message
	seed     int64

	id     string
	text   string
	events int64
	whole  bool
	err    error
}

// run sends the request and reads the answer to its end. The client resumes it
// where needed.
func (s *stream) run(ctx context.Context, c *client.Client, p *progress) {
	body, err := json.Marshal(map[string]any{
		"model": model, "messages": s.messages, "stream": true, "seed": s.seed, "max_tokens": tokensPerStream,
	})
	if err != nil {
		s.err = err
		return
	}
	opened, err := c.Stream(ctx, body)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = opened.Close() }()
	s.id = opened.RequestID()
	for {
		event, err := opened.Next()
		if errors.Is(err, io.EOF) {
			s.whole = true
			return
		}
		if err != nil {
			s.err = err
			return
		}
		if s.err = s.take(event); s.err != nil {
			return
		}
		p.tokens.Add(1)
	}
}

func (s *stream) take(event client.Event) error {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) != 1 {
		return fmt.Errorf("event %d is not a chunk: %.200s", event.Number, event.Data)
	}
	s.events = event.Number
	s.text += chunk.Choices[0].Delta.Content
	return nil
}

// check returns what is wrong with the answer, or "". started names the
// requests that an engine began.
func (s *stream) check(p *plan, started map[string]int) string {
	want := engine.Answer(engine.AnswerKey(s.messages, s.seed, version), tokensPerStream)
	switch {
	case s.whole && s.text != want:
		return fmt.Sprintf("stream %s is not the engine's text: %d bytes in %d events instead of %d bytes", s.id, len(s.text), s.events, len(want))
	case s.whole && s.events != tokensPerStream+1:
		return fmt.Sprintf("stream %s ended after event %d", s.id, s.events)
	case s.whole:
		return ""
	case len(s.text) > len(want) || s.text != want[:len(s.text)]:
		return fmt.Sprintf("stream %s began with a wrong text and ended with %v", s.id, s.err)
	}
	var e *client.Error
	if !errors.As(s.err, &e) {
		return fmt.Sprintf("stream %s after event %d: %v", s.id, s.events, s.err)
	}
	switch {
	case e.Ran == client.RanNotRun && (s.events > 0 || started[e.RequestID] > 0):
		return fmt.Sprintf("stream %s is reported as not run after event %d and %d starts: %v", e.RequestID, s.events, started[e.RequestID], e)
	case e.Ran == client.RanNotRun, p.mayLoseRecords(), p.mayQuarantine() && e.Code == "quarantined":
		return ""
	}
	return fmt.Sprintf("stream %s was lost after event %d: %v", e.RequestID, s.events, e)
}
