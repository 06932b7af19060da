package responsehead

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/responsetest"
)

const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"

// dialClosing opens a connection to a server that sends a response without a length and ends
// the connection: with a reset after the client has written, or in order. It returns when the
// end has arrived.
func dialClosing(t *testing.T, reset bool) *Conn {
	address := responsetest.Serve(t, func(c net.Conn) {
		_, _ = io.WriteString(c, unframed)
		if reset {
			// Bytes that are unread at the close make the kernel reset the connection.
			_, _ = c.Read(make([]byte, 1))
		}
	})
	raw, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	c := NewConn(raw)
	c.Expect()
	if reset {
		_, err = io.WriteString(c, "a request")
		assert.NilError(t, err)
	}
	assert.NilError(t, proc.Eventually(t.Context(), 30*time.Second, nil, func() error {
		if wasReset(raw) != reset {
			return io.ErrNoProgress
		}
		return nil
	}))
	return c
}

// Guards against a response without a length that looks complete although its connection was
// reset, because the error was returned to a write that ran beside the read.
func TestResetThatWriteHasSeenIsNoEnd(t *testing.T) {
	c := dialClosing(t, true)
	_, err := io.WriteString(c, "more")
	assert.Assert(t, err != nil)
	content, err := io.ReadAll(c)
	assert.Equal(t, string(content), unframed)
	assert.ErrorIs(t, err, unix.ECONNRESET)
}

// Guards against an ordinary end of a connection that is taken for a reset.
func TestOrderlyEndIsNoReset(t *testing.T) {
	c := dialClosing(t, false)
	content, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(content), unframed)
}
