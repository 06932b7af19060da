package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// benchCall sends requests over one keep-alive connection to a gateway and a runner
// that both run in this process.
func benchCall(b *testing.B, path string, events int) {
	f := newFixture(&testing.T{})
	f.runners[0].Events = events
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", f.address)
		},
	}}
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://host.example"+path, strings.NewReader("body"))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("X-Attempt-Id", "a1")
		request.Header.Set("Authorization", "Bearer key")
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response.StatusCode, err)
		}
		response.Body.Close()
	}
}

// BenchmarkPlainCall measures a complete call, including client and runner.
func BenchmarkPlainCall(b *testing.B) { benchCall(b, "/order/1", 0) }

// BenchmarkStream100 measures a stream of 100 events, including client and runner.
func BenchmarkStream100(b *testing.B) { benchCall(b, "/stream/1", 100) }
