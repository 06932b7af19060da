package callerbody

import "net/http"

// HeaderBytes returns the size of a request's first line and header as they are sent.
func HeaderBytes(r *http.Request) int64 {
	// The spaces, the line ends, "Host: " and the end of the header.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + 4 + len("Host: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}
