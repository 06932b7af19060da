package api

// Route is the spec of a route: it maps a model name or a path prefix to a pool
// and a class. Exactly one of Model and Prefix is set.
type Route struct {
	// Model is the model name in chat completion requests.
	Model string `json:"model,omitempty"`
	// Prefix is the first path segment of a plain service, without slashes:
	// "orders" matches every path below /orders/.
	Prefix string `json:"prefix,omitempty"`
	Pool   string `json:"pool"`
	Class  string `json:"class"`
}
