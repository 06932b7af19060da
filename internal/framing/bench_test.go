package framing_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/framing"
	"rattantide/internal/telemetry"
)

// BenchmarkProtect measures a call to a server, with and without a Protection, whose answers
// state their length or end with their connection.
func BenchmarkProtect(b *testing.B) {
	for _, c := range []struct {
		name        string
		isProtected bool
		kind        framing.Kind
	}{
		{"length, plain", false, framing.Length},
		{"length, protected", true, framing.Length},
		{"connection, plain", false, framing.Conn},
		{"connection, protected", true, framing.Conn},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.isProtected {
					framing.Begin(w, r, c.kind)
				} else if c.kind == framing.Conn {
					framing.SetConn(w.Header())
				}
				_, _ = io.WriteString(w, "body")
			}))
			if c.isProtected {
				framing.Protect(s.Config, telemetry.Discard())
			}
			s.Start()
			defer s.Close()
			for b.Loop() {
				response, err := s.Client().Get(s.URL)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(b, err)
				assert.NilError(b, response.Body.Close())
			}
		})
	}
}
