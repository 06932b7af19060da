package load

import (
	"net/http"
	"time"
)

// Options configure a run. URLs, Rate and Requests must be set.
type Options struct {
	// URLs are base URLs, used in turn: "http://127.0.0.1:7410".
	URLs []string
	// Token is the workspace's bearer token; empty sends none.
	Token string
	// Model is the model name of the requests.
	Model string
	// Rate is the arrivals per second. Arrivals do not wait for answers, so a
	// slow server meets a growing queue, as with real callers.
	Rate float64
	// Requests is the number of requests of the run.
	Requests int
	// MaxTokens is the length of each answer in tokens.
	MaxTokens int
	// PromptWords is the length of the part of a prompt that differs.
	PromptWords int
	// SharedWords is the length of the prefix that all prompts share.
	SharedWords int
	// Timeout bounds each request. Default 60s.
	Timeout time.Duration
	// Seed makes prompts and arrival times repeatable.
	Seed uint64
	// HTTP is the client to use. Default: one without a connection limit.
	HTTP *http.Client
}
