package gateway

import (
	"net/http"
	"time"
)

// Codec translates between headers and the types of this package. Implementations
// are safe for concurrent use.
type Codec interface {
	// DecodeCall decodes the headers of a caller's request. A request for which it
	// returns an error is refused with status 400.
	DecodeCall(h http.Header) (Call, error)
	// EncodeAttempt changes h, a copy of the caller's headers, to the headers that
	// are sent to the upstream.
	EncodeAttempt(h http.Header, a Attempt)
	// EncodeForward changes h, a copy of the caller's headers, to the headers that are sent to
	// another daemon. Only the time that is left and the last event of a are used.
	EncodeForward(h http.Header, a Attempt)
	// DecodeResponse decodes the headers of an upstream's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// EncodeRefusal sets the headers of a response that the gateway generates.
	// attemptID is empty if the request has none; a retryAfter of 0 means that no
	// delay is sent.
	EncodeRefusal(h http.Header, attemptID string, retryAfter time.Duration)
}
