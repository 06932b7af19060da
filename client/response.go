package client

import "net/http"

// Response is the response to a Request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID identifies the request in logs and status queries.
	RequestID string
}
