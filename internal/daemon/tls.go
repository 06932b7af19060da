package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/settings"
)

const (
	// dialTimeout bounds a connection attempt to a peer or to the platform.
	dialTimeout = time.Second
	// idleConnections bounds the idle connections kept per address.
	idleConnections = 64
	// keepAlive finds connections that the network has lost track of while
	// they are idle.
	keepAlive = 5 * time.Second
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

// newHTTPClient returns the client for peers and the platform.
func newHTTPClient(s *settings.Settings) (*http.Client, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
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
	return &http.Client{Transport: transport}, nil
}
