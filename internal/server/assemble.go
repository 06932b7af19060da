package server

import (
	"encoding/json"

	"github.com/juju/errors"
)

// chunk is the payload of one event in a chat completion stream.
type chunk struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint"`
	ServiceTier       string          `json:"service_tier"`
	Choices           []chunkChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	Refusal   *string         `json:"refusal"`
	ToolCalls []chunkToolCall `json:"tool_calls"`
}

type chunkToolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// completion is the non-streaming form of a chat completion.
type completion struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Created           int64              `json:"created"`
	Model             string             `json:"model"`
	SystemFingerprint string             `json:"system_fingerprint,omitempty"`
	ServiceTier       string             `json:"service_tier,omitempty"`
	Choices           []completionChoice `json:"choices"`
	Usage             json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
}

type completionMessage struct {
	Role      string               `json:"role"`
	Content   *string              `json:"content"`
	Refusal   *string              `json:"refusal"`
	ToolCalls []completionToolCall `json:"tool_calls,omitempty"`
}

type completionToolCall struct {
	ID       string             `json:"id"`
	Type     string             `json:"type"`
	Function completionFunction `json:"function"`
}

type completionFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// assemble returns the JSON of the non-streaming answer that the events of a
// stream add up to.
func assemble(events [][]byte) ([]byte, error) {
	answer, err := assembleAnswer(events)
	if err != nil {
		return nil, err
	}
	return json.Marshal(answer)
}

func assembleAnswer(events [][]byte) (*completion, error) {
	if len(events) == 0 {
		return nil, errors.New("cannot assemble an answer from zero events")
	}
	answer := &completion{Object: "chat.completion"}
	message := completionMessage{Role: "assistant"}
	var finish *string
	var content, refusal []byte
	for _, event := range events {
		var c chunk
		if err := json.Unmarshal(event, &c); err != nil {
			return nil, errors.New("event payload is not a chat completion chunk")
		}
		if answer.ID == "" {
			answer.ID, answer.Created, answer.Model = c.ID, c.Created, c.Model
			answer.ServiceTier = c.ServiceTier
		}
		answer.SystemFingerprint = c.SystemFingerprint
		if len(c.Usage) > 0 && string(c.Usage) != "null" {
			answer.Usage = c.Usage
		}
		if len(c.Choices) == 0 {
			continue
		}
		delta := c.Choices[0].Delta
		if delta.Role != "" {
			message.Role = delta.Role
		}
		if delta.Content != nil {
			content = append(content, *delta.Content...)
		}
		if delta.Refusal != nil {
			refusal = append(refusal, *delta.Refusal...)
		}
		message.ToolCalls = addToolCalls(message.ToolCalls, delta.ToolCalls)
		if c.Choices[0].FinishReason != nil {
			finish = c.Choices[0].FinishReason
		}
	}
	if text := string(content); content != nil || len(message.ToolCalls) == 0 {
		message.Content = &text
	}
	if text := string(refusal); refusal != nil {
		message.Refusal = &text
	}
	answer.Choices = []completionChoice{{Message: message, FinishReason: finish}}
	return answer, nil
}

// maxToolCalls bounds the number of tool calls in an answer. Deltas with an index
// out of range are ignored, so that an engine cannot force a huge allocation.
const maxToolCalls = 128

func addToolCalls(calls []completionToolCall, deltas []chunkToolCall) []completionToolCall {
	for _, d := range deltas {
		if d.Index < 0 || d.Index >= maxToolCalls {
			continue
		}
		for len(calls) <= d.Index {
			calls = append(calls, completionToolCall{Type: "function"})
		}
		call := &calls[d.Index]
		if d.ID != "" {
			call.ID = d.ID
		}
		if d.Type != "" {
			call.Type = d.Type
		}
		call.Function.Name += d.Function.Name
		call.Function.Arguments += d.Function.Arguments
	}
	return calls
}
