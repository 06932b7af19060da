package upstreamconn

import (
	"net/http"
	"sort"
	"strconv"
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	// Header must not contain hop-by-hop headers.
	Header http.Header
	// Body is the complete body. HasBody distinguishes an empty body from none.
	Body    []byte
	HasBody bool
	// MaySend, if set, is called when a connection is open, right before the first byte is
	// sent. Its error becomes that of the request, of which nothing is sent then.
	MaySend func() error
	// EndsWithPath makes the request fail with ErrPathLost once the path to the upstream is
	// lost, instead of waiting for the path to come back.
	EndsWithPath bool
}

// append appends the encoded head of the request to buf.
func (r *Request) append(buf []byte) []byte {
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.Target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, r.Host...)
	buf = append(buf, "\r\n"...)
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range r.Header[name] {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, value...)
			buf = append(buf, "\r\n"...)
		}
	}
	if r.HasBody {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(r.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}
