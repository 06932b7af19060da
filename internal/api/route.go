package api

// Route sends a model name or a path prefix to a pool, under a class. Exactly
// one of Model and Prefix is set.
type Route struct {
	// Model is the model name of chat completions.
	Model string `json:"model,omitempty"`
	// Prefix is the first path segment of a plain service, without slashes:
	// "orders" takes every path below /orders/.
	Prefix string `json:"prefix,omitempty"`
	Pool   string `json:"pool"`
	Class  string `json:"class"`
}
