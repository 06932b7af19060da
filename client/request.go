package client

import "net/http"

// Request is a call to a plain service, or a chat completion.
type Request struct {
	Method string
	// Path is the path with its query, such as "/orders/dies?x=1".
	Path   string
	Header http.Header
	Body   []byte
	// ID identifies the request. Default: a new one.
	ID string
	// IdempotencyKey identifies the call for classes whose calls run at most
	// once: repeated with the same key, it is not executed again. Default: the
	// request's ID.
	IdempotencyKey string
}
