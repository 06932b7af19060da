package client

import "net/http"

// Request is a call to a plain service, or a chat completion that is not
// streamed.
type Request struct {
	Method string
	// Path is the path with its query, such as "/orders/dies?x=1".
	Path   string
	Header http.Header
	Body   []byte
	// ID identifies the request. Default: a random UUID.
	ID string
	// IdempotencyKey identifies the call in classes whose calls are executed at
	// most once: a call repeated with the same key is not executed again. It is
	// not used for chat completions. Default: ID.
	IdempotencyKey string
}
