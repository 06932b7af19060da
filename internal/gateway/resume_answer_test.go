package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer other than a stream, such as an error, that is written into a
// stream which had begun and broke off at another upstream, and against one that ends the
// stream as complete.
func TestResumedStreamTakesNoOtherAnswer(t *testing.T) {
	const text = "not a stream"
	firstParts := map[string]rawUpstream{
		"chunks":     {head: headChunked, body: chunk(firstEvent)},
		"connection": {head: headUntilClose, body: firstEvent + "id: 2"},
		"length":     {head: headWithLength(1000), body: firstEvent},
	}
	for _, status := range []int{200, 201, 204, 206, 302, 400, 404, 408, 429, 500, 503} {
		for name, first := range firstParts {
			t.Run(fmt.Sprintf("%d after %s", status, name), func(t *testing.T) {
				f := newFixture(t)
				head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(text))
				f.useRaw(first, rawUpstream{head: head, body: text})
				answer := f.callRaw(http.MethodPost, "/resume/1", "HTTP/1.1")
				assert.Assert(t, answer.reset, "the stream looks complete: %.300q", answer.bytes)
				assert.Assert(t, !strings.Contains(string(answer.bytes), text), "%.300q", answer.bytes)
			})
		}
	}
}

// Guards against a stream whose events have no identifiers and that is resumed from its
// first event, so that the caller gets events twice.
func TestStreamWithoutIdentifiersIsNotResumed(t *testing.T) {
	const event = "data: piece\n\n"
	f := newFixture(t)
	f.useRaw(rawUpstream{head: headChunked, body: chunk(event)}, rawUpstream{head: headChunked, body: chunk(event) + chunk("")})
	answer := f.callRaw(http.MethodPost, "/resume/1", "HTTP/1.1")
	assert.Assert(t, answer.reset)
	assert.Equal(t, strings.Count(string(answer.bytes), event), 1)
}

// Guards against events that reach the caller twice because the second upstream begins the
// stream anew instead of continuing it.
func TestResumedStreamDoesNotRepeatEvents(t *testing.T) {
	const second, third = "id: 2\ndata: piece\n\n", "id: 3\ndata: piece\n\n"
	for name, c := range map[string]struct {
		continuation string
		continues    bool
	}{
		"continues":       {third, true},
		"begins anew":     {firstEvent + second + third, false},
		"repeats the end": {second + third, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(
				rawUpstream{head: headChunked, body: chunk(firstEvent + second)},
				rawUpstream{head: headChunked, body: chunk(c.continuation) + chunk("")},
			)
			answer := f.callRaw(http.MethodPost, "/resume/1", "HTTP/1.1")
			assert.Equal(t, answer.reset, !c.continues, "%.300q", answer.bytes)
			for _, event := range []string{firstEvent, second} {
				assert.Equal(t, strings.Count(string(answer.bytes), event), 1, "%.300q", answer.bytes)
			}
		})
	}
}
