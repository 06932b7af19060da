package demo

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// chat is a chat completion that the demo asks for. Its seed makes the answer
// a function of the prompt and the model version.
type chat struct {
	id        string
	prompt    string
	seed      int64
	maxTokens int
}

func (c chat) body(stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": "briefs", "stream": stream, "seed": c.seed, "max_tokens": c.maxTokens,
		"messages": []map[string]string{{"role": "user", "content": c.prompt}},
	})
	return body
}

// answer is what a caller got.
type answer struct {
	text       string
	firstToken time.Duration
	total      time.Duration
	// resumes counts how often the stream was taken up again.
	resumes      int
	promptTokens int
	cachedTokens int
}

// resumesOf returns how often the answers were resumed. None at all is an error, as
// then nothing was shown.
func resumesOf(answers []*answer) (int, error) {
	resumes := 0
	for _, a := range answers {
		resumes += a.resumes
	}
	if resumes == 0 {
		return 0, errors.New("no stream was resumed, so nothing was shown")
	}
	return resumes, nil
}

// usage is the part of an OpenAI completion that the demo reads.
type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

func (a *answer) add(c *completion) {
	if len(c.Choices) > 0 {
		a.text += c.Choices[0].Delta.Content + c.Choices[0].Message.Content
	}
	if c.Usage != nil {
		a.promptTokens, a.cachedTokens = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
	}
}
