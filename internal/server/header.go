package server

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeader copies the fields that concern the message itself.
func copyHeader(to, from http.Header) {
	named := map[string]bool{}
	for _, value := range from["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopHeaders[name] && !named[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
