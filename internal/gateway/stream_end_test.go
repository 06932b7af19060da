package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// Guards against a stream that breaks off within an event and looks complete to the
// caller, and against one that is complete and is treated as broken off.
func TestEndOfStreams(t *testing.T) {
	const (
		framed     = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"
		untilClose = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		whole      = "id: 1\ndata: piece\n\n"
	)
	for name, c := range map[string]struct {
		head, body string
		complete   bool
	}{
		"closed after an event":            {untilClose, whole, true},
		"closed within an event":           {untilClose, whole + "id: 2\nda", false},
		"closed before the first event":    {untilClose, "id: 1\n", false},
		"length reached":                   {framed, whole + "\n", true},
		"length reached, no final newline": {framed, whole + ":", true},
		"length not reached":               {framed, whole, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.chooser.upstreams = []membership.Upstream{{Name: "raw", Address: rawUpstream{head: c.head, body: c.body}.serve(t)}}
			status, body, _, err := f.call("/stream/1", "b")
			if c.complete {
				assert.NilError(t, err)
				assert.Equal(t, body, c.body)
				return
			}
			assert.Assert(t, err != nil || status == http.StatusBadGateway, "status %d, body %q", status, body)
		})
	}
}

// Guards against a crash that looks like a complete, empty answer because the upstream
// sends neither a length nor chunks, and against a part of prompts that is taken for sound
// by such answers.
func TestEmptyStreamThatEndsWithConnection(t *testing.T) {
	f := newFixture(t)
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for i := range f.chooser.upstreams {
		f.chooser.upstreams[i].Address = rawUpstream{head: head}.serve(t)
	}
	for i := range 4 {
		f.holder.Confirm(7, f.bootNow())
		// The requests differ, so that only the part has them in common.
		status, _, _, err := f.call("/resume/1", fmt.Sprintf("body %d", i), "X-Prompt-Prefix", "5:10,bad:10,1:1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway, "request %d", i)
		f.advance(2500 * time.Millisecond)
	}
	f.holder.Confirm(7, f.bootNow())
	status, _, _, err := f.call("/resume/1", "body", "X-Prompt-Prefix", "5:10,bad:10,1:1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
}
