package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/engineclient"
)

const (
	maxBodyBytes      = 16 << 20
	maxAnswerTokens   = 1 << 16
	maxRequestIDBytes = 128
)

// request is a parsed chat completion request with the values of its headers.
type request struct {
	id         string
	attempt    string
	priority   int
	afterEvent int64
	isResume   bool
	bodyHash   uint64

	Model               string                 `json:"model"`
	Messages            []engineclient.Message `json:"messages"`
	Stream              bool                   `json:"stream"`
	Seed                int64                  `json:"seed"`
	MaxTokens           int                    `json:"max_tokens"`
	MaxCompletionTokens int                    `json:"max_completion_tokens"`
	// PrefixTokens is how many tokens of the answer the last message contains.
	PrefixTokens int  `json:"rattantide_prefix_tokens"`
	Continue     bool `json:"continue_final_message"`
}

func parseRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	q := &request{
		id:      r.Header.Get("X-Request-Id"),
		attempt: r.Header.Get("X-Attempt"),
	}
	if q.id == "" {
		q.id = uuid.NewString()
	}
	if !validID(q.id) {
		return nil, errors.New("X-Request-Id is not an identifier")
	}
	q.priority, _ = strconv.Atoi(r.Header.Get("X-Priority"))
	if after := r.Header.Get("Last-Event-Id"); after != "" {
		n, err := strconv.ParseInt(after, 10, 64)
		if err != nil || n < 0 {
			return nil, errors.New("Last-Event-Id is not a number")
		}
		q.afterEvent, q.isResume = n, true
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	q.bodyHash = xxhash.Sum64(body)
	if err := json.Unmarshal(body, q); err != nil {
		return nil, errors.Trace(err)
	}
	return q, q.validate()
}

func (q *request) validate() error {
	if q.MaxCompletionTokens > 0 {
		q.MaxTokens = q.MaxCompletionTokens
	}
	switch {
	case len(q.Messages) == 0:
		return errors.New("messages is empty")
	case q.MaxTokens < 0 || q.MaxTokens > maxAnswerTokens:
		return errors.Errorf("max_tokens is not between 0 and %d", maxAnswerTokens)
	case q.PrefixTokens < 0 || q.PrefixTokens > maxAnswerTokens:
		return errors.Errorf("rattantide_prefix_tokens is not between 0 and %d", maxAnswerTokens)
	case q.PrefixTokens > 0 && (!q.Continue || q.Messages[len(q.Messages)-1].Role != "assistant"):
		return errors.New("rattantide_prefix_tokens needs continue_final_message and a last assistant message")
	}
	return nil
}

// originalMessages returns the messages without the answer prefix that the last
// message contains when PrefixTokens is set.
func (q *request) originalMessages() []engineclient.Message {
	if q.PrefixTokens > 0 {
		return q.Messages[:len(q.Messages)-1]
	}
	return q.Messages
}

func validID(id string) bool {
	if len(id) == 0 || len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		c := id[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}
