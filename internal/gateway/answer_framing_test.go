package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// useRaw makes the upstreams of the fixture answer with the given heads and bodies.
func (f *fixture) useRaw(answers ...rawUpstream) {
	f.chooser.upstreams = nil
	for i, a := range answers {
		f.chooser.upstreams = append(f.chooser.upstreams, membership.Upstream{Name: "raw-" + strconv.Itoa(i), Address: a.serve(f.t)})
	}
}

const (
	headUntilClose = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	headChunked    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	firstEvent     = "id: 1\ndata: piece\n\n"
)

func headWithLength(length int) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(length) + "\r\n"
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// Guards against an answer without a length or chunks, which may have been broken off,
// that reaches its caller with a length or chunks that make it look complete.
func TestAnswerThatEndsWithConnectionIsNotFramed(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct{ path, body string }{
		"stream":       {"/stream/1", firstEvent},
		"order":        {"/order/1", "a small body"},
		"lookup":       {"/lookup/1", "a small body"},
		"empty order":  {"/order/1", ""},
		"large order":  {"/order/1", large},
		"large lookup": {"/lookup/1", large},
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				f := newFixture(t)
				f.useRaw(rawUpstream{head: headUntilClose, body: c.body})
				answer := f.callRaw(http.MethodPost, c.path, proto)
				assert.Assert(t, !answer.reset && !answer.kept, "an answer that may be complete is broken off")
				assert.Assert(t, !answer.isFramed(t, http.MethodPost), "%.300q", answer.bytes)
				_, body, err := answer.response(t, http.MethodPost)
				assert.NilError(t, err)
				assert.Equal(t, body, c.body)
			})
		}
	}
}

// Guards against an answer without a length or chunks whose connection is reset and that
// reaches its caller with an ordinary end of the connection.
func TestResetIsPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		proto    string
		path     string
		upstream rawUpstream
	}{
		"stream":                    {"HTTP/1.1", "/stream/1", rawUpstream{head: headUntilClose, body: firstEvent, reset: true}},
		"large order":               {"HTTP/1.1", "/order/1", rawUpstream{head: headUntilClose, body: strings.Repeat("x", 100<<10), reset: true}},
		"chunks, HTTP/1.0 caller":   {"HTTP/1.0", "/stream/1", rawUpstream{head: headChunked, body: chunk(firstEvent)}},
		"within an event, no frame": {"HTTP/1.1", "/stream/1", rawUpstream{head: headUntilClose, body: firstEvent + "id: 2\nda"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(c.upstream)
			answer := f.callRaw(http.MethodPost, c.path, c.proto)
			assert.Assert(t, answer.reset, "%.300q", answer.bytes)
		})
	}
}

// Guards against whole answers that lose their frame, or their caller's connection.
func TestFramedAnswersKeepConnection(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		upstream     rawUpstream
	}{
		"length":               {http.MethodPost, "/order/1", rawUpstream{head: headWithLength(4), body: "body"}},
		"chunks":               {http.MethodPost, "/order/1", rawUpstream{head: headChunked, body: chunk("body") + chunk("")}},
		"stream with a length": {http.MethodPost, "/stream/1", rawUpstream{head: headWithLength(len(firstEvent)), body: firstEvent}},
		"stream in chunks":     {http.MethodPost, "/stream/1", rawUpstream{head: headChunked, body: chunk(firstEvent) + chunk("")}},
		"HEAD":                 {http.MethodHead, "/lookup/1", rawUpstream{head: "HTTP/1.1 200 OK\r\n"}},
		"no content":           {http.MethodPost, "/order/1", rawUpstream{head: "HTTP/1.1 204 No Content\r\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(c.upstream)
			answer := f.callRaw(c.method, c.path, "HTTP/1.1")
			assert.Assert(t, answer.kept && !answer.reset, "%.300q", answer.bytes)
		})
	}
}

// Guards against a resumed stream that ends as complete by the frame of its first part
// although its last part may have been broken off, and against a length of the first part
// that is taken for that of the whole stream.
func TestFramingOfResumedStreams(t *testing.T) {
	const second = "id: 2\ndata: a longer piece\n\n"
	cutWithLength := rawUpstream{head: headWithLength(1000), body: firstEvent}
	cutInChunks := rawUpstream{head: headChunked, body: chunk(firstEvent)}
	cutWithoutFrame := rawUpstream{head: headUntilClose, body: firstEvent, reset: true}
	wholeInChunks := rawUpstream{head: headChunked, body: chunk(second) + chunk("")}
	for name, c := range map[string]struct {
		first, second rawUpstream
		broken        bool
	}{
		"length, then chunks":            {cutWithLength, wholeInChunks, false},
		"length, then length":            {cutWithLength, rawUpstream{head: headWithLength(len(second)), body: second}, false},
		"chunks, then connection":        {cutInChunks, rawUpstream{head: headUntilClose, body: second}, true},
		"chunks, then empty connection":  {cutInChunks, rawUpstream{head: headUntilClose}, true},
		"connection, then chunks":        {cutWithoutFrame, wholeInChunks, false},
		"connection, then connection":    {cutWithoutFrame, rawUpstream{head: headUntilClose, body: second}, false},
		"connection, then nothing":       {cutWithoutFrame, rawUpstream{head: headUntilClose}, true},
		"connection, then half an event": {cutWithoutFrame, rawUpstream{head: headUntilClose, body: second + "id: 3\n"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(c.first, c.second)
			answer := f.callRaw(http.MethodPost, "/resume/1", "HTTP/1.1")
			assert.Equal(t, answer.reset, c.broken, "%.300q", answer.bytes)
			if !c.broken {
				_, body, err := answer.response(t, http.MethodPost)
				assert.NilError(t, err)
				assert.Equal(t, body, firstEvent+second)
			}
		})
	}
}
