package demo

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// chatRequest is a chat completion that the demo requests. Its seed makes the
// answer a function of the prompt and the model version.
type chatRequest struct {
	id        string
	prompt    string
	seed      int64
	maxTokens int
}

func (c chatRequest) body(stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": "briefs", "stream": stream, "seed": c.seed, "max_tokens": c.maxTokens,
		"messages": []map[string]string{{"role": "user", "content": c.prompt}},
	})
	return body
}

// chatAnswer is an answer with its measurements.
type chatAnswer struct {
	text       string
	firstToken time.Duration
	total      time.Duration
	// resumes is the number of times that the stream was resumed.
	resumes      int
	promptTokens int
	cachedTokens int
}

// sumResumes returns how often the streams of the answers were resumed. It returns
// an error if none was, because the feature was then not demonstrated.
func sumResumes(answers []*chatAnswer) (int, error) {
	resumes := 0
	for _, a := range answers {
		resumes += a.resumes
	}
	if resumes == 0 {
		return 0, errors.New("no stream was resumed, so the feature was not demonstrated")
	}
	return resumes, nil
}

// usage holds the fields of the token usage of an OpenAI completion that the demo
// reads.
type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// completion is a chat completion, or a chunk of one, in the OpenAI format.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

func (a *chatAnswer) add(c *completion) {
	if len(c.Choices) > 0 {
		a.text += c.Choices[0].Delta.Content + c.Choices[0].Message.Content
	}
	if c.Usage != nil {
		a.promptTokens, a.cachedTokens = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
	}
}
