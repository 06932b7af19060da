package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"

	"rattantide/internal/problem"
)

// defaultMaxTokens is the estimate for a request that sets no limit.
const defaultMaxTokens = 256

// chatRequest is what the server reads of a chat completion.
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

// chatMessage is decoded together with the request, because a further pass over
// a long prompt takes a large part of the time to the first token that the
// server may add.
type chatMessage struct {
	Role string `json:"role"`
	// Content is a string, nil, or a list of parts.
	Content any `json:"content"`
}

// text joins the text of the message's parts.
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
		return nil, problem.NotRun(400, problem.CodeBadRequest, "the body is not a chat completion: "+jsonFault(err))
	}
	switch {
	case q.Model == "":
		return nil, problem.NotRun(400, problem.CodeBadRequest, "model is missing")
	case len(q.Messages) == 0:
		return nil, problem.NotRun(400, problem.CodeBadRequest, "messages must not be empty")
	case q.N != nil && *q.N != 1:
		return nil, problem.NotRun(400, problem.CodeBadRequest, "n must be 1")
	case q.PrefixTokens != 0:
		return nil, problem.NotRun(400, problem.CodeBadRequest, "rattantide_prefix_tokens is reserved")
	}
	return q, nil
}

// jsonFault describes a decoding error without repeating any of the content.
func jsonFault(err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "syntax error at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &kind):
		return "wrong type at " + strconv.Quote(kind.Field)
	}
	return "it cannot be decoded"
}

func (q *chatRequest) streams() bool { return q.Stream != nil && *q.Stream }

func (q *chatRequest) maxTokens() int {
	switch {
	case q.MaxCompletionTokens > 0:
		return q.MaxCompletionTokens
	case q.MaxTokens > 0:
		return q.MaxTokens
	}
	return defaultMaxTokens
}

// engineBody returns the body for engines: streaming is on and a seed is set.
// Fields that the caller did not send are inserted into its bytes; only a field
// with another value makes a new encoding necessary.
func (q *chatRequest) engineBody(body []byte) ([]byte, int64, error) {
	seed := rand.Int64N(1<<31-1) + 1
	if q.Seed != nil {
		seed = *q.Seed
	}
	if q.Stream != nil && !*q.Stream {
		out, err := replaceFields(body, map[string]any{"stream": true, "seed": seed})
		return out, seed, err
	}
	var insert []byte
	if q.Stream == nil {
		insert = append(insert, `,"stream":true`...)
	}
	if q.Seed == nil {
		insert = append(insert, `,"seed":`...)
		insert = strconv.AppendInt(insert, seed, 10)
	}
	if len(insert) == 0 {
		return body, seed, nil
	}
	// The body was decoded as an object with at least one field. Of two fields
	// with one name the last counts, so the end is where a null is overruled.
	at := bytes.LastIndexByte(body, '}')
	out := make([]byte, 0, len(body)+len(insert))
	out = append(out, body[:at]...)
	out = append(out, insert...)
	return append(out, body[at:]...), seed, nil
}

// replaceFields sets fields of a JSON object and leaves the others as they are.
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
