//go:build fuzz

package responsehead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"rattantide/internal/responsetest"
)

// FuzzHead checks that a head that is passed on is one that http.ReadResponse understands in the
// same way: a valid status, and only valid names.
func FuzzHead(f *testing.F) {
	for _, responses := range []map[string]responsetest.Response{responsetest.Sound("whole"), responsetest.Invalid("false")} {
		for _, response := range responses {
			f.Add(response.Text(""), 5)
		}
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		passed, rejected, err := read(text, max(1, size))
		if rejected != nil || err != nil || len(passed) <= 1 {
			return
		}
		if passed != text {
			t.Fatalf("%q became %q", text, passed)
		}
		reader := bufio.NewReader(strings.NewReader(passed))
		var status int
		for status < minFinalStatus {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("%q is not understood: %v", text, err)
			}
			status = response.StatusCode
			if status >= minFinalStatus && !IsFinalStatus(status) || status < http.StatusContinue {
				t.Fatalf("%q has status %d", text, status)
			}
			for name := range response.Header {
				if !httpguts.ValidHeaderFieldName(name) {
					t.Fatalf("%q has a field %q", text, name)
				}
			}
		}
	})
}
