package server

import (
	"encoding/json"

	"github.com/juju/errors"
)

// answerMessage is the part of the answer that an engine is to continue.
type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continuationBody returns the request with the received text as the start of
// the answer. It fails when the answer is more than text, such as a call of a
// tool; the answer then has to be generated again.
func continuationBody(body []byte, events [][]byte) ([]byte, error) {
	answer, err := assembleAnswer(events)
	if err != nil {
		return nil, err
	}
	message := answer.Choices[0].Message
	if len(message.ToolCalls) > 0 || message.Refusal != nil || message.Content == nil {
		return nil, errors.New("the answer is not text alone")
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

// complete reports whether the last event ends the answer.
func complete(events [][]byte) bool {
	if len(events) == 0 {
		return false
	}
	var c chunk
	if json.Unmarshal(events[len(events)-1], &c) != nil || len(c.Choices) == 0 {
		return false
	}
	return c.Choices[0].FinishReason != nil
}

// sameToken reports whether two events carry the same part of an answer. Other
// fields, such as the time of creation, may differ.
func sameToken(a, b []byte) bool {
	var x, y struct {
		Choices json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return string(x.Choices) == string(y.Choices)
}
