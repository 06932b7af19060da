package gateway

import (
	"net/http"
	"time"
)

// Codec translates the headers of calls. Implementations are safe for concurrent
// use.
type Codec interface {
	// DecodeCall reads a caller's headers.
	DecodeCall(h http.Header) (Call, error)
	// EncodeAttempt changes a copy of the caller's headers to what the upstream
	// gets.
	EncodeAttempt(h http.Header, a Attempt)
	// DecodeAnswer reads the headers of an upstream's answer.
	DecodeAnswer(status int, h http.Header) Answer
	// EncodeRefusal sets the headers of an answer of our own.
	EncodeRefusal(h http.Header, attemptID string, retryAfter time.Duration)
}
