package server

import (
	"net"
	"net/http"
	"time"
)

func newTransport(connectTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    32,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
	}
}

// singleUse returns a copy of t that opens a new connection for each call.
// http.Transport retries some calls when a reused connection breaks, which is not
// allowed for a call that must run at most once.
func singleUse(t *http.Transport) *http.Transport {
	clone := t.Clone()
	clone.DisableKeepAlives = true
	return clone
}
