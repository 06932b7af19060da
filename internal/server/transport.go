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
