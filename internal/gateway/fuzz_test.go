//go:build fuzz

package gateway

import (
	"bytes"
	"testing"
)

// FuzzEventSplitter checks that no byte of a stream is lost, added or reordered,
// however the network splits it.
func FuzzEventSplitter(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: a\n\n", "data: x\r\n\r\nid:2\n\n", "\n\n\n", "id: 7\ndata"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, input []byte, size int) {
		size = max(1, size%64)
		var s eventSplitter
		var out []byte
		for at := 0; at < len(input); at += size {
			ready, _ := s.add(input[at:min(at+size, len(input))])
			out = append(out, ready...)
		}
		out = append(out, s.remainder()...)
		if !bytes.Equal(out, input) {
			t.Fatalf("%q became %q", input, out)
		}
	})
}
