package callers

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

// beginStream starts a stream that ends with its connection and never ends by itself.
func (d *daemon) beginStream() *http.Response {
	d.t.Helper()
	c := responsetest.Dial(d.t, d.address)
	assert.NilError(d.t, c.SetDeadline(time.Now().Add(waitLimit)))
	response := responsetest.Begin(d.t, c, head("/unframed/1", "Content-Length: 1\r\n\r\n")+"x")
	assert.Equal(d.t, response.StatusCode, http.StatusOK)
	assert.Assert(d.t, response.ContentLength < 0 && len(response.TransferEncoding) == 0)
	return response
}

// Guards against a stream without a length or chunks that looks complete when the daemon is
// killed.
func TestUnframedStreamOfKilledDaemon(t *testing.T) {
	d := startDaemon(t)
	response := d.beginStream()
	d.process.Kill()
	_, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil, "the stream looks complete")
}

// Guards against the same at a caller that reads nothing until the grace time has ended and the
// daemon has stopped.
func TestUnframedStreamOfStoppedDaemon(t *testing.T) {
	d := startDaemon(t)
	response := d.beginStream()
	assert.NilError(t, d.process.Signal(syscall.SIGTERM))
	<-d.process.Done()
	_, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil, "the stream looks complete")
}
