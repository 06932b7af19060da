package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// measurement contains the times measured for one request. failure is the cause for
// which the response is not complete, or empty.
type measurement struct {
	firstToken time.Duration
	tokenGaps  []time.Duration
	failure    string
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

var (
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
)

// prompt returns the prompt of request i, which is the same for the same seed.
func (g *generator) prompt(i int) string {
	var b strings.Builder
	shared := rand.New(rand.NewPCG(g.options.Seed, 2))
	writeWords(&b, shared, g.options.SharedWords)
	distinct := rand.New(rand.NewPCG(g.options.Seed, uint64(i)+3))
	writeWords(&b, distinct, max(1, g.options.PromptWords))
	return b.String()
}

func writeWords(b *strings.Builder, random *rand.Rand, words int) {
	for range words {
		fmt.Fprintf(b, "w%04d ", random.IntN(10000))
	}
}

// send sends one request and measures its response.
func (g *generator) send(ctx context.Context, url, prompt string) measurement {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	body, err := json.Marshal(completion{
		Model:     g.options.Model,
		Messages:  []message{{Role: "user", Content: prompt}},
		Stream:    true,
		MaxTokens: g.options.MaxTokens,
	})
	if err != nil {
		return measurement{failure: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return measurement{failure: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if g.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+g.options.Token)
	}
	start := time.Now()
	response, err := g.options.HTTPClient.Do(request)
	if err != nil {
		return measurement{failure: "no response"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return measurement{failure: response.Status}
	}
	return readStream(response, start)
}

// readStream reads the events of a stream up to [DONE]. It counts each of them as a
// token, including the final chunk with the finish reason.
func readStream(response *http.Response, start time.Time) measurement {
	var m measurement
	last := start
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), dataField)
		if !isData {
			continue
		}
		if bytes.Equal(data, doneData) {
			return m
		}
		now := time.Now()
		if m.firstToken == 0 {
			m.firstToken = now.Sub(start)
		} else {
			m.tokenGaps = append(m.tokenGaps, now.Sub(last))
		}
		last = now
	}
	m.failure = "stream ended early"
	return m
}
