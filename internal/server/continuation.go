package server

import (
	"encoding/json"

	"github.com/juju/errors"
)

// answerMessage is the assistant message that an engine is asked to continue.
type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continuationBody returns the request body extended by the text received so far,
// as an assistant message for the engine to continue. It fails if the answer has
// anything but text, such as a tool call. Such an answer has to be regenerated from
// the start.
func continuationBody(body []byte, events [][]byte) ([]byte, error) {
	answer, err := assembleAnswer(events)
	if err != nil {
		return nil, err
	}
	message := answer.Choices[0].Message
	if len(message.ToolCalls) > 0 || message.Refusal != nil || message.Content == nil {
		return nil, errors.New("the answer has a tool call, a refusal or no text and cannot be continued from a prefix")
	}
	var request struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	prefix, err := json.Marshal(answerMessage{Role: message.Role, Content: *message.Content})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return replaceFields(body, map[string]any{
		"messages":                 append(request.Messages, prefix),
		"continue_final_message":   true,
		"add_generation_prompt":    false,
		"rattantide_prefix_tokens": len(events),
	})
}

// isComplete reports whether the last event has a finish reason and so ends the
// answer.
func isComplete(events [][]byte) bool {
	if len(events) == 0 {
		return false
	}
	var c chunk
	if json.Unmarshal(events[len(events)-1], &c) != nil || len(c.Choices) == 0 {
		return false
	}
	return c.Choices[0].FinishReason != nil
}

// sameToken reports whether two events carry the same choices. Other fields, such
// as the creation time, may differ.
func sameToken(a, b []byte) bool {
	var x, y struct {
		Choices json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return string(x.Choices) == string(y.Choices)
}
