package intent

// Key identifies a non-idempotent call.
type Key struct {
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
	// Value is the caller's idempotency key, or the request identifier.
	Value string `json:"value"`
}
