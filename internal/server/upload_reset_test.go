package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 3 << 20
	// uploads is how often a race between a read and a write is tried.
	uploads   = 60
	brokenOff = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
)

// expectBroken makes calls with a long body and checks that no response looks complete.
func expectBroken(t *testing.T, h *harness, path string) {
	body := strings.Repeat("x", uploadBytes)
	complete := 0
	for range uploads {
		response := h.do(t, "POST", path, body)
		_, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode == http.StatusOK {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d responses", uploads)
}

// Guards against a part of a service's response that looks complete because its connection was
// reset during the upload, seen by the caller or by another daemon.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	pool := &fakePool{}
	pool.add("resetting", "v1", responsetest.ServeReset(t, brokenOff))
	t.Run("service", func(t *testing.T) { expectBroken(t, newHarness(t, pool, nil), "/jobs/7") })
	t.Run("order", func(t *testing.T) { expectBroken(t, newHarness(t, pool, nil), "/orders/7") })
	t.Run("helper", func(t *testing.T) {
		expectBroken(t, newLostHarnessAt(t, responsetest.ServeReset(t, brokenOff)), "/orders/7")
	})
}

// Guards against a whole response that is taken for broken off because it came during the upload.
func TestCompleteResponseDuringUploadStaysComplete(t *testing.T) {
	text := "HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
	pool := &fakePool{}
	pool.add("refusing", "v1", responsetest.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, c)
	}))
	h := newHarness(t, pool, nil)
	response := h.do(t, "POST", "/jobs/7", strings.Repeat("x", uploadBytes))
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, string(content), "body")
}
