package client

import (
	"net/http"

	"rattantide/internal/responsehead"
)

// transport makes calls to daemons. Calls over plain connections are made by checked, which
// refuses responses with invalid heads and tells a reset from the end of a body; the others, those
// of HTTP/2 and those through a proxy, by base.
type transport struct {
	base    *http.Transport
	checked *responsehead.Transport
}

func newTransport() *transport {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.DisableCompression = true
	direct := base.Clone()
	direct.Proxy = nil
	return &transport{base: base, checked: responsehead.NewTransport(direct)}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme == "http" && !t.usesProxy(request) {
		return t.checked.RoundTrip(request)
	}
	return t.base.RoundTrip(request)
}

// usesProxy reports whether base makes a call through a proxy. One that is misconfigured is left
// to base, which returns the error.
func (t *transport) usesProxy(request *http.Request) bool {
	proxy, err := t.base.Proxy(request)
	return proxy != nil || err != nil
}

// CloseIdleConnections closes the connections that no call uses.
func (t *transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
	t.checked.CloseIdleConnections()
}
