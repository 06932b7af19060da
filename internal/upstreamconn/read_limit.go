package upstreamconn

import (
	"io"

	"github.com/juju/errors"
)

// ErrHeadTooLarge means that the head of a response exceeds maxHeadBytes.
const ErrHeadTooLarge = errors.ConstError("head of the response exceeds 64 KiB")

// readLimit is a reader that fails with ErrHeadTooLarge after a number of bytes while
// the limit is active. It is not safe for concurrent use.
type readLimit struct {
	io.Reader
	active    bool
	remaining int
}

// set activates the limit and allows n bytes.
func (l *readLimit) set(n int) { l.active, l.remaining = true, n }

// clear removes the limit.
func (l *readLimit) clear() { l.active = false }

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.Reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errors.Trace(ErrHeadTooLarge)
	}
	n, err := l.Reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
