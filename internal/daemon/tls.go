package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/keptconn"
	"rattantide/internal/responsehead"
	"rattantide/internal/settings"
)

const (
	// dialTimeout bounds a connection attempt to a peer or to the platform's
	// APIs.
	dialTimeout = time.Second
	// maxIdleConnsPerHost bounds the idle connections per address.
	maxIdleConnsPerHost = 64
	// keepAliveInterval is the interval of TCP keep-alive probes. They detect
	// idle connections that the network has dropped without notice.
	keepAliveInterval = 5 * time.Second
)

// serverTLS returns the server's TLS configuration, or nil without a certificate.
func serverTLS(s *settings.Settings) (*tls.Config, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
	if err != nil {
		return nil, errors.Annotate(err, "tls-cert")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// newTransport returns a transport for calls to peers and to the platform's APIs.
func newTransport(s *settings.Settings) (*http.Transport, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
	}
	if s.TLSCA != "" {
		pem, err := os.ReadFile(s.TLSCA)
		if err != nil {
			return nil, errors.Annotate(err, "tls-ca")
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, errors.NotValidf("tls-ca: certificates in %s", s.TLSCA)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	return transport, nil
}

// newPeerClient returns the HTTP client for calls to other daemons and to the platform's APIs,
// whose connections are set up like those of transport.
func newPeerClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: responsehead.NewTransport(transport)}
}

// newStoreClient returns the HTTP client for calls to the object API, whose connections are
// set up like those of transport.
func newStoreClient(transport *http.Transport, scope tally.Scope) *http.Client {
	return &http.Client{Transport: keptconn.New(keptconn.Options{New: transport.Clone, Scope: scope})}
}
