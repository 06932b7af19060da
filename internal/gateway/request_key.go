package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/http"
)

// requestKey returns a number that is the same on all daemons for requests of one workspace
// with the same method, host, path, query and body. The hash is a cryptographic one, so that
// a caller cannot choose a request with the key of another workspace's.
func requestKey(workspace string, r *http.Request, body []byte) uint64 {
	h := sha256.New()
	for _, text := range []string{workspace, r.Method, r.Host, r.RequestURI} {
		writeSized(h, []byte(text))
	}
	writeSized(h, body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// writeSized writes a length and the bytes, so that the border between two fields counts.
func writeSized(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	// Writing to a hash never fails.
	_, _ = h.Write(size[:])
	_, _ = h.Write(field)
}
