package responsehead

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"
)

// Transport is an http.RoundTripper for HTTP/1.1 that fails with ErrInvalid if the head of a
// response is invalid. The connection is closed then. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport with the settings of base, which must use no proxy, and with
// connections of its own.
func NewTransport(base *http.Transport) *Transport {
	checked := base.Clone()
	dial := dialFunc(base.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	checked.DialContext = dial.checked
	checked.DialTLSContext = dialTLS(dial, base.TLSClientConfig).checked
	checked.ForceAttemptHTTP2 = false
	return &Transport{base: checked}
}

// dialTLS returns a dialFunc that opens TLS connections over those of dial.
func dialTLS(dial dialFunc, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(c, configFor(config, address))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, errors.Trace(err)
		}
		return secured, nil
	}
}

// configFor returns a configuration for HTTP/1.1 that verifies the name in an address.
func configFor(config *tls.Config, address string) *tls.Config {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	if config.ServerName != "" {
		return config
	}
	config.ServerName = address
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = host
	}
	return config
}

// SingleUse returns a Transport with the same settings that opens a connection for each call.
// http.Transport repeats some calls when a reused connection breaks.
func (t *Transport) SingleUse() *Transport {
	base := t.base.Clone()
	base.DisableKeepAlives = true
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *Conn
	var head int
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*Conn)
			head = conn.Expect()
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil && conn != nil && conn.Rejected() != nil {
		return nil, conn.Rejected()
	}
	if err != nil {
		return nil, err
	}
	if !conn.HasReceived(head) {
		_ = conn.Close()
		_ = response.Body.Close()
		return nil, errors.Annotate(ErrInvalid, "received before the request was sent")
	}
	return response, nil
}
