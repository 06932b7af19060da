package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// benchCall sends requests over one kept connection to a gateway in this process,
// before a runner in this process.
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
		answer, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != http.StatusOK {
			b.Fatal(answer.StatusCode, err)
		}
		answer.Body.Close()
	}
}

// BenchmarkPlainCall measures a whole call, client and runner included.
func BenchmarkPlainCall(b *testing.B) { benchCall(b, "/order/1", 0) }

// BenchmarkStream100 measures a stream of 100 events, client and runner included.
func BenchmarkStream100(b *testing.B) { benchCall(b, "/stream/1", 100) }
