//go:build fuzz

package callerbody

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// FuzzRequestFraming checks that Read returns the body that the framing of a request states,
// or an error, holds no more than the limits allow, and returns everything to the budget.
func FuzzRequestFraming(f *testing.F) {
	for _, seed := range []string{
		post + "Content-Length: 4\r\n\r\nbody", post + "Content-Length: 9\r\n\r\nbody",
		post + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n1\r\no\r\n",
		post + "Content-Length: 99999999\r\n\r\n", post + "\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(input)))
		if err != nil {
			return
		}
		o := newOptions()
		b, err := Read(httptest.NewRecorder(), request, o)
		if held := o.Budget.Stats().Peak; held > 2*o.Limit+int64(len(input))*2 {
			t.Fatalf("%d bytes were held", held)
		}
		if err == nil {
			again, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(input)))
			if err != nil {
				t.Fatal(err)
			}
			want, err := io.ReadAll(again.Body)
			if err != nil || !bytes.Equal(want, b.Bytes) {
				t.Fatalf("%q instead of %q, %v", b.Bytes, want, err)
			}
		}
		b.Release()
		if held := o.Budget.Stats().Held; held != 0 {
			t.Fatalf("%d bytes are still held", held)
		}
	})
}
