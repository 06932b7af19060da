package engineclient

import (
	"context"
	"net"
	"net/http"
	"time"

	"rattantide/internal/responsehead"
)

const (
	// connectTimeout bounds the time to open a connection to an engine.
	connectTimeout = time.Second
	// maxIdlePerEngine is the largest number of idle connections to one engine.
	// It is sized for engines that run a few dozen generations at a time.
	maxIdlePerEngine = 64
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxResponseHeaderBytes bounds the header of an engine's response.
	maxResponseHeaderBytes = 64 << 10
)

// Client calls engines. It is safe for concurrent use. The errors that its methods
// return are of type *Error.
type Client struct {
	http *http.Client
	// noKeepAlive opens a new connection for each call.
	noKeepAlive    *http.Client
	suspectEngines suspectEngines
}

// NewTransport returns the transport of a Client, whose connections dial opens. Nil stands for
// TCP connections that are opened within a second.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	transport := newTransport()
	if dial != nil {
		transport.DialContext = dial
	}
	return transport
}

// New returns a Client that uses httpClient, or a new http.Client if it is nil.
// httpClient must have no overall timeout, because streams stay open for long.
// Unless its Transport is an *http.Transport, the heads of responses are not checked, and
// calls that ask for a new connection may reuse an idle one.
func New(httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: newTransport()}
	}
	kept, fresh := *httpClient, *httpClient
	if base, ok := httpClient.Transport.(*http.Transport); ok {
		transport := responsehead.NewTransport(base)
		kept.Transport, fresh.Transport = transport, transport.SingleUse()
	}
	return &Client{http: &kept, noKeepAlive: &fresh}
}

// httpClientFor returns the HTTP client for the next call to an engine: one that
// opens a new connection if the engine's idle connections are suspect.
func (c *Client) httpClientFor(address string) *http.Client {
	if c.suspectEngines.isSuspect(address, time.Now()) {
		return c.noKeepAlive
	}
	return c.http
}

// CloseIdleConnections closes idle connections.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
	c.noKeepAlive.CloseIdleConnections()
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		// A compressed event stream would be delayed until a compression block is
		// full.
		DisableCompression: true,
	}
}
