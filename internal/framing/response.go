package framing

import "net/http"

// Begin prepares the head of a response to a request whose body's end is marked as kind says.
// It must be called before the head is sent. If the body ends with the connection, the server
// must be protected. Responses of HTTP/2 never end with their connection.
func Begin(w http.ResponseWriter, r *http.Request, kind Kind) {
	if kind != Conn || r.ProtoMajor > 1 {
		return
	}
	SetConn(w.Header())
	c := connOf(r)
	if c == nil {
		panic("framing: Begin at a server that is not protected")
	}
	c.arm()
}

// Abort ends a handler whose response is incomplete, such that the response does not look
// complete. It does not return.
func Abort() { panic(http.ErrAbortHandler) }
