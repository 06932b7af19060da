package framing

import (
	"net/http"
	"strconv"
)

// Kind is how the end of a response body is marked.
type Kind string

const (
	// None means that the response has no body.
	None Kind = "none"
	// Length means that a header states the length of the body.
	Length Kind = "length"
	// Chunks means that a last chunk ends the body.
	Chunks Kind = "chunks"
	// Conn means that the body ends where the sender closes the connection.
	Conn Kind = "connection"
)

// Of returns the framing of a response to a method that http.ReadResponse has decoded.
func Of(r *http.Response, method string) Kind {
	switch {
	case !BodyAllowed(method, r.StatusCode):
		return None
	case len(r.TransferEncoding) > 0:
		return Chunks
	case r.ContentLength >= 0:
		return Length
	}
	return Conn
}

// BodyAllowed reports whether a final response with a status to a method has a body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Relayed returns the framing with which a response is relayed to the sender of a request.
// It shows no more about the end of the body than kind, that of the upstream's response.
func Relayed(kind Kind, request *http.Request) Kind {
	if kind == Chunks && !request.ProtoAtLeast(1, 1) {
		return Conn
	}
	return kind
}

// SetConn makes a response that is about to be sent end with its connection. The server
// removes the header that it sets.
func SetConn(h http.Header) {
	h.Del("Content-Length")
	h.Set("Transfer-Encoding", "identity")
}

// SetLength states the length of the body of a response that is about to be sent, in bytes.
func SetLength(h http.Header, length int) { h.Set("Content-Length", strconv.Itoa(length)) }
