package server

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop fields, which are valid for one connection only
// (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeader copies the end-to-end fields: all but the hop-by-hop fields and those
// that Connection lists.
func copyHeader(dst, src http.Header) {
	connectionFields := map[string]bool{}
	for _, value := range src["Connection"] {
		for _, name := range strings.Split(value, ",") {
			connectionFields[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !hopHeaders[name] && !connectionFields[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}
