package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"

	"rattantide/internal/problem"
)

// defaultMaxTokens is the assumed answer length of a request that sets no limit.
const defaultMaxTokens = 256

// chatRequest holds the fields of a chat completion request that the server uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Stream              *bool         `json:"stream"`
	Seed                *int64        `json:"seed"`
	N                   *int          `json:"n"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Messages            []chatMessage `json:"messages"`
	PrefixTokens        int           `json:"rattantide_prefix_tokens"`
}

// chatMessage is decoded together with the request: a second pass over a long
// prompt would use up much of the time that the server may add to the time to
// first token.
type chatMessage struct {
	Role string `json:"role"`
	// Content is a string, nil, or a list of content parts.
	Content any `json:"content"`
}

// text returns the concatenated text parts of the message.
func (m *chatMessage) text() string {
	if text, ok := m.Content.(string); ok {
		return text
	}
	var joined string
	parts, _ := m.Content.([]any)
	for _, part := range parts {
		if fields, ok := part.(map[string]any); ok {
			text, _ := fields["text"].(string)
			joined += text
		}
	}
	return joined
}

func parseChat(body []byte) (*chatRequest, *problem.Problem) {
	q := &chatRequest{}
	if err := json.Unmarshal(body, q); err != nil {
		return nil, problem.NewNotRun(400, problem.CodeBadRequest, "the body is not a chat completion: "+describeJSONError(err))
	}
	switch {
	case q.Model == "":
		return nil, problem.NewNotRun(400, problem.CodeBadRequest, "model is missing")
	case len(q.Messages) == 0:
		return nil, problem.NewNotRun(400, problem.CodeBadRequest, "messages must not be empty")
	case q.N != nil && *q.N != 1:
		return nil, problem.NewNotRun(400, problem.CodeBadRequest, "n must be 1")
	case q.PrefixTokens != 0:
		return nil, problem.NewNotRun(400, problem.CodeBadRequest, "rattantide_prefix_tokens is reserved")
	}
	return q, nil
}

// describeJSONError describes a decoding error without repeating any content of the
// body.
func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "syntax error at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &wrongType):
		return "wrong type at " + strconv.Quote(wrongType.Field)
	}
	return "it cannot be decoded"
}

func (q *chatRequest) wantsStream() bool { return q.Stream != nil && *q.Stream }

func (q *chatRequest) maxTokens() int {
	switch {
	case q.MaxCompletionTokens > 0:
		return q.MaxCompletionTokens
	case q.MaxTokens > 0:
		return q.MaxTokens
	}
	return defaultMaxTokens
}

// engineBody returns the body to send to engines, with streaming on and a seed
// set, and that seed. Missing fields are inserted into the caller's bytes; the
// body is encoded again only if the caller turned streaming off.
func (q *chatRequest) engineBody(body []byte) ([]byte, int64, error) {
	seed := rand.Int64N(1<<31-1) + 1
	if q.Seed != nil {
		seed = *q.Seed
	}
	if q.Stream != nil && !*q.Stream {
		out, err := replaceFields(body, map[string]any{"stream": true, "seed": seed})
		return out, seed, err
	}
	var missing []byte
	if q.Stream == nil {
		missing = append(missing, `,"stream":true`...)
	}
	if q.Seed == nil {
		missing = append(missing, `,"seed":`...)
		missing = strconv.AppendInt(missing, seed, 10)
	}
	if len(missing) == 0 {
		return body, seed, nil
	}
	// The body was decoded as an object with at least one field. The last of two
	// fields with the same name wins, so a field inserted at the end overrides a
	// null.
	end := bytes.LastIndexByte(body, '}')
	out := make([]byte, 0, len(body)+len(missing))
	out = append(out, body[:end]...)
	out = append(out, missing...)
	return append(out, body[end:]...), seed, nil
}

// replaceFields sets fields of a JSON object and leaves its other fields unchanged.
func replaceFields(body []byte, fields map[string]any) ([]byte, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, err
	}
	for name, value := range fields {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		object[name] = encoded
	}
	return json.Marshal(object)
}
