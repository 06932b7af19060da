package engineclient

import (
	"net"
	"net/http"
	"time"
)

const (
	// connectTimeout bounds the time to open a connection to an engine.
	connectTimeout = time.Second
	// maxIdlePerEngine is how many idle connections to one engine are kept.
	// An engine runs a few dozen generations at a time.
	maxIdlePerEngine = 64
	// idleTimeout closes connections that were not used for this long.
	idleTimeout = 30 * time.Second
	// maxResponseHeader bounds the header of an engine's answer.
	maxResponseHeader = 64 << 10
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// fresh opens a new connection for each call.
	fresh    *http.Client
	suspects suspects
}

// New returns a Client that uses httpClient, or one of its own when nil. The
// client must have no overall timeout, because streams are long.
func New(httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: newTransport()}
	}
	fresh := *httpClient
	if transport, ok := httpClient.Transport.(*http.Transport); ok {
		clone := transport.Clone()
		clone.DisableKeepAlives = true
		fresh.Transport = clone
	}
	return &Client{http: httpClient, fresh: &fresh}
}

// using returns the client for the next call to an engine.
func (c *Client) using(address string) *http.Client {
	if c.suspects.has(address, time.Now()) {
		return c.fresh
	}
	return c.http
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		// Compressed event streams would be held back until a block is full.
		DisableCompression: true,
	}
}
