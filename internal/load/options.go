package load

import (
	"net/http"
	"time"
)

// Options configure a run. URLs, Rate and Requests must be set.
type Options struct {
	// URLs are the base URLs, such as "http://127.0.0.1:7410", which the requests
	// use in turn.
	URLs []string
	// Token is the bearer token of the workspace. If it is empty, none is sent.
	Token string
	// Model is the model name of the requests.
	Model string
	// Rate is the number of arrivals per second. Arrivals do not wait for
	// responses, so the queue of a slow server grows, as with independent
	// clients.
	Rate float64
	// Requests is the number of requests of the run.
	Requests int
	// MaxTokens is the maximum length of each answer in tokens. The stand-in engines
	// generate exactly this number. 0 means that the engine chooses the length.
	MaxTokens int
	// PromptWords is the number of words of a prompt that differ between
	// requests. The minimum is 1.
	PromptWords int
	// SharedWords is the number of words of the prefix that all prompts share.
	SharedWords int
	// Timeout limits the duration of each request. The default is 60 s.
	Timeout time.Duration
	// Seed determines the prompts and the intervals between arrivals.
	Seed uint64
	// HTTPClient is the client to use. The default is a client without a limit on
	// connections.
	HTTPClient *http.Client
}
